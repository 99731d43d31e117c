package org.masticweir.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;
import org.masticweir.error.RetryAdvice;
import org.masticweir.http.IpAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/** The platform's JSON shapes; stateless and thread-safe. */
final class PlatformJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private PlatformJson() {}

    /** Returns the tree of {@code text}; fails with an argument error on anything but JSON. */
    static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
    }

    static String write(Transaction transaction) {
        ObjectNode root = NODES.objectNode();
        ArrayNode checks = root.putArray("checks");
        transaction.checks().forEach(c -> row(checks, c.key()).put("revision", c.revision()));
        ArrayNode puts = root.putArray("puts");
        transaction.puts().forEach(p -> row(puts, p.key()).put("value", p.value()));
        ArrayNode deletes = root.putArray("deletes");
        transaction.deletes().forEach(k -> row(deletes, k));
        return root.toString();
    }

    static String fetch(ModelId model, String version, EngineId engine) {
        return NODES.objectNode()
                .put("model", model.value())
                .put("version", version)
                .put("engine", engine.value())
                .toString();
    }

    static List<Row> conflicts(JsonNode root) {
        ImmutableList.Builder<Row> rows = ImmutableList.builder();
        for (JsonNode node : root.path("conflicts")) {
            RowKey key = RowKey.of(node.path("table").asText(), node.path("key").asText());
            rows.add(row(key, node));
        }
        return rows.build();
    }

    static List<Row> rows(String table, JsonNode root) {
        ImmutableList.Builder<Row> rows = ImmutableList.builder();
        for (JsonNode node : root.path("rows")) {
            rows.add(row(RowKey.of(table, node.path("key").asText()), node));
        }
        return rows.build();
    }

    /** Returns the row that {@code node} shows; a missing or negative revision is an error. */
    static Row row(RowKey key, JsonNode node) {
        JsonNode revision = node.path("revision");
        if (!revision.canConvertToLong()) {
            throw new IllegalArgumentException("row " + key + " has no revision");
        }
        return Row.of(key, revision.asLong(), node.path("value").asText(""));
    }

    static List<InstanceRecord> instances(JsonNode root) {
        ImmutableList.Builder<InstanceRecord> list = ImmutableList.builder();
        root.path("instances").forEach(node -> list.add(instance(node)));
        return list.build();
    }

    static OptionalLong retryAfterMs(JsonNode root) {
        JsonNode ms = root.path("retry_after_ms");
        return ms.canConvertToLong() ? OptionalLong.of(RetryAdvice.ms(root)) : OptionalLong.empty();
    }

    private static InstanceRecord instance(JsonNode node) {
        return new InstanceRecord(
                node.path("id").asText(),
                InstanceKind.ofWireName(node.path("kind").asText()),
                node.path("group").asText(),
                DomainId.of(node.path("domain").asText()),
                IpAddress.parse(node.path("address").asText()),
                "leaving".equals(node.path("state").asText()));
    }

    private static ObjectNode row(ArrayNode rows, RowKey key) {
        return rows.addObject().put("table", key.table()).put("key", key.key());
    }
}
