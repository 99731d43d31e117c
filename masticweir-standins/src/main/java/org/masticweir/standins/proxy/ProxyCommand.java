package org.masticweir.standins.proxy;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.http.IpAddress;
import org.masticweir.standins.StandInCommand;
import org.masticweir.standins.platform.http.AnswerServer;
import org.masticweir.standins.platform.http.Disruption;
import org.masticweir.time.Clock;

/** The command that runs a fault-injecting proxy until the process ends; not thread-safe. */
@Parameters(commandDescription = "TCP proxy of many routes, with faults")
public final class ProxyCommand implements StandInCommand {
    @Parameter(names = "--control", description = "IP number and port of the HTTP control")
    private String control = "127.0.0.1:9100";

    @Parameter(
            names = "--route",
            description = "name=LISTEN,TARGET; may be repeated",
            splitter = WholeText.class)
    private List<String> routes = new ArrayList<>();

    @Override
    public String name() {
        return "proxy";
    }

    /**
     * Starts the proxy and says so on standard output.
     *
     * @throws ParameterException if a flag is malformed or a port is in use
     */
    @Override
    public void start() {
        try {
            InetSocketAddress address = IpAddress.parse(control);
            Proxy proxy = Proxy.start(specs(), Clock.system());
            System.out.println("ready proxy " + IpAddress.text(serve(address, proxy)));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }

    private ImmutableList<RouteSpec> specs() {
        return routes.stream().map(RouteSpec::parse).collect(ImmutableList.toImmutableList());
    }

    private static InetSocketAddress serve(InetSocketAddress address, Proxy proxy) {
        try {
            ProxyService service = new ProxyService(proxy);
            return AnswerServer.start(address, service, Disruption.NONE).address();
        } catch (IllegalArgumentException e) {
            proxy.close();
            throw e;
        }
    }
}
