package org.masticweir.bench.path;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpStream;
import org.masticweir.http.HttpStreamListener;
import org.masticweir.standins.engine.TokenStamp;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Keeps a number of streams open, each followed by the next, and counts what they bring.
 *
 * <p>A closed loop: it measures what a token costs, not how long a caller waits. Thread-safe.
 */
final class PathLoad implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long CONNECT_TIMEOUT_MS = 5_000;
    private static final long HIGHEST_US = 60_000_000;
    private static final int DIGITS = 3;
    private static final long OPEN_AGAIN_MS = 200;

    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final XnioWorker worker;
    private final ImmutableList<CallSource> sources;
    private final int tokensEach;
    private final ConcurrentHistogram latencyUs = new ConcurrentHistogram(HIGHEST_US, DIGITS);
    private final LongAdder tokens = new LongAdder();
    private final LongAdder ended = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final AtomicInteger opened = new AtomicInteger();
    private volatile boolean closed;

    /** Gives the calls of one target, each different. */
    interface CallSource {
        HttpCall next(int number);
    }

    private PathLoad(XnioWorker worker, ImmutableList<CallSource> sources, int tokensEach) {
        this.worker = checkNotNull(worker, "worker");
        this.sources = checkNotNull(sources, "sources");
        this.tokensEach = tokensEach;
    }

    /** Opens the streams of {@code shape}, taking the sources in turn. */
    static PathLoad start(XnioWorker worker, ImmutableList<CallSource> sources, PathShape shape) {
        PathLoad load = new PathLoad(worker, sources, shape.tokens());
        for (int i = 0; i < shape.streams(); i++) {
            load.open(worker.getIoThread());
        }
        return load;
    }

    /** Counts since the start, and starts the latencies anew. */
    Counts read() {
        Histogram latency = latencyUs.copy();
        latencyUs.reset();
        return new Counts(tokens.sum(), ended.sum(), failed.sum(), latency);
    }

    @Override
    public void close() {
        closed = true;
    }

    private void open(XnioIoThread thread) {
        if (closed) {
            return;
        }
        int number = opened.getAndIncrement();
        HttpCall call = sources.get(number % sources.size()).next(number);
        thread.execute(
                () ->
                        HttpStream.open(
                                thread, buffers, call, CONNECT_TIMEOUT_MS, new Stream(thread)));
    }

    private void token(int stamp) {
        tokens.increment();
        latencyUs.recordValue(Math.min(HIGHEST_US, TokenStamp.usBetween(stamp, TokenStamp.now())));
    }

    /** What the streams brought so far; the latencies are those since the last reading. */
    record Counts(long tokens, long ended, long failed, Histogram latencyUs) {}

    /** One stream; on one I/O thread. */
    private final class Stream implements HttpStreamListener {
        private final StampReader reader = new StampReader(this::token);
        private final XnioIoThread thread;
        private int read;

        Stream(XnioIoThread thread) {
            this.thread = thread;
        }

        @Override
        public void head(HttpHead head) {}

        @Override
        public void bytes(ByteBuffer part) {
            reader.bytes(part);
        }

        private void token(int stamp) {
            read++;
            PathLoad.this.token(stamp);
        }

        /** A refusal ends an answer too, after the headers of success: only the tokens tell. */
        @Override
        public void end() {
            if (read == tokensEach) {
                ended.increment();
                open(thread);
            } else {
                fail();
            }
        }

        @Override
        public void lost(boolean sent) {
            fail();
        }

        private void fail() {
            if (closed) {
                return;
            }
            failed.increment();
            thread.executeAfter(() -> open(thread), OPEN_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }
}
