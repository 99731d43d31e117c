package org.masticweir.standins.platform.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.http.IpAddress;
import org.xnio.IoUtils;

/**
 * Serves one service over HTTP and adds its disruption.
 *
 * <p>Everything runs on a few I/O threads, so the service must not block and must be thread-safe. A
 * late answer waits on a timer of its I/O thread. The class is thread-safe.
 */
public final class AnswerServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(AnswerServer.class);
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 1;
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final long MAX_BODY_BYTES = 8L * 1024 * 1024;

    /** Answers calls. */
    @FunctionalInterface
    public interface Service {
        /** Returns the answer to a call; an error is thrown as {@link MasticweirException}. */
        Answer answer(Call call);
    }

    private final Service service;
    private final Disruption disruption;
    private final Undertow undertow;

    private AnswerServer(InetSocketAddress address, Service service, Disruption disruption) {
        this.service = checkNotNull(service, "service");
        this.disruption = checkNotNull(disruption, "disruption");
        undertow =
                Undertow.builder()
                        .addHttpListener(address.getPort(), address.getHostString())
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(WORKER_THREADS)
                        .setBufferSize(BUFFER_BYTES)
                        .setDirectBuffers(false)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setHandler(this::receive)
                        .build();
    }

    /**
     * Starts a server on {@code address}; port 0 takes a free one.
     *
     * @throws IllegalArgumentException if the address cannot be listened on
     */
    public static AnswerServer start(
            InetSocketAddress address, Service service, Disruption disruption) {
        AnswerServer server = new AnswerServer(address, service, disruption);
        try {
            server.undertow.start();
        } catch (RuntimeException e) {
            server.undertow.stop();
            throw new IllegalArgumentException(
                    "cannot listen on " + IpAddress.text(address) + ": " + e.getMessage(), e);
        }
        return server;
    }

    /** Returns the address listened on, with the port taken. */
    public InetSocketAddress address() {
        return (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        undertow.stop();
    }

    private void receive(HttpServerExchange exchange) {
        if (disruption.closes(path(exchange))) {
            drop(exchange);
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> finish(e, answer(e, body)),
                        (e, error) -> finish(e, tooLarge(error.getMessage())));
    }

    private Answer answer(HttpServerExchange exchange, byte[] body) {
        Call call = call(exchange, body);
        try {
            return service.answer(call);
        } catch (MasticweirException e) {
            return Answer.error(e);
        } catch (RuntimeException e) {
            LOG.error("http: {} failed", call, e);
            return Answer.error(ErrorCode.INTERNAL, "the stand-in failed");
        }
    }

    private static Answer tooLarge(String message) {
        return Answer.error(ErrorCode.BODY_TOO_LARGE, "cannot take the body: " + message);
    }

    private void finish(HttpServerExchange exchange, Answer answer) {
        long lateMs = answer.lateMs() + disruption.lateMs(path(exchange));
        if (lateMs == 0) {
            send(exchange, answer);
            return;
        }
        Runnable send = () -> send(exchange, answer);
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> exchange.getIoThread().executeAfter(send, lateMs, TimeUnit.MILLISECONDS));
    }

    private void send(HttpServerExchange exchange, Answer answer) {
        if (answer.isLost() || disruption.closes(path(exchange))) {
            drop(exchange);
            return;
        }
        exchange.setStatusCode(answer.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.contentType());
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
    }

    private static void drop(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Returns the path as sent: a key may hold an encoded slash, which decoding would lose. */
    private static String path(HttpServerExchange exchange) {
        return exchange.getRequestURI();
    }

    private static Call call(HttpServerExchange exchange, byte[] body) {
        ImmutableMap.Builder<String, String> query = ImmutableMap.builder();
        exchange.getQueryParameters().forEach((name, values) -> query.put(name, values.getLast()));
        return Call.of(exchange.getRequestMethod().toString(), path(exchange), query.build(), body);
    }
}
