package org.masticweir.cli;

import com.beust.jcommander.Parameters;
import com.google.common.base.Joiner;

/** {@code quarantine list}: the contents and parts under which servers ended. */
@Parameters(commandDescription = "Show contents and parts of prompts under which servers ended")
final class QuarantineListCommand extends QueryCommand<OperatorMessages.Quarantine> {
    QuarantineListCommand(GlobalOptions options) {
        super(options, "/v1/quarantine", OperatorMessages.Quarantine.class);
    }

    @Override
    String text(OperatorMessages.Quarantine answer) {
        TextTable table = TextTable.of("ID", "KIND", "STATE", "HELD MS", "ENDS", "SERVERS");
        for (OperatorMessages.QuarantinedContent c : answer.contents()) {
            table.row(
                    c.id(),
                    c.kind(),
                    c.state(),
                    c.heldMs(),
                    c.ends(),
                    Joiner.on(',').join(c.servers()));
        }
        return answer.omitted() == 0
                ? table.toString()
                : table + "and " + answer.omitted() + " older ones\n";
    }
}
