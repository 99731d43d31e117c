package org.masticweir.cli;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** {@code metrics}: all metrics; their names are open, so each leaf is shown with its path. */
@Parameters(commandDescription = "Show all metrics of a router")
final class MetricsCommand extends QueryCommand<JsonNode> {
    MetricsCommand(GlobalOptions options) {
        super(options, "/metrics", JsonNode.class);
    }

    @Override
    String text(JsonNode answer) {
        TextTable table = TextTable.of("METRIC", "VALUE");
        addLeaves("", answer, table);
        return table.toString();
    }

    private static void addLeaves(String path, JsonNode node, TextTable table) {
        if (!node.isObject()) {
            table.row(path, node.isValueNode() ? node.asText() : node.toString());
            return;
        }
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            String name = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
            addLeaves(name, field.getValue(), table);
        }
    }
}
