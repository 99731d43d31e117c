package org.masticweir.cli;

import com.beust.jcommander.Parameters;

/** {@code status}: a router, its peers and whether it reaches the platform. */
@Parameters(commandDescription = "Show a router, its peers and its revision of the configuration")
final class StatusCommand extends QueryCommand<OperatorMessages.Status> {
    StatusCommand(GlobalOptions options) {
        super(options, "/v1/status", OperatorMessages.Status.class);
    }

    @Override
    String text(OperatorMessages.Status answer) {
        TextTable table = TextTable.of("ROUTER", "DOMAIN", "STATE", "REVISION");
        table.row(answer.router(), answer.domain(), answer.state(), answer.configRevision());
        for (OperatorMessages.Peer peer : answer.peers()) {
            table.row(peer.router(), peer.domain(), peer.state(), peer.configRevision());
        }
        return table + "requests: " + answer.requests() + ", platform: " + answer.platform();
    }
}
