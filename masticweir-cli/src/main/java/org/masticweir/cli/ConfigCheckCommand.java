package org.masticweir.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.masticweir.config.Deployment;

/** {@code config check}: checks a document without a router. */
@Parameters(commandDescription = "Check a deployment document; needs no router")
final class ConfigCheckCommand extends CliCommand {
    @ParametersDelegate private final DocumentFile file = new DocumentFile();

    ConfigCheckCommand(GlobalOptions options) {
        super(options);
    }

    @Override
    ExitCode run(Console console) {
        Deployment read = file.read().deployment();
        Counts counts =
                new Counts(
                        read.classes().size(),
                        read.teams().size(),
                        read.models().size(),
                        read.groups().size());
        console.result(console.json() ? Json.write(counts) : counts.text());
        return ExitCode.OK;
    }

    /** How much a valid document declares. */
    private record Counts(int classes, int teams, int models, int groups) {
        String text() {
            return String.format(
                    "valid: %d classes, %d teams, %d models, %d groups",
                    classes, teams, models, groups);
        }
    }
}
