package org.masticweir.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Makes short HTTP exchanges over pooled connections and says of each whether it may have been
 * sent.
 *
 * <p>Nothing blocks: a future completes on the I/O thread of its connection, never exceptionally,
 * and at the latest a little after its deadline, or after a stall of that thread and what was left
 * of the timeout then. A listener with more than a step to do hands over to its own executor. No
 * exchange is ever repeated here. Thread-safe.
 */
public final class HttpCaller implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Memory that the long answers to all calls share. */
    private static final long ANSWER_POOL_BYTES = 16 << 20;

    private final XnioWorker worker;
    private final HttpCallerLimits limits;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final ConnectionPool pool;
    private final Dialer dialer;
    private final AnswerPool answers = AnswerPool.of(ANSWER_POOL_BYTES);

    private HttpCaller(XnioWorker worker, HttpCallerLimits limits, Dialer dialer) {
        this.worker = checkNotNull(worker, "worker");
        this.dialer = checkNotNull(dialer, "dialer");
        this.limits = checkNotNull(limits, "limits");
        pool = new ConnectionPool(limits.connectionsPerAddress(), limits.idleMs());
    }

    /** Returns a caller whose connections live on the I/O threads of {@code worker}. */
    public static HttpCaller create(XnioWorker worker, HttpCallerLimits limits) {
        return create(worker, limits, Dialer.tcp());
    }

    /** Returns a caller that opens its connections with {@code dialer}. */
    public static HttpCaller create(XnioWorker worker, HttpCallerLimits limits, Dialer dialer) {
        return new HttpCaller(worker, limits, dialer);
    }

    /** Makes {@code call} and tells, within {@code timeoutMs} milliseconds, how it ended. */
    public CompletableFuture<HttpOutcome> call(HttpCall call, long timeoutMs) {
        checkNotNull(call, "call");
        checkArgument(timeoutMs >= 1, "timeout %s ms", timeoutMs);
        Optional<ClientConnection> idle = pool.take(call.address());
        if (idle.isEmpty() && !pool.reserve(call.address())) {
            return CompletableFuture.completedFuture(
                    new HttpOutcome.NeverSent("too many connections to " + call.address(), true));
        }
        XnioIoThread thread = idle.map(ClientConnection::getIoThread).orElse(worker.getIoThread());
        AnswerBuffer answer = new AnswerBuffer(limits.maxAnswerBytes(), answers);
        PendingCall pending = new PendingCall(call, pool, dialer, answer);
        try {
            thread.execute(() -> pending.start(thread, buffers, idle, timeoutMs));
        } catch (RejectedExecutionException e) {
            idle.ifPresentOrElse(Dialer::discard, () -> pool.free(call.address()));
            return CompletableFuture.completedFuture(
                    new HttpOutcome.NeverSent("worker stopped", true));
        }
        return pending.outcome();
    }

    /** Closes idle connections; calls under way end by themselves. */
    @Override
    public void close() {
        pool.close();
    }
}
