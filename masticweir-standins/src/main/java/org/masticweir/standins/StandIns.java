package org.masticweir.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.standins.engine.EngineCommand;
import org.masticweir.standins.platform.PlatformCommand;
import org.masticweir.standins.proxy.ProxyCommand;
import org.masticweir.standins.service.ServiceCommand;

/** The program of all stand-ins: its first argument says which one to be. */
public final class StandIns {
    private static final int EXIT_OK = 0;
    private static final int EXIT_BAD_ARGUMENTS = 2;

    private StandIns() {}

    /** Starts the stand-in that the arguments name, or exits with 2 when they are wrong. */
    public static void main(String[] args) {
        int status = run(args, System.err);
        if (status != EXIT_OK) {
            System.exit(status);
        }
    }

    private static ImmutableList<StandInCommand> commands() {
        return ImmutableList.of(
                new EngineCommand(),
                new ServiceCommand(),
                new PlatformCommand(),
                new ProxyCommand());
    }

    /** Starts a stand-in and returns 0, or prints one sentence and returns the exit status. */
    static int run(String[] args, PrintStream err) {
        try {
            parse(args).start();
            return EXIT_OK;
        } catch (ParameterException | IllegalArgumentException e) {
            return refuse(err, e.getMessage());
        } catch (MasticweirException e) {
            if (e.code() != ErrorCode.SETTINGS_INVALID) {
                throw e;
            }
            return refuse(err, e.getMessage());
        }
    }

    private static StandInCommand parse(String[] args) {
        ImmutableList<StandInCommand> commands = commands();
        JCommander parser = new JCommander();
        commands.forEach(command -> parser.addCommand(command.name(), command));
        parser.parse(args);
        return commands.stream()
                .filter(command -> command.name().equals(parser.getParsedCommand()))
                .findFirst()
                .orElseThrow(
                        () ->
                                new ParameterException(
                                        "name one of the stand-ins "
                                                + parser.getCommands().keySet()));
    }

    private static int refuse(PrintStream err, String message) {
        err.println("masticweir-standins: " + message);
        return EXIT_BAD_ARGUMENTS;
    }
}
