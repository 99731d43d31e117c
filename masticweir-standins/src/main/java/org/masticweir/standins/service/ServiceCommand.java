package org.masticweir.standins.service;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.InetSocketAddress;
import org.masticweir.standins.StandInCommand;
import org.masticweir.standins.StandInLogging;
import org.masticweir.standins.http.ListenAddress;
import org.masticweir.time.Clock;

/** The sub-command that starts a plain service's stand-in. */
@Parameters(commandDescription = "a plain service")
public final class ServiceCommand implements StandInCommand {
    @Parameter(names = "--listen", converter = ListenAddress.class, required = true)
    private InetSocketAddress listen;

    @Parameter(names = "--id", required = true)
    private String id;

    @Parameter(names = "--service-ms")
    private long serviceMs = 20;

    @Parameter(names = "--max-concurrent")
    private int maxConcurrent = 16;

    @Parameter(names = "--log-level")
    private String logLevel = "INFO";

    @Override
    public String name() {
        return "service";
    }

    @Override
    public void start() {
        StandInLogging.start(logLevel);
        ServiceSettings settings = new ServiceSettings(listen, id, serviceMs, maxConcurrent);
        ServiceStandIn.start(settings, Clock.system()).printReady();
    }
}
