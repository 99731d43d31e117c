package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.EngineSpec;
import org.masticweir.catalog.Route;
import org.masticweir.catalog.ServiceName;
import org.masticweir.catalog.ServiceSpec;
import org.masticweir.catalog.Team;
import org.masticweir.catalog.TeamName;
import org.masticweir.error.ErrorCode;
import org.masticweir.forward.RequestParameters;
import org.masticweir.http.HttpHeaders;

/** Handles callers' requests: finds route and team, reads the body, starts the request. */
final class RelayHandler implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger(RelayHandler.class);

    /**
     * Retry delay for a caller that was refused because the catalog is missing or may be outdated,
     * in ms.
     */
    private static final long NO_CONFIGURATION_RETRY_MS = 300;

    private final RelayContext context;
    private final DrainingAdmission admission;
    private final KeepAliveConnections connections;

    RelayHandler(
            RelayContext context, DrainingAdmission admission, KeepAliveConnections connections) {
        this.context = checkNotNull(context, "context");
        this.admission = checkNotNull(admission, "admission");
        this.connections = checkNotNull(connections, "connections");
    }

    /** Thrown when a request is refused before it starts. */
    private static final class Refusal extends Exception {
        private static final long serialVersionUID = 1;

        private final ErrorCode code;

        /** What the refusal rests on, for the log only. */
        private final String basis;

        Refusal(ErrorCode code, String reason) {
            this(code, reason, "");
        }

        Refusal(ErrorCode code, String reason, String basis) {
            super(reason, null, false, false);
            this.code = code;
            this.basis = basis;
        }
    }

    /** A request whose headers were accepted, with its entries of the catalog. */
    private record AdmittedRequest(
            HttpHeaders headers,
            RequestMetadata metadata,
            Route route,
            Optional<TeamName> team,
            ServiceName service,
            Optional<EngineSpec> engine,
            long receivedMs,
            long maxBodyBytes,
            long catalogVersion) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        admission.requestStarted();
        ExchangeCompletion.addListener(exchange, connections, admission::requestEnded);
        exchange.addResponseCommitListener(this::closeConnectionIfDraining);
        try {
            AdmittedRequest admitted = admit(exchange, context.view().get());
            readBody(exchange, admitted);
        } catch (Refusal refusal) {
            refuseUnread(exchange, refusal);
        } catch (RuntimeException e) {
            LOG.error("relay: request failed with an internal error", e);
            refuse(exchange, new Refusal(ErrorCode.INTERNAL, "internal error"));
        }
    }

    /**
     * Refuses a request once its body has been read. A caller that waits for leave to send its body
     * is refused at once, and so is a request whose length is ambiguous.
     */
    private void refuseUnread(HttpServerExchange exchange, Refusal refusal) {
        boolean isBodyExpected =
                !exchange.isRequestComplete()
                        && !HttpContinue.requiresContinueResponse(exchange)
                        && lengthFieldCount(exchange) == 1;
        if (!isBodyExpected) {
            refuse(exchange, refusal);
            return;
        }
        BodyReader.read(
                exchange,
                0,
                new BodyReader.Listener() {
                    @Override
                    public void onBody(byte[] body) {
                        refuse(exchange, refusal);
                    }

                    @Override
                    public void onTooLong() {
                        refuse(exchange, refusal);
                    }

                    @Override
                    public void onFailed(IOException e) {
                        refuse(exchange, refusal);
                    }
                });
    }

    /**
     * Marks the connection to be closed after the answer if the router is draining. This check runs
     * at the start of the answer, because the shutdown may start after the request.
     */
    private void closeConnectionIfDraining(HttpServerExchange exchange) {
        if (admission.isDraining()) {
            exchange.setPersistent(false);
        }
    }

    private AdmittedRequest admit(HttpServerExchange exchange, RelayView view) throws Refusal {
        long now = context.clock().nowMs();
        checkFraming(exchange);
        if (view.catalog().isEmpty()) {
            throw new Refusal(ErrorCode.NO_CONFIGURATION, "no configuration yet");
        }
        Catalog catalog = view.catalog().get();
        HttpHeaders headers = HttpHeaders.copyOf(exchange.getRequestHeaders());
        String host = headers.first(Headers.HOST_STRING).orElse("");
        Route route =
                catalog.route(host, exchange.getRequestURI())
                        .orElseThrow(
                                () ->
                                        denial(
                                                catalog.version(),
                                                ErrorCode.NOT_FOUND,
                                                "no such route"));
        RequestMetadata metadata = parseMetadata(headers);
        checkAdmission(route, metadata, now, false);
        Optional<Team> team = team(catalog, route, metadata);
        ServiceName service = route.service(metadata.requestId().hashCode());
        Optional<EngineSpec> engine = catalog.service(service).flatMap(ServiceSpec::engine);
        if (exchange.getRequestContentLength() > catalog.limits().maxBodyBytes()) {
            throw bodyTooLong(catalog.version());
        }
        return new AdmittedRequest(
                headers,
                metadata,
                route,
                team.map(Team::name),
                service,
                engine,
                now,
                catalog.limits().maxBodyBytes(),
                catalog.version());
    }

    /**
     * Refuses a request that might not end before this router exits.
     *
     * <p>Called after the headers and again after the body, because a body may be complete long
     * after its headers. Without the second check, a request with a late body would be interrupted
     * at its server.
     *
     * @param isBodyRead whether the body has been read
     */
    private void checkAdmission(
            Route route, RequestMetadata metadata, long receivedMs, boolean isBodyRead)
            throws Refusal {
        long now = context.clock().nowMs();
        OptionalLong expectedMs =
                route.streams()
                        ? context.streamDurations().expectedDurationMs(metadata.size())
                        : OptionalLong.of(receivedMs + timeoutMs(route, metadata) - now);
        boolean isAdmitted =
                route.streams()
                        ? admission.admitsStream(expectedMs, now)
                        : admission.admits(expectedMs.getAsLong(), now);
        if (admission.isDraining() && (isBodyRead || !isAdmitted)) {
            LOG.info(
                    "relay: request {} {} {} ms after the order to leave, it needs {} ms of {} ms",
                    metadata.requestId(),
                    isAdmitted ? "taken" : "not taken",
                    admission.drainingForMs(now),
                    expectedMs.isPresent() ? expectedMs.getAsLong() : "unknown",
                    admission.remainingMs(now));
        }
        if (!isAdmitted) {
            throw new Refusal(ErrorCode.SHUTTING_DOWN, "this router is leaving");
        }
    }

    /** Returns the longest time that the request can take. */
    private static long timeoutMs(Route route, RequestMetadata metadata) {
        return Math.min(metadata.timeoutMs().orElse(Long.MAX_VALUE), route.timeoutMs());
    }

    /**
     * Refuses a request whose length is ambiguous.
     *
     * <p>Prevents request smuggling: if the router used the first length and a server used the
     * second, the server would run the rest of the body as a request that no caller sent.
     */
    private static void checkFraming(HttpServerExchange exchange) throws Refusal {
        if (lengthFieldCount(exchange) > 1) {
            throw new Refusal(ErrorCode.BAD_REQUEST, "two lengths");
        }
    }

    private static int lengthFieldCount(HttpServerExchange exchange) {
        return count(exchange, Headers.CONTENT_LENGTH_STRING)
                + count(exchange, Headers.TRANSFER_ENCODING_STRING);
    }

    private static int count(HttpServerExchange exchange, String name) {
        return exchange.getRequestHeaders().contains(name)
                ? exchange.getRequestHeaders().get(name).size()
                : 0;
    }

    private RequestMetadata parseMetadata(HttpHeaders headers) throws Refusal {
        try {
            return context.protocol().parseRequestMetadata(headers);
        } catch (IllegalArgumentException e) {
            throw new Refusal(ErrorCode.BAD_REQUEST, "malformed header field");
        }
    }

    private Optional<Team> team(Catalog catalog, Route route, RequestMetadata metadata)
            throws Refusal {
        if (!catalog.hasTeams() || route.open()) {
            return Optional.empty();
        }
        Optional<Team> team = metadata.teamKey().flatMap(catalog::teamOf);
        if (team.isEmpty()) {
            throw denial(catalog.version(), ErrorCode.UNAUTHORIZED, "no such key");
        }
        if (!team.get().name().fitsField()) {
            throw new Refusal(ErrorCode.NO_ENGINE, "the team's name fits no header field");
        }
        return team;
    }

    /**
     * Returns the refusal of a request that this router's catalog does not allow: a definite error
     * if the catalog is known to be the newest, and a retryable error otherwise.
     *
     * <p>A newer catalog that this router has not received yet may allow the request. Callers retry
     * only after the retryable error.
     */
    private Refusal denial(long catalogVersion, ErrorCode code, String reason) {
        long now = context.clock().nowMs();
        CatalogEvidence evidence = context.catalogEvidence().get();
        boolean isDenied = evidence.permitsDenial(catalogVersion, now);
        evidence.ageMs(now).ifPresent(a -> context.metrics().recordDenialEvidence(isDenied, a));
        String basis = " (" + evidence.describe(now) + ")";
        return isDenied
                ? new Refusal(code, reason, basis)
                : new Refusal(ErrorCode.NO_CONFIGURATION, "the configuration may be old", basis);
    }

    private Refusal bodyTooLong(long catalogVersion) {
        return denial(catalogVersion, ErrorCode.BODY_TOO_LARGE, "the body is too long");
    }

    private void readBody(HttpServerExchange exchange, AdmittedRequest admitted) {
        BodyReader.read(
                exchange,
                admitted.maxBodyBytes(),
                new BodyReader.Listener() {
                    @Override
                    public void onBody(byte[] body) {
                        startOrRefuse(exchange, admitted, body);
                    }

                    @Override
                    public void onTooLong() {
                        refuse(exchange, bodyTooLong(admitted.catalogVersion()));
                    }

                    @Override
                    public void onFailed(IOException e) {
                        LOG.info(
                                "relay: body of request {} could not be read, {}",
                                admitted.metadata().requestId(),
                                e.getMessage());
                        refuse(
                                exchange,
                                new Refusal(ErrorCode.BAD_REQUEST, "the body could not be read"));
                    }
                });
    }

    private void startOrRefuse(HttpServerExchange exchange, AdmittedRequest admitted, byte[] body) {
        try {
            checkAdmission(admitted.route(), admitted.metadata(), admitted.receivedMs(), true);
            start(exchange, admitted, body);
        } catch (Refusal refusal) {
            refuse(exchange, refusal);
        } catch (RuntimeException e) {
            LOG.error(
                    "relay: request {} failed with an internal error",
                    admitted.metadata().requestId(),
                    e);
            refuse(exchange, new Refusal(ErrorCode.INTERNAL, "internal error"));
        }
    }

    private void start(HttpServerExchange exchange, AdmittedRequest admitted, byte[] body) {
        long timeoutMs = timeoutMs(admitted.route(), admitted.metadata());
        RequestParameters params =
                new RequestParameters(
                        admitted.route(),
                        admitted.service(),
                        admitted.engine(),
                        admitted.metadata().size(),
                        admitted.metadata().prompt(),
                        admitted.metadata().lastEventId(),
                        admitted.receivedMs(),
                        admitted.receivedMs() + timeoutMs);
        RelayRequest request =
                RelayRequest.of(
                        exchange,
                        params,
                        admitted.metadata(),
                        admitted.team(),
                        admitted.headers(),
                        body,
                        admitted.catalogVersion());
        new RequestLifecycle(context, request, exchange).start();
    }

    private void refuse(HttpServerExchange exchange, Refusal refusal) {
        LOG.info(
                "relay: refused {} {}, {} {}{}",
                exchange.getRequestMethod(),
                exchange.getRequestURI(),
                refusal.code,
                refusal.getMessage(),
                refusal.basis);
        context.metrics().countEarlyRefusal(refusal.code);
        new CallerAnswerWriter(
                        exchange, context.answerPool(), reason -> handleCut(exchange, reason))
                .sendError(refusal.code, retryAfterMs(refusal.code), refusal.getMessage());
    }

    private void handleCut(HttpServerExchange exchange, CutReason reason) {
        LOG.info(
                "relay: refusal of {} {} was cut, {} by the {}",
                exchange.getRequestMethod(),
                exchange.getRequestURI(),
                reason,
                reason.decider());
        context.metrics().countCut(reason);
    }

    private OptionalLong retryAfterMs(ErrorCode code) {
        return switch (code) {
            case NO_CONFIGURATION -> OptionalLong.of(NO_CONFIGURATION_RETRY_MS);
            case SHUTTING_DOWN ->
                    OptionalLong.of(admission.balancerDetectionLeftMs(context.clock().nowMs()));
            default -> OptionalLong.empty();
        };
    }
}
