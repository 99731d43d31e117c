package org.masticweir.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One exchange under way; confined to the I/O thread of its connection. */
final class PendingCall {
    private final HttpCall call;
    private final ConnectionPool pool;
    private final Dialer dialer;
    private final CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
    private final AnswerBuffer answerBody;

    private ClientConnection connection;
    private AnswerFraming framing;
    private TurnTimer timer;
    private boolean handedOver;
    private boolean wholeRequestWritten;
    private boolean ended;

    PendingCall(HttpCall call, ConnectionPool pool, Dialer dialer, AnswerBuffer answerBody) {
        this.call = call;
        this.pool = pool;
        this.dialer = dialer;
        this.answerBody = answerBody;
    }

    CompletableFuture<HttpOutcome> outcome() {
        return outcome;
    }

    /** Starts the exchange on {@code idle} or on a new connection. */
    void start(
            XnioIoThread thread,
            ByteBufferPool buffers,
            Optional<ClientConnection> idle,
            long timeoutMs) {
        timer = TurnTimer.start(thread, timeoutMs, () -> timeOut(timeoutMs));
        if (idle.isPresent() && AnswerFraming.of(idle.get()).isReusable()) {
            send(idle.get());
            return;
        }
        if (idle.isPresent() && !replace(idle.get())) {
            return;
        }
        dialer.dial(
                call.address(), thread, buffers, callback(this::connected, this::connectFailed));
    }

    /** Closes {@code unusable} and returns whether another connection may be opened. */
    private boolean replace(ClientConnection unusable) {
        Dialer.discard(unusable);
        if (!pool.reserve(call.address())) {
            fail("too many connections to " + call.address(), false);
            return false;
        }
        return true;
    }

    private void connected(ClientConnection fresh) {
        InetSocketAddress address = call.address();
        fresh.addCloseListener(c -> pool.free(address));
        if (ended) {
            // The deadline passed while connecting: the call has been told as never sent, so
            // nothing may leave on this connection for it.
            pool.keep(address, fresh);
            return;
        }
        send(fresh);
    }

    private void connectFailed(IOException e) {
        pool.free(call.address());
        fail("no connection: " + e.getMessage(), false);
    }

    private void send(ClientConnection target) {
        connection = target;
        if (!target.isOpen()) {
            fail("connection closed before use", false);
            return;
        }
        // From here on the client may write at any time. A reset, a close or silence no longer
        // tells whether the peer took the request, so every failure counts as perhaps sent.
        handedOver = true;
        framing = AnswerFraming.of(target);
        framing.exchangeStarted(call);
        target.sendRequest(request(), callback(this::exchangeStarted, this::exchangeFailed));
    }

    private ClientRequest request() {
        ClientRequest request = new ClientRequest();
        request.setMethod(HttpString.tryFromString(call.method())).setPath(call.path());
        request.getRequestHeaders().put(Headers.HOST, Dialer.hostAndPort(call.address()));
        call.headers().addTo(request.getRequestHeaders());
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        return request;
    }

    private void exchangeStarted(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::answerStarted, this::connectionFailed));
        ByteBuffer body = ByteBuffer.wrap(call.body());
        StreamSinkChannel sink = exchange.getRequestChannel();
        sink.getWriteSetter().set(c -> write(sink, body));
        write(sink, body);
    }

    private void write(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            wholeRequestWritten = true;
            framing.requestWritten();
        } catch (IOException e) {
            exchangeFailed(e);
        }
    }

    private void answerStarted(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        StreamSourceChannel source = exchange.getResponseChannel();
        source.getReadSetter().set(c -> read(source, response));
        read(source, response);
    }

    private void read(StreamSourceChannel source, ClientResponse response) {
        try (PooledByteBuffer pooled = connection.getBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!ended) {
                buffer.clear();
                int n = source.read(buffer);
                if (n == 0) {
                    source.resumeReads();
                    return;
                }
                if (n < 0) {
                    source.suspendReads();
                    answered(response);
                    return;
                }
                answerBody.append(buffer.flip());
            }
        } catch (IOException e) {
            exchangeFailed(e);
        }
    }

    private void answered(ClientResponse response) {
        if (ended) {
            return;
        }
        ended = true;
        timer.cancel();
        String wish = response.getResponseHeaders().getFirst(Headers.CONNECTION);
        boolean mayBeKept = wholeRequestWritten && !"close".equalsIgnoreCase(wish);
        if (mayBeKept && framing.isReusable()) {
            pool.keep(call.address(), connection);
        } else {
            Dialer.discard(connection);
        }
        HttpAnswer answer = answer(response);
        answerBody.close();
        outcome.complete(new HttpOutcome.Answered(answer));
    }

    private HttpAnswer answer(ClientResponse response) {
        HttpHeaders headers = HttpHeaders.copyOf(response.getResponseHeaders());
        HttpHead head = new HttpHead(response.getResponseCode(), headers);
        return HttpAnswer.of(head, answerBody.toByteArray());
    }

    private void timeOut(long timeoutMs) {
        boolean isAnswering = framing != null && framing.hasReceivedBytes();
        fail("no whole answer in " + timeoutMs + " ms", isAnswering);
    }

    /** Handles a failure that is also reported within the read that finds a regular end. */
    private void connectionFailed(IOException e) {
        connection.getIoThread().execute(() -> exchangeFailed(e));
    }

    private void exchangeFailed(IOException e) {
        boolean isAnswering = e instanceof AnswerLimitException || framing.isExceeded();
        fail(String.valueOf(e.getMessage()), isAnswering);
    }

    private void fail(String reason, boolean isAnswering) {
        if (ended) {
            return;
        }
        // First, as closing the connection below reports its own failure here.
        ended = true;
        timer.cancel();
        answerBody.close();
        if (connection != null) {
            // A late answer on this connection would be taken for the next call's.
            Dialer.discard(connection);
        }
        outcome.complete(
                handedOver
                        ? new HttpOutcome.MayHaveBeenSent(reason, isAnswering)
                        : new HttpOutcome.NeverSent(reason, false));
    }

    private static <T> ClientCallback<T> callback(Consumer<T> done, Consumer<IOException> failed) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                done.accept(result);
            }

            @Override
            public void failed(IOException e) {
                failed.accept(e);
            }
        };
    }
}
