package org.masticweir.cli;

import com.beust.jcommander.Parameters;

/** {@code requests}: what the router has in progress. */
@Parameters(commandDescription = "Show the requests in progress on a router")
final class RequestsCommand extends QueryCommand<OperatorMessages.Requests> {
    RequestsCommand(GlobalOptions options) {
        super(options, "/v1/requests", OperatorMessages.Requests.class);
    }

    @Override
    String text(OperatorMessages.Requests answer) {
        TextTable table =
                TextTable.of(
                        "REQUEST",
                        "TEAM",
                        "CLASS",
                        "MODEL",
                        "ENGINE",
                        "GENERATION",
                        "ATTEMPT",
                        "TOKENS",
                        "STATE",
                        "AGE MS");
        for (OperatorMessages.Request r : answer.requests()) {
            table.row(
                    r.id(),
                    r.team(),
                    r.workClass(),
                    r.model(),
                    r.engine(),
                    r.generation(),
                    r.attempt(),
                    r.tokens(),
                    r.state(),
                    r.ageMs());
        }
        return table.toString();
    }
}
