package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.metrics.MetricsText;
import org.masticweir.operators.QuarantineHandler;
import org.masticweir.quarantine.SharedQuarantine;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The listening ports for callers, for the balancer and for the metrics page; thread-safe. */
final class RelayPorts implements AutoCloseable {
    /**
     * Time after which an idle connection is closed, in ms; callers close idle connections earlier.
     */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    /** Timeout for reading the headers of a request, in ms. */
    private static final int HEADERS_TIMEOUT_MS = 10_000;

    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int BACKLOG = 1_024;

    private static final OptionMap SOCKET_OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .set(Options.BACKLOG, BACKLOG)
                    .getMap();

    private static final OptionMap SERVER_OPTIONS =
            OptionMap.builder()
                    .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                    .set(UndertowOptions.DECODE_URL, false)
                    .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                    .set(UndertowOptions.ALWAYS_SET_DATE, false)
                    .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                    // Bodies in chunks keep this limit; a request can only change that of others.
                    .set(UndertowOptions.MAX_ENTITY_SIZE, BodyReader.MAX_READ_BYTES)
                    .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                    .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADERS_TIMEOUT_MS)
                    .getMap();

    private final CallersListener callers;
    private final Undertow management;

    private RelayPorts(CallersListener callers, Undertow management) {
        this.callers = callers;
        this.management = management;
    }

    /** Creates ports that are not open yet. */
    static RelayPorts create(
            RelaySettings settings,
            XnioWorker worker,
            HttpHandler requests,
            ConnectionGate gate,
            String readyPath,
            BooleanSupplier ready,
            MetricRegistry metrics,
            SharedQuarantine quarantine) {
        checkNotNull(readyPath, "readyPath");
        CallersListener callers =
                new CallersListener(
                        settings.callers(),
                        worker,
                        gate.around(new HttpContinueReadHandler(requests)),
                        gate,
                        SOCKET_OPTIONS,
                        SERVER_OPTIONS);
        Undertow.Builder management = server(worker);
        listen(management, settings.balancer(), readiness(readyPath, ready));
        HttpHandler page = metricsPage(MetricsText.of(metrics));
        listen(management, settings.metrics(), new QuarantineHandler(quarantine, page));
        return new RelayPorts(callers, management.build());
    }

    private static Undertow.Builder server(XnioWorker worker) {
        return Undertow.builder()
                .setWorker(worker)
                .setSocketOption(Options.BACKLOG, BACKLOG)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADERS_TIMEOUT_MS);
    }

    /**
     * Opens the ports of the balancer and of the metrics page.
     *
     * @throws MasticweirException if a port can't be opened
     */
    void openManagement() {
        start(management);
    }

    /**
     * Opens the callers' port.
     *
     * @throws MasticweirException if it can't be opened
     */
    void openCallers() {
        try {
            callers.open();
        } catch (IOException e) {
            throw cannotOpen(e);
        }
    }

    private static void start(Undertow server) {
        try {
            server.start();
        } catch (RuntimeException e) {
            throw cannotOpen(e);
        }
    }

    private static MasticweirException cannotOpen(Exception cause) {
        return MasticweirException.causedBy(
                ErrorCode.SETTINGS_INVALID,
                Verdict.NOT_RUN,
                "a port cannot be opened: " + cause.getMessage(),
                cause);
    }

    @Override
    public void close() {
        callers.close();
        management.stop();
    }

    private static void listen(
            Undertow.Builder server, InetSocketAddress address, HttpHandler handler) {
        server.addListener(
                new Undertow.ListenerBuilder()
                        .setType(Undertow.ListenerType.HTTP)
                        .setHost(address.getAddress().getHostAddress())
                        .setPort(address.getPort())
                        .setRootHandler(handler));
    }

    private static HttpHandler readiness(String path, BooleanSupplier ready) {
        return exchange -> {
            boolean isKnownPath = exchange.getRequestPath().equals(path);
            boolean isReady = isKnownPath && ready.getAsBoolean();
            int failureStatus =
                    isKnownPath ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.NOT_FOUND;
            exchange.setStatusCode(isReady ? StatusCodes.OK : failureStatus);
            exchange.endExchange();
        };
    }

    private static HttpHandler metricsPage(MetricsText text) {
        return exchange -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MetricsText.CONTENT_TYPE);
            exchange.getResponseSender().send(text.page());
        };
    }
}
