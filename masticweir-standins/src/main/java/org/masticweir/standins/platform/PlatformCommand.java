package org.masticweir.standins.platform;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.net.InetSocketAddress;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.http.IpAddress;
import org.masticweir.standins.StandInCommand;
import org.masticweir.time.Clock;

/** The command that runs a platform stand-in until the process ends; not thread-safe. */
@Parameters(commandDescription = "Tables, objects, instance list and weight store, with faults")
public final class PlatformCommand implements StandInCommand {
    private static final Logger LOG = LogManager.getLogger(PlatformCommand.class);

    @Parameter(names = "--listen", description = "IP number and port to listen on")
    private String listen = "127.0.0.1:9000";

    @Parameter(names = "--list-lag-ms", description = "Lag of the instance list")
    private long listLagMs = 1000;

    @Parameter(names = "--write-limit-per-s", description = "Most writes a second; 0 for any")
    private double writeLimitPerS = 0;

    @Parameter(names = "--read-limit-per-s", description = "Most reads a second; 0 for any")
    private double readLimitPerS = 0;

    @Parameter(
            names = "--weight-loads-per-s",
            description = "Most weight loads a second; 0 for any")
    private double weightLoadsPerS = 0;

    @Parameter(names = "--load-ms", description = "Time that loading weights takes")
    private long loadMs = 0;

    @Override
    public String name() {
        return "platform";
    }

    /**
     * Starts the stand-in and says so on standard output.
     *
     * @throws ParameterException if a flag is out of range or the port is in use
     */
    @Override
    public void start() {
        try {
            PlatformServer server = PlatformServer.start(settings(), Clock.system());
            String address = IpAddress.text(server.address());
            LOG.info("platform: listening on {}", address);
            System.out.println("ready platform " + address);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }

    private PlatformSettings settings() {
        InetSocketAddress address = IpAddress.parse(listen);
        return new PlatformSettings(
                address, listLagMs, writeLimitPerS, readLimitPerS, weightLoadsPerS, loadMs);
    }
}
