package org.masticweir.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** {@code config}: groups the commands about the deployment document. */
@Parameters(commandDescription = "Show, check, compare and change the deployment document")
final class ConfigCommand {
    @ParametersDelegate private final GlobalOptions options;

    ConfigCommand(GlobalOptions options) {
        this.options = options;
    }
}
