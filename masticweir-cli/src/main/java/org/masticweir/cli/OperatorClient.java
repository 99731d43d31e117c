package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Calls one router's operator address and waits for each answer, never past its timeout.
 *
 * <p>Thread-safe; each call opens a connection of its own.
 */
final class OperatorClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16_384;

    /** Longest wait for the traffic thread at the end, in ms; it has nothing left to do. */
    private static final long CLOSE_MS = 1_000;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final InetSocketAddress router;
    private final int timeoutMs;
    private final ClientSecurity security;

    OperatorClient(
            XnioWorker worker, InetSocketAddress router, int timeoutMs, ClientSecurity security) {
        this.worker = checkNotNull(worker, "worker");
        this.router = checkNotNull(router, "router");
        this.timeoutMs = timeoutMs;
        this.security = checkNotNull(security, "security");
    }

    /** Returns a client of the router at {@code router}; close it after use. */
    static OperatorClient open(InetSocketAddress router, int timeoutMs, ClientSecurity security) {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap();
        try {
            XnioWorker worker = Xnio.getInstance().createWorker(options);
            return new OperatorClient(worker, router, timeoutMs, security);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    CallResult get(String path) {
        return await(OperatorCall.get(path, security.authorization(), buffers));
    }

    CallResult post(String path, String body) {
        return await(OperatorCall.post(path, body, security.authorization(), buffers));
    }

    /**
     * Ends the traffic thread, then gives its buffers back.
     *
     * <p>Failure guarded against: the router closes a connection at the moment at which the command
     * ends, the thread still reads from it, finds its buffers gone, and an operator sees a stack
     * trace below a good answer. A thread that doesn't end in time keeps its buffers.
     */
    @Override
    public void close() {
        worker.shutdownNow();
        try {
            if (worker.awaitTermination(CLOSE_MS, TimeUnit.MILLISECONDS)) {
                buffers.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CallResult await(OperatorCall call) {
        try (call) {
            security.connect(call, router, worker, buffers);
            return call.result().get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return call.failure("no answer within " + timeoutMs + " ms");
        } catch (ExecutionException e) {
            return call.failure(String.valueOf(e.getCause().getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return call.failure("interrupted");
        }
    }
}
