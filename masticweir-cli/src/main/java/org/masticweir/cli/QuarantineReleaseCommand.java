package org.masticweir.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** {@code quarantine release ID}: sends a content or part again, at all routers. */
@Parameters(commandDescription = "Send a content or part again, at all routers")
final class QuarantineReleaseCommand extends CliCommand {
    @Parameter(description = "ID", required = true)
    private String id;

    QuarantineReleaseCommand(GlobalOptions options) {
        super(options);
    }

    @Override
    ExitCode run(Console console) {
        try (OperatorClient client = openClient()) {
            CallResult result =
                    client.post(
                            "/v1/quarantine/release", Json.write(new OperatorMessages.Release(id)));
            if (!result.ok()) {
                return failed(result, console, ExitCode.UNSETTLED);
            }
            console.result(console.json() ? result.text() : "released " + id);
            return ExitCode.OK;
        }
    }
}
