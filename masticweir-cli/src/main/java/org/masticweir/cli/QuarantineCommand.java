package org.masticweir.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** {@code quarantine}: groups the commands about contents and parts that end their servers. */
@Parameters(commandDescription = "Show and release contents and parts that end their servers")
final class QuarantineCommand {
    @ParametersDelegate private final GlobalOptions options;

    QuarantineCommand(GlobalOptions options) {
        this.options = options;
    }
}
