package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Deque;
import org.masticweir.engine.Vendor;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;
import org.masticweir.standins.http.BodyHandler;
import org.masticweir.standins.http.CountsReport;
import org.masticweir.standins.http.Health;
import org.masticweir.standins.http.Json;
import org.masticweir.standins.http.PauseHandler;

/** The HTTP interface of the engine stand-in; thread-safe. */
final class EngineApi {
    private static final String GENERATION = "/v1/generations/{request}/{generation}";
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    /** The answer to an order or a control call that took effect. */
    private record Applied(boolean applied) {}

    /** The answer to a cancellation. */
    private record Cancelled(boolean cancelled) {}

    /** The answer to an order under an old fencing number. */
    private record OldFencing(String code, long highest) {}

    private final EngineSettings settings;
    private final Engine engine;
    private final Orders orders;
    private final Faults faults;

    private EngineApi(EngineSettings settings, Engine engine, Orders orders, Faults faults) {
        this.settings = checkNotNull(settings, "settings");
        this.engine = checkNotNull(engine, "engine");
        this.orders = checkNotNull(orders, "orders");
        this.faults = checkNotNull(faults, "faults");
    }

    /** Returns the handler of all paths, which a pause holds back. */
    static HttpHandler handler(
            EngineSettings settings, Engine engine, Orders orders, Faults faults) {
        EngineApi api = new EngineApi(settings, engine, orders, faults);
        HttpHandler routes =
                Handlers.routing()
                        .post("/v1/generations", json(GenerationRequest.class, api::submit))
                        .get(GENERATION, api::reread)
                        .get(GENERATION + "/status", api::status)
                        .delete(GENERATION, api::cancel)
                        .get("/v1/health", e -> Json.send(e, OK, Health.ok()))
                        .get("/v1/state", api::state)
                        .get("/v1/cache-events", api::cacheEvents)
                        .post("/v1/orders", json(Order.class, api::order))
                        .get("/v1/orders", e -> Json.send(e, OK, orders.state()))
                        .post("/control", json(ControlRequest.Fields.class, api::control))
                        .get("/control/records", e -> Json.send(e, OK, engine.records()));
        return PauseHandler.of(faults.pause(), routes);
    }

    private static <T> HttpHandler json(Class<T> type, BodyHandler.Consumer<T> consumer) {
        return BodyHandler.json(type, consumer);
    }

    private void submit(HttpServerExchange exchange, GenerationRequest request) {
        int first = request.prefix().size();
        WrongResume wrong = first == 0 ? WrongResume.NONE : faults.wrongResume();
        stream(exchange, engine.submit(request), first, request.attempt(), wrong);
    }

    private void reread(HttpServerExchange exchange) {
        int attempt = intParameter(exchange, "attempt");
        int from = intParameter(exchange, "from");
        stream(
                exchange,
                engine.reread(id(exchange), from, attempt),
                from,
                attempt,
                faults.wrongResume());
    }

    private void stream(
            HttpServerExchange exchange,
            Admission admission,
            int from,
            int attempt,
            WrongResume wrong) {
        admission.refusal().ifPresent(refusal -> Json.send(exchange, admission.status(), refusal));
        admission
                .sequence()
                .map(sequence -> FrameCursor.of(engine, sequence, from, attempt, wrong))
                .ifPresent(c -> StreamWriter.start(exchange, engine, c, faults));
    }

    private void status(HttpServerExchange exchange) {
        Json.send(exchange, OK, engine.status(id(exchange)).orElseThrow(EngineApi::unknown));
    }

    private void cancel(HttpServerExchange exchange) {
        if (!engine.cancel(id(exchange), intParameter(exchange, "attempt"))) {
            throw unknown();
        }
        Json.send(exchange, OK, new Cancelled(true));
    }

    private void state(HttpServerExchange exchange) {
        engine.stateRead();
        Load load = engine.reportedLoad();
        int slots = settings.maxBatch();
        Object report =
                settings.vendor() == Vendor.SHARES
                        ? new SharesReport((double) load.running() / slots, load.waiting(), slots)
                        : new CountsReport(load.running(), load.waiting(), slots);
        Json.send(exchange, OK, report);
    }

    private void cacheEvents(HttpServerExchange exchange) {
        Json.send(exchange, OK, engine.cacheEvents(intParameter(exchange, "since")));
    }

    private void order(HttpServerExchange exchange, Order order) {
        if (orders.apply(order, faults.ignoreFencing())) {
            Json.send(exchange, OK, new Applied(true));
            return;
        }
        long highest = orders.state().highestFencing();
        Json.send(exchange, CONFLICT, new OldFencing("OLD_FENCING", highest));
    }

    private void control(HttpServerExchange exchange, ControlRequest.Fields fields) {
        engine.apply(ControlRequest.of(fields));
        Json.send(exchange, OK, new Applied(true));
    }

    private static GenerationId id(HttpServerExchange exchange) {
        RequestId request = RequestId.of(parameter(exchange, "request"));
        return GenerationId.of(request, intParameter(exchange, "generation"));
    }

    private static int intParameter(HttpServerExchange exchange, String name) {
        String text = parameter(exchange, name);
        try {
            int value = Integer.parseInt(text);
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, with the negative numbers.
        }
        throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, name + " is no count: " + text);
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        if (values == null) {
            throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, name + " is missing");
        }
        return values.getFirst();
    }

    private static MasticweirException unknown() {
        return MasticweirException.notRun(ErrorCode.NOT_FOUND, "no such generation");
    }
}
