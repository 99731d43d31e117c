package org.masticweir.callers;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Ints;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.serving.RequestService;
import org.masticweir.serving.RunningRequest;

/** Answers callers; thread-safe, each exchange stays on its I/O thread. */
public final class CallerHandler implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger(CallerHandler.class);
    private static final int READ_FACTOR = 4;
    private static final String REQUESTS = "/v1/requests";
    private static final String READY = "/v1/ready";
    private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-ID");

    private final RequestService service;
    private final CallerLimits limits;

    private CallerHandler(RequestService service, CallerLimits limits) {
        this.service = checkNotNull(service, "service");
        this.limits = checkNotNull(limits, "limits");
    }

    public static CallerHandler of(RequestService service, CallerLimits limits) {
        return new CallerHandler(service, limits);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        guarded(exchange, beforeBody(exchange), () -> route(exchange));
    }

    /** Returns the rule until the key is known: a call that names no request is about none. */
    private static KeyVerdict beforeBody(HttpServerExchange exchange) {
        boolean sole = !exchange.getRequestPath().startsWith(REQUESTS) || saysFirst(exchange);
        return KeyVerdict.soleIf(() -> sole);
    }

    private static boolean saysFirst(HttpServerExchange exchange) {
        return SubmissionHeader.of(exchange) == SubmissionHeader.FIRST;
    }

    private void route(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals(READY)) {
            answerReady(exchange);
            return;
        }
        checkHead(exchange);
        HttpString method = exchange.getRequestMethod();
        if (path.equals(REQUESTS) && method.equals(Methods.POST)) {
            receiveSubmission(exchange);
        } else if (path.startsWith(REQUESTS + "/") && method.equals(Methods.GET)) {
            readAgain(exchange, path);
        } else if (path.startsWith(REQUESTS + "/") && method.equals(Methods.DELETE)) {
            cancel(exchange, path);
        } else if (path.startsWith(REQUESTS)) {
            throw notRun(ErrorCode.METHOD_NOT_ALLOWED, "this path does not take " + method);
        } else {
            throw notRun(ErrorCode.NOT_FOUND, "no such path");
        }
    }

    private void answerReady(HttpServerExchange exchange) {
        if (!service.view().ready()) {
            boolean leaving = !service.view().intake().ready();
            ErrorCode code = leaving ? ErrorCode.SHUTTING_DOWN : ErrorCode.NO_CONFIGURATION;
            throw notRun(code, "the router takes no new requests");
        }
        exchange.getResponseSender().send("ready\n");
    }

    private void checkHead(HttpServerExchange exchange) {
        long bytes = exchange.getRequestURI().length() + exchange.getQueryString().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length();
            }
        }
        if (bytes > limits.maxHeaderBytes()) {
            throw notRun(
                    ErrorCode.HEADERS_TOO_LARGE,
                    "the head is longer than " + limits.maxHeaderBytes() + " bytes");
        }
    }

    private void receiveSubmission(HttpServerExchange exchange) {
        TeamId team = authenticate(exchange);
        if (exchange.getRequestContentLength() > readBound()) {
            exchange.setPersistent(false);
            throw tooLarge();
        }
        // Read to its end also when it is too long: closing a connection with unread bytes resets
        // it, the reset can overtake the refusal, and the caller would see no code.
        exchange.getRequestReceiver().setMaxBufferSize(readBound());
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ex, bytes) -> guarded(ex, beforeBody(ex), () -> submit(ex, team, bytes)),
                        (ex, e) -> ErrorAnswer.send(ex, beforeBody(ex).told(tooLarge())));
    }

    /** Returns how much of a body that is too long is read before its caller is cut off. */
    private int readBound() {
        return Ints.saturatedCast((long) limits.maxBodyBytes() * READ_FACTOR);
    }

    private void submit(HttpServerExchange exchange, TeamId team, byte[] bytes) {
        if (bytes.length > limits.maxBodyBytes()) {
            throw tooLarge();
        }
        SubmitBody body = SubmitBody.parse(bytes);
        boolean sole = !body.keyed() || saysFirst(exchange);
        guarded(
                exchange,
                KeyVerdict.soleIf(() -> sole),
                () -> submit(exchange, body, body.toSpec(team, limits), sole));
    }

    private void submit(
            HttpServerExchange exchange, SubmitBody body, RequestSpec spec, boolean sole) {
        guarded(
                exchange,
                KeyVerdict.soleIf(() -> sole && !service.knows(spec.id())),
                () -> start(exchange, body, spec, sole));
    }

    private void start(
            HttpServerExchange exchange, SubmitBody body, RequestSpec spec, boolean sole) {
        RunningRequest request = service.submit(spec, body.keyed(), exchange.getIoThread());
        // Dispatched on the same thread, so that the exchange stays open after this call returns.
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    KeyVerdict told = KeyVerdict.soleIf(() -> sole && !request.shared());
                    answer(exchange, request, told, body.streams(), Optional.empty());
                });
    }

    private void readAgain(HttpServerExchange exchange, String path) {
        Optional<String> last =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(LAST_EVENT_ID));
        Optional<EventId> id = last.flatMap(EventId::parse);
        if (last.isPresent() && id.isEmpty()) {
            throw notRun(ErrorCode.BAD_REQUEST, "Last-Event-ID is not generation:index");
        }
        String accept =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.ACCEPT))
                        .orElse("");
        boolean streams = !accept.contains("application/json");
        int shown = id.map(e -> e.index() + 1).orElse(0);
        // Who reads by id may have come back from a connection that was lost, or from elsewhere.
        KeyVerdict told = KeyVerdict.soleIf(() -> false);
        withOwnRequest(
                exchange, path, shown, request -> answer(exchange, request, told, streams, id));
    }

    private void cancel(HttpServerExchange exchange, String path) {
        withOwnRequest(
                exchange,
                path,
                0,
                request -> {
                    request.cancel();
                    exchange.setStatusCode(202);
                    exchange.endExchange();
                });
    }

    private void withOwnRequest(
            HttpServerExchange exchange, String path, int shown, Consumer<RunningRequest> then) {
        TeamId team = authenticate(exchange);
        RequestId id = requestId(path);
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        service.find(id, shown, exchange.getIoThread())
                                .thenAccept(
                                        found ->
                                                guarded(
                                                        exchange,
                                                        beforeBody(exchange),
                                                        () -> then.accept(own(found, team)))));
    }

    private static RequestId requestId(String path) {
        try {
            return RequestId.of(path.substring(REQUESTS.length() + 1));
        } catch (IllegalArgumentException e) {
            throw notRun(ErrorCode.BAD_REQUEST, "not a request id");
        }
    }

    private static RunningRequest own(Optional<RunningRequest> found, TeamId team) {
        // Another team's request is answered like one that does not exist.
        return found.filter(r -> r.spec().team().equals(team))
                .orElseThrow(
                        () ->
                                MasticweirException.of(
                                        ErrorCode.NOT_FOUND,
                                        Verdict.MAY_HAVE_RUN,
                                        "no request of this id is known"));
    }

    private TeamId authenticate(HttpServerExchange exchange) {
        return Authenticator.authenticate(
                exchange,
                service.view()
                        .deployment()
                        .orElseThrow(
                                () ->
                                        notRun(
                                                ErrorCode.NO_CONFIGURATION,
                                                "the router has no configuration yet")));
    }

    private void answer(
            HttpServerExchange exchange,
            RunningRequest request,
            KeyVerdict told,
            boolean streams,
            Optional<EventId> last) {
        String id = request.spec().id().value();
        if (streams) {
            boolean allowReset = request.spec().allowReset();
            new EventStreamWriter(exchange, request.log(), told, last, allowReset, limits.stallMs())
                    .start(id);
        } else {
            new WholeAnswerWriter(exchange, request.log(), told, id).start();
        }
    }

    private static void guarded(HttpServerExchange exchange, KeyVerdict told, Runnable step) {
        try {
            step.run();
        } catch (MasticweirException e) {
            ErrorAnswer.send(exchange, told.told(e));
        } catch (RuntimeException e) {
            LOG.error("callers: request failed inside the router", e);
            ErrorAnswer.send(
                    exchange,
                    MasticweirException.of(
                            ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "internal error"));
        }
    }

    private MasticweirException tooLarge() {
        return notRun(
                ErrorCode.BODY_TOO_LARGE,
                "the body is longer than " + limits.maxBodyBytes() + " bytes");
    }

    private static MasticweirException notRun(ErrorCode code, String message) {
        return MasticweirException.notRun(code, message);
    }
}
