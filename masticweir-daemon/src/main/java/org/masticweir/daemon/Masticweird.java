package org.masticweir.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.Level;
import org.masticweir.error.MasticweirException;
import org.masticweir.logs.LogLayout;
import org.masticweir.logs.LogSetup;
import org.masticweir.router.Router;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.time.Clock;

/** The router's program: reads its settings, runs one router and leaves on a signal. */
public final class Masticweird {
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
        CountDownLatch left = new CountDownLatch(1);
        Router router = Router.start(checked, Clock.system());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(router, left), "shutdown"));
        System.out.println(
                "ready router "
                        + checked.router().id()
                        + " "
                        + checked.router().callerAddress().getAddress().getHostAddress()
                        + ":"
                        + checked.router().callerAddress().getPort());
        await(left);
    }

    /** A signal to end is a graceful shutdown: nothing under way is cut off. */
    private static void leave(Router router, CountDownLatch left) {
        router.drain().join();
        router.close();
        left.countDown();
    }

    private static void await(CountDownLatch left) {
        try {
            left.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
