package org.masticweir.cli;

import com.beust.jcommander.Parameters;

/** {@code engines}: the back ends as the router sees them. */
@Parameters(commandDescription = "Show engines and services with their state and load")
final class EnginesCommand extends QueryCommand<OperatorMessages.Engines> {
    EnginesCommand(GlobalOptions options) {
        super(options, "/v1/engines", OperatorMessages.Engines.class);
    }

    @Override
    String text(OperatorMessages.Engines answer) {
        TextTable table =
                TextTable.of(
                        "ENGINE",
                        "DOMAIN",
                        "GROUP",
                        "ADDRESS",
                        "STATE",
                        "RUNNING",
                        "WAITING",
                        "CAPACITY",
                        "OWN SENDS");
        for (OperatorMessages.Engine e : answer.engines()) {
            table.row(
                    e.id(),
                    e.domain(),
                    e.group(),
                    e.address(),
                    e.state(),
                    e.running(),
                    e.waiting(),
                    e.capacity(),
                    e.ownSends());
        }
        return table.toString();
    }
}
