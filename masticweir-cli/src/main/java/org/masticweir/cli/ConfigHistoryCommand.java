package org.masticweir.cli;

import com.beust.jcommander.Parameters;
import java.time.Instant;

/** {@code config history}: the accepted changes. */
@Parameters(commandDescription = "Show the accepted changes with their change ids")
final class ConfigHistoryCommand extends QueryCommand<OperatorMessages.History> {
    ConfigHistoryCommand(GlobalOptions options) {
        super(options, "/v1/config/history", OperatorMessages.History.class);
    }

    @Override
    String text(OperatorMessages.History answer) {
        TextTable table = TextTable.of("REVISION", "AT", "AUTHOR", "CHANGE");
        for (OperatorMessages.Change c : answer.changes()) {
            table.row(c.revision(), Instant.ofEpochMilli(c.atMs()), c.author(), c.changeId());
        }
        return table.toString();
    }
}
