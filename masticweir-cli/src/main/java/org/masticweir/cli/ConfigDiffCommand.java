package org.masticweir.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.Optional;
import org.masticweir.config.DeploymentDiff;

/** {@code config diff}: what a document would change. */
@Parameters(commandDescription = "Compare a deployment document with the one in force")
final class ConfigDiffCommand extends CliCommand {
    @ParametersDelegate private final DocumentFile file = new DocumentFile();

    ConfigDiffCommand(GlobalOptions options) {
        super(options);
    }

    @Override
    ExitCode run(Console console) {
        DocumentFile.Content next = file.read();
        try (OperatorClient client = openClient()) {
            CallResult result = client.get("/v1/config");
            Optional<RouterConfig> held = RouterConfig.of(result);
            if (held.isEmpty()) {
                return failed(result, console, ExitCode.NOT_REACHABLE);
            }
            DeploymentDiff diff = held.get().diffTo(next.deployment());
            console.result(console.json() ? Json.write(diff.changes()) : diff.text());
            return ExitCode.OK;
        }
    }
}
