package org.masticweir.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import org.apache.logging.log4j.Level;
import org.masticweir.error.MasticweirException;
import org.masticweir.logs.LogLayout;
import org.masticweir.logs.LogSetup;
import org.masticweir.router.Router;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.time.Clock;

/** The router's program: reads its settings, runs one router and leaves on a signal. */
public final class Masticweird {
    private static final int EXIT_LEFT = 0;
    private static final int EXIT_BAD_SETTINGS = 2;

    @Parameter(
            names = "--settings",
            required = true,
            description = "INI file with this router's settings")
    private String settings = "";

    @Parameter(names = "--help", help = true, description = "show this help")
    private boolean help;

    private Masticweird() {}

    /** Runs the daemon until it is told to leave. */
    public static void main(String[] args) {
        Masticweird program = new Masticweird();
        JCommander parser =
                JCommander.newBuilder().programName("masticweird").addObject(program).build();
        try {
            parser.parse(args);
            if (program.help) {
                parser.usage();
                return;
            }
            program.run();
        } catch (ParameterException | MasticweirException e) {
            System.err.println("masticweird: " + e.getMessage());
            System.exit(EXIT_BAD_SETTINGS);
        }
    }

    private void run() {
        DaemonSettings checked = DaemonSettings.read(Path.of(settings));
        LogSetup.configure(
                LogLayout.parse(checked.log().layout().name()),
                Level.valueOf(checked.log().level().name()));
        Router router = start(checked);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(router), "shutdown"));
        System.out.println(
                "ready router "
                        + checked.router().id()
                        + " "
                        + checked.router().callerAddress().getAddress().getHostAddress()
                        + ":"
                        + checked.router().callerAddress().getPort());
        // An operator's drain ends the process just as a signal does.
        router.drained().join();
        System.exit(EXIT_LEFT);
    }

    /** Starts the router; an error names the file as every other error of the settings does. */
    private Router start(DaemonSettings checked) {
        try {
            return Router.start(checked, Clock.system());
        } catch (MasticweirException e) {
            throw MasticweirException.causedBy(
                    e.code(), e.verdict(), settings + ": " + e.getMessage(), e);
        }
    }

    /**
     * A signal to end is a graceful shutdown: nothing under way is cut off.
     *
     * <p>The runtime reports a process that was sent a signal as failed, with code 143, however
     * cleanly it left; whoever replaces instances would then take each planned replacement for a
     * crash. Halting here, after everything is closed, gives the code of a clean end.
     */
    private static void leave(Router router) {
        router.drain().join();
        router.close();
        Runtime.getRuntime().halt(EXIT_LEFT);
    }
}
