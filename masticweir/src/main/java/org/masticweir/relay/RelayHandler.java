package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
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
import org.masticweir.error.ErrorCode;
import org.masticweir.forward.RequestParameters;
import org.masticweir.http.HttpHeaders;
import org.masticweir.id.TeamId;

/** Takes callers' requests: finds route and team, reads the body, starts the run. */
final class RelayHandler implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger(RelayHandler.class);

    /** When a caller may come back that was refused for want of a catalog, in ms. */
    private static final long UNSURE_RETURN_MS = 300;

    private final RelayContext context;
    private final DrainingAdmission intake;
    private final KeepAliveConnections kept;

    RelayHandler(RelayContext context, DrainingAdmission intake, KeepAliveConnections kept) {
        this.context = checkNotNull(context, "context");
        this.intake = checkNotNull(intake, "intake");
        this.kept = checkNotNull(kept, "kept");
    }

    /** A request that is refused before it is read. */
    private static final class Refusal extends Exception {
        private static final long serialVersionUID = 1;

        private final ErrorCode code;

        Refusal(ErrorCode code, String reason) {
            super(reason, null, false, false);
            this.code = code;
        }
    }

    /** What the head of a request leads to. */
    private record Admitted(
            HttpHeaders headers,
            RequestMetadata caller,
            Route route,
            Optional<TeamId> team,
            ServiceName service,
            Optional<EngineSpec> engine,
            long receivedMs) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        intake.requestStarted();
        ExchangeEnd.onEnd(exchange, kept, intake::requestEnded);
        exchange.addResponseCommitListener(this::endConnectionIfLeaving);
        try {
            Admitted admitted = admit(exchange, context.view().get());
            readBody(exchange, admitted);
        } catch (Refusal refusal) {
            refuse(exchange, refusal);
        } catch (RuntimeException e) {
            LOG.error("relay: a request failed inside the router", e);
            refuse(exchange, new Refusal(ErrorCode.INTERNAL, "internal error"));
        }
    }

    /** With the answer, not with the request: the order to leave may come between them. */
    private void endConnectionIfLeaving(HttpServerExchange exchange) {
        if (intake.isDraining()) {
            exchange.setPersistent(false);
        }
    }

    private Admitted admit(HttpServerExchange exchange, RelayView view) throws Refusal {
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
                        .orElseThrow(() -> unknown(view, ErrorCode.NOT_FOUND, "no such route"));
        RequestMetadata caller = callerHead(headers);
        checkIntake(route, caller, now, false);
        Optional<Team> team = team(view, catalog, route, caller);
        ServiceName service = route.service(caller.requestId().hashCode());
        Optional<EngineSpec> engine = catalog.service(service).flatMap(ServiceSpec::engine);
        exchange.setMaxEntitySize(catalog.limits().maxBodyBytes());
        if (exchange.getRequestContentLength() > catalog.limits().maxBodyBytes()) {
            throw new Refusal(ErrorCode.BODY_TOO_LARGE, "the body is too long");
        }
        return new Admitted(headers, caller, route, team.map(Team::id), service, engine, now);
    }

    /**
     * Refuses what may not end before this router does.
     *
     * <p>Failure guarded against: a head that comes early says nothing of when its body ends, and a
     * request that is whole only then is cut off at its server.
     *
     * @param whole whether the body has been read, too; it is asked before and after
     */
    private void checkIntake(Route route, RequestMetadata caller, long receivedMs, boolean whole)
            throws Refusal {
        long now = context.clock().nowMs();
        OptionalLong needsMs =
                route.streams()
                        ? context.pace().expectedMs(caller.size())
                        : OptionalLong.of(receivedMs + waitMs(route, caller) - now);
        boolean taken =
                route.streams()
                        ? intake.admitsStream(needsMs, now)
                        : intake.admits(needsMs.getAsLong(), now);
        if (intake.isDraining() && (whole || !taken)) {
            LOG.info(
                    "relay: request {} {} {} ms after the order to leave, it needs {} ms of {} ms",
                    caller.requestId(),
                    taken ? "taken" : "not taken",
                    intake.leavingForMs(now),
                    needsMs.isPresent() ? needsMs.getAsLong() : "unknown",
                    intake.remainingMs(now));
        }
        if (!taken) {
            throw new Refusal(ErrorCode.SHUTTING_DOWN, "this router is leaving");
        }
    }

    /** Returns the time after which the request ends in any case. */
    private static long waitMs(Route route, RequestMetadata caller) {
        return Math.min(caller.timeoutMs().orElse(Long.MAX_VALUE), route.timeoutMs());
    }

    /**
     * Refuses a request whose length can be read in two ways.
     *
     * <p>Failure guarded against: the router takes one length and a server the other, and the rest
     * of the body runs there as a request that no caller sent.
     */
    private static void checkFraming(HttpServerExchange exchange) throws Refusal {
        int lengths = count(exchange, Headers.CONTENT_LENGTH_STRING);
        int encodings = count(exchange, Headers.TRANSFER_ENCODING_STRING);
        if (lengths + encodings > 1) {
            throw new Refusal(ErrorCode.BAD_REQUEST, "two lengths");
        }
    }

    private static int count(HttpServerExchange exchange, String name) {
        return exchange.getRequestHeaders().contains(name)
                ? exchange.getRequestHeaders().get(name).size()
                : 0;
    }

    private RequestMetadata callerHead(HttpHeaders headers) throws Refusal {
        try {
            return context.dialect().parseRequestMetadata(headers);
        } catch (IllegalArgumentException e) {
            throw new Refusal(ErrorCode.BAD_REQUEST, "malformed header field");
        }
    }

    private static Optional<Team> team(
            RelayView view, Catalog catalog, Route route, RequestMetadata caller) throws Refusal {
        if (!catalog.hasTeams() || route.open()) {
            return Optional.empty();
        }
        Optional<Team> team = caller.teamKey().flatMap(catalog::teamOf);
        if (team.isEmpty()) {
            throw unknown(view, ErrorCode.UNAUTHORIZED, "no such key");
        }
        return team;
    }

    /**
     * Says that something does not exist only when this router is sure of it.
     *
     * <p>Failure guarded against: a router that has heard nothing for a while denies what a newer
     * catalog has. A caller doesn't come back after such an answer, but does after this one.
     */
    private static Refusal unknown(RelayView view, ErrorCode code, String reason) {
        return view.isCatalogFresh()
                ? new Refusal(code, reason)
                : new Refusal(ErrorCode.NO_CONFIGURATION, "the configuration may be old");
    }

    private void readBody(HttpServerExchange exchange, Admitted admitted) {
        Receiver receiver = exchange.getRequestReceiver();
        receiver.receiveFullBytes(
                (ex, body) ->
                        ex.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () -> startOrRefuse(ex, admitted, body)),
                (ex, e) -> {
                    LOG.info(
                            "relay: body of request {} could not be read, {}",
                            admitted.caller().requestId(),
                            e.getMessage());
                    boolean tooLong = e instanceof Receiver.RequestToLargeException;
                    ex.setPersistent(false);
                    refuse(
                            ex,
                            new Refusal(
                                    tooLong ? ErrorCode.BODY_TOO_LARGE : ErrorCode.BAD_REQUEST,
                                    "the body could not be read"));
                });
    }

    private void startOrRefuse(HttpServerExchange exchange, Admitted admitted, byte[] body) {
        try {
            checkIntake(admitted.route(), admitted.caller(), admitted.receivedMs(), true);
            start(exchange, admitted, body);
        } catch (Refusal refusal) {
            refuse(exchange, refusal);
        }
    }

    private void start(HttpServerExchange exchange, Admitted admitted, byte[] body) {
        long waitMs = waitMs(admitted.route(), admitted.caller());
        RequestParameters plan =
                new RequestParameters(
                        admitted.route(),
                        admitted.service(),
                        admitted.engine(),
                        admitted.caller().size(),
                        admitted.caller().prompt(),
                        admitted.caller().lastEventId(),
                        admitted.receivedMs(),
                        admitted.receivedMs() + waitMs);
        RelayRequest request =
                RelayRequest.of(
                        exchange,
                        plan,
                        admitted.caller(),
                        admitted.team(),
                        admitted.headers(),
                        body);
        new RelayRun(context, request, exchange).start();
    }

    private void refuse(HttpServerExchange exchange, Refusal refusal) {
        LOG.info(
                "relay: refused {} {}, {} {}",
                exchange.getRequestMethod(),
                exchange.getRequestURI(),
                refusal.code,
                refusal.getMessage());
        context.metrics().refusedUnread(refusal.code);
        new CallerAnswer(exchange, () -> {})
                .error(refusal.code, returnMs(refusal.code), refusal.getMessage());
    }

    private OptionalLong returnMs(ErrorCode code) {
        return switch (code) {
            case NO_CONFIGURATION -> OptionalLong.of(UNSURE_RETURN_MS);
            case SHUTTING_DOWN -> OptionalLong.of(intake.balancerMs(context.clock().nowMs()));
            default -> OptionalLong.empty();
        };
    }
}
