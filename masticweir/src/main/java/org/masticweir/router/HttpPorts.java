package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.net.InetSocketAddress;
import org.masticweir.callers.CallerHandler;
import org.masticweir.callers.CallerLimits;
import org.masticweir.operators.OperatorHandler;
import org.masticweir.serving.RequestService;
import org.masticweir.settings.DaemonSettings;
import org.xnio.XnioWorker;

/** The ports of callers and of operators; thread-safe. */
final class HttpPorts implements AutoCloseable {
    private static final int HEADER_SLACK = 4;
    private static final long BODY_SLACK = 8;
    private static final int MAX_HEADERS = 200;
    private static final int MAX_TOKENS = 1 << 20;

    private final DaemonSettings.Router addresses;
    private final Undertow callers;
    private final Undertow operators;

    private HttpPorts(DaemonSettings.Router addresses, Undertow callers, Undertow operators) {
        this.addresses = checkNotNull(addresses, "addresses");
        this.callers = checkNotNull(callers, "callers");
        this.operators = checkNotNull(operators, "operators");
    }

    /** Returns ports that are not open yet. */
    static HttpPorts create(
            DaemonSettings settings,
            PortSecurity security,
            XnioWorker worker,
            RequestService requests,
            OperatorHandler operators) {
        Undertow.Builder operatorServer = Undertow.builder().setWorker(worker);
        security.listen(operatorServer, settings.router().operatorAddress());
        return new HttpPorts(
                settings.router(),
                callerServer(settings, security, worker, requests),
                operatorServer.setHandler(operators).build());
    }

    /**
     * Opens both ports.
     *
     * @throws org.masticweir.error.MasticweirException if one cannot be opened
     */
    void open() {
        open(callers, "caller_address", addresses.callerAddress());
        open(operators, "operator_address", addresses.operatorAddress());
    }

    @Override
    public void close() {
        callers.stop();
        operators.stop();
    }

    private static void open(Undertow server, String key, InetSocketAddress address) {
        try {
            server.start();
        } catch (RuntimeException e) {
            throw PortFault.taken(key, address, e);
        }
    }

    private static Undertow callerServer(
            DaemonSettings settings,
            PortSecurity security,
            XnioWorker worker,
            RequestService requests) {
        DaemonSettings.Callers bounds = settings.callers();
        CallerLimits limits =
                new CallerLimits(
                        bounds.maxBodyBytes(),
                        bounds.maxHeaderBytes(),
                        bounds.stallMs(),
                        MAX_TOKENS);
        Undertow.Builder server = Undertow.builder().setWorker(worker);
        security.listen(server, settings.router().callerAddress());
        return server
                // The server's own limit is above ours: up to it we can still answer with a code.
                .setServerOption(
                        UndertowOptions.MAX_HEADER_SIZE, bounds.maxHeaderBytes() * HEADER_SLACK)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(
                        UndertowOptions.MAX_ENTITY_SIZE, (long) bounds.maxBodyBytes() * BODY_SLACK)
                .setHandler(CallerHandler.of(requests, limits))
                .build();
    }
}
