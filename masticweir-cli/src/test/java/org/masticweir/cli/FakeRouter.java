package org.masticweir.cli;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.xnio.IoUtils;

/** A router's operator address with answers set by the test; thread-safe. */
final class FakeRouter implements AutoCloseable {
    private final Map<String, Reply> replies = new ConcurrentHashMap<>();
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private final Undertow server;
    private final int port;

    private FakeRouter() {
        server =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1", this::serve)
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .build();
        server.start();
        port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    static FakeRouter start() {
        return new FakeRouter();
    }

    /** Answers {@code call}, a method and path, with the status and body. */
    FakeRouter answer(String call, int status, String body) {
        replies.put(call, new Reply(status, body, Fault.NONE));
        return this;
    }

    FakeRouter fail(String call, Fault fault) {
        replies.put(call, new Reply(0, "", fault));
        return this;
    }

    List<String> bodies() {
        return bodies;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    @Override
    public void close() {
        server.stop();
    }

    private void serve(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullString(
                        (ex, body) -> {
                            if (!body.isEmpty()) {
                                bodies.add(body);
                            }
                            reply(ex);
                        });
    }

    private void reply(HttpServerExchange exchange) {
        String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        Reply reply = replies.getOrDefault(call, new Reply(404, "{}", Fault.NONE));
        switch (reply.fault()) {
            case CLOSE:
                IoUtils.safeClose(exchange.getConnection());
                break;
            case SILENCE:
                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
                break;
            case NONE:
            default:
                exchange.setStatusCode(reply.status()).getResponseSender().send(reply.body());
        }
    }

    /** What may go wrong after a call was taken. */
    enum Fault {
        NONE,
        /** The connection closes without an answer. */
        CLOSE,
        /** Nothing more happens. */
        SILENCE
    }

    private record Reply(int status, String body, Fault fault) {}
}
