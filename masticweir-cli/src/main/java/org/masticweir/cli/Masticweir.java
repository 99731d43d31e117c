package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import org.masticweir.error.MasticweirException;

/** The program {@code masticweir}: parses the command line, runs one command and exits. */
public final class Masticweir {
    private final PrintStream out;
    private final PrintStream err;

    Masticweir(PrintStream out, PrintStream err) {
        this.out = checkNotNull(out, "out");
        this.err = checkNotNull(err, "err");
    }

    public static void main(String[] args) {
        System.exit(new Masticweir(System.out, System.err).run(args).code());
    }

    /** Runs the command that {@code args} name and returns how it ended. */
    ExitCode run(String... args) {
        GlobalOptions options = new GlobalOptions();
        JCommander parser = CommandLine.parserFor(options);
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            return new Console(out, err, false).failed(ExitCode.BAD_INPUT, e.getMessage());
        }
        Object command = CommandLine.chosen(parser).getObjects().get(0);
        if (options.help() || !(command instanceof CliCommand)) {
            (options.help() ? out : err).print(CommandLine.help(parser));
            return options.help() ? ExitCode.OK : ExitCode.BAD_INPUT;
        }
        return run((CliCommand) command, new Console(out, err, options.json()));
    }

    private static ExitCode run(CliCommand command, Console console) {
        try {
            return command.run(console);
        } catch (MasticweirException e) {
            return console.failed(ExitCode.BAD_INPUT, e.getMessage());
        }
    }
}
