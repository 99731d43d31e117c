package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.masticweir.callers.ErrorAnswer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.metrics.MetricsPage;
import org.xnio.XnioWorker;

/**
 * Answers operators.
 *
 * <p>Answers are made and written as JSON on the worker's task threads, so that a long list holds
 * up neither callers' traffic nor the control thread. Thread-safe.
 */
public final class OperatorHandler implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger(OperatorHandler.class);

    private final OperatorSources sources;
    private final OperatorLimits limits;
    private final OperatorAccess access;

    private OperatorHandler(OperatorSources sources, OperatorLimits limits, OperatorAccess access) {
        this.sources = checkNotNull(sources, "sources");
        this.limits = checkNotNull(limits, "limits");
        this.access = checkNotNull(access, "access");
    }

    /** Returns a handler for the whole of the operators' port. */
    public static OperatorHandler of(
            OperatorQueries queries,
            OperatorCommands commands,
            MetricsPage metrics,
            OperatorLimits limits,
            OperatorAccess access) {
        return new OperatorHandler(new OperatorSources(queries, commands, metrics), limits, access);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        try {
            String operator = access.operatorOf(exchange);
            OperatorCall call = callOf(exchange);
            if (!call.method().equals(Methods.GET)) {
                LOG.info("operators: {} by {}", call, operator);
            }
            receive(exchange, call);
        } catch (RuntimeException e) {
            fail(exchange, e);
        }
    }

    private static OperatorCall callOf(HttpServerExchange exchange) {
        ImmutableList<OperatorCall> calls = OperatorCall.at(exchange.getRequestPath());
        if (calls.isEmpty()) {
            throw MasticweirException.notRun(ErrorCode.NOT_FOUND, "no such path");
        }
        for (OperatorCall call : calls) {
            if (call.method().equals(exchange.getRequestMethod())) {
                return call;
            }
        }
        String allowed = Joiner.on(", ").join(Lists.transform(calls, OperatorCall::method));
        exchange.getResponseHeaders().put(Headers.ALLOW, allowed);
        throw MasticweirException.notRun(
                ErrorCode.METHOD_NOT_ALLOWED, "this path takes only " + allowed);
    }

    private void receive(HttpServerExchange exchange, OperatorCall call) {
        // Undertow fixes a chunked body's bound before any handler runs, so setMaxEntitySize here
        // would let such a body grow without limit; the receiver's own bound holds for both kinds.
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(limits.maxBodyBytes());
        receiver.receiveFullBytes(
                (ex, bytes) -> answer(ex, call, bytes), (ex, e) -> refuseRest(ex, e));
    }

    /** Refuses a body part of which is still unread, so that the connection cannot be kept. */
    private void refuseRest(HttpServerExchange exchange, IOException cause) {
        exchange.setPersistent(false);
        boolean tooLarge = cause instanceof Receiver.RequestToLargeException;
        fail(
                exchange,
                tooLarge
                        ? MasticweirException.notRun(
                                ErrorCode.BODY_TOO_LARGE,
                                "the body is longer than " + limits.maxBodyBytes() + " bytes")
                        : MasticweirException.notRun(
                                ErrorCode.BAD_REQUEST, "the body did not arrive whole"));
    }

    private void answer(HttpServerExchange exchange, OperatorCall call, byte[] body) {
        CompletableFuture<String> answer =
                compute(exchange.getConnection().getWorker(), call, body);
        // Dispatched on the same thread, so that the exchange stays open after this call returns.
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> answer.whenComplete((json, error) -> finish(exchange, call, json, error)));
    }

    private CompletableFuture<String> compute(XnioWorker worker, OperatorCall call, byte[] body) {
        return CompletableFuture.supplyAsync(() -> call.answer(sources, body), worker)
                .thenCompose(answer -> answer)
                .thenApplyAsync(OperatorJson::write, worker)
                .orTimeout(limits.answerTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    /** Ends the exchange on its own thread, whichever thread the answer came from. */
    private void finish(
            HttpServerExchange exchange,
            OperatorCall call,
            @Nullable String json,
            @Nullable Throwable error) {
        exchange.getIoThread()
                .execute(
                        () -> {
                            if (error != null) {
                                fail(exchange, unwrap(error));
                            } else {
                                respond(exchange, call, json);
                            }
                        });
    }

    private static void respond(HttpServerExchange exchange, OperatorCall call, String json) {
        exchange.setStatusCode(call.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(json, StandardCharsets.UTF_8);
    }

    private static Throwable unwrap(Throwable error) {
        boolean wrapped = error instanceof CompletionException && error.getCause() != null;
        return wrapped ? error.getCause() : error;
    }

    private void fail(HttpServerExchange exchange, Throwable error) {
        if (error instanceof MasticweirException e) {
            ErrorAnswer.send(exchange, e);
        } else if (error instanceof TimeoutException) {
            // A change that the platform swallowed may have been written all the same.
            ErrorAnswer.send(
                    exchange,
                    MasticweirException.of(
                            ErrorCode.DEADLINE_EXCEEDED,
                            Verdict.MAY_HAVE_RUN,
                            "no answer within " + limits.answerTimeoutMs() + " ms"));
        } else {
            LOG.error("operators: call failed inside the router", error);
            ErrorAnswer.send(
                    exchange,
                    MasticweirException.of(
                            ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "internal error"));
        }
    }
}
