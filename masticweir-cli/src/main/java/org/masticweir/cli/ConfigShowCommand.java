package org.masticweir.cli;

import com.beust.jcommander.Parameters;

/** {@code config show}: the document in force on the router. */
@Parameters(commandDescription = "Print the deployment document in force")
final class ConfigShowCommand extends QueryCommand<OperatorMessages.Config> {
    ConfigShowCommand(GlobalOptions options) {
        super(options, "/v1/config", OperatorMessages.Config.class);
    }

    @Override
    String text(OperatorMessages.Config answer) {
        return "# revision "
                + answer.revision()
                + ", change "
                + answer.changeId()
                + "\n"
                + answer.document();
    }
}
