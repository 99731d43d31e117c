package org.masticweir.cli;

import com.beust.jcommander.Parameters;

/** {@code drain}: starts a graceful shutdown. */
@Parameters(commandDescription = "Start a graceful shutdown; no request in progress is cut off")
final class DrainCommand extends CliCommand {
    DrainCommand(GlobalOptions options) {
        super(options);
    }

    @Override
    ExitCode run(Console console) {
        try (OperatorClient client = openClient()) {
            CallResult result = client.post("/v1/drain", "{}");
            if (!result.ok()) {
                return failed(result, console, ExitCode.UNSETTLED);
            }
            console.result(console.json() ? result.text() : "draining");
            return ExitCode.OK;
        }
    }
}
