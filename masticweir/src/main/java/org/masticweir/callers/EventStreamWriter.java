package org.masticweir.callers;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.AnswerLog;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Streams one answer to one caller as server-sent events.
 *
 * <p>It pulls from the log whenever the connection takes bytes, so that a slow caller holds no more
 * than one part of the answer here. Runs on the connection's I/O thread.
 *
 * <p>Failure guarded against: work is refused at once, but the status 200 is out already, and a
 * caller or balancer that goes by status and {@code Retry-After} takes the refusal for an answer.
 * The head therefore waits for the first word of the answer, or a few milliseconds. A refusal from
 * the queue, later than that, ends the stream as any other error does.
 */
final class EventStreamWriter {
    static final HttpString REQUEST = new HttpString("Masticweir-Request");

    private static final int NONE = 0;
    private static final MasticweirException VOID =
            MasticweirException.of(
                            ErrorCode.ENGINE_LOST,
                            Verdict.MAY_HAVE_RUN,
                            "the generation of the tokens received is lost; ask again from the start")
                    .retryAfterMs(0);
    private static final int TOKENS_A_PART = 256;

    /** How long the head waits for a refusal, which then has a status of its own. */
    private static final long HEAD_WAIT_MS = 20;

    private final HttpServerExchange exchange;
    private final XnioIoThread thread;
    private final AnswerLog log;
    private final KeyVerdict told;
    private final long stallMs;
    private final boolean allowReset;
    private final Runnable wake = this::wake;
    private final AtomicBoolean scheduled = new AtomicBoolean();

    private Optional<XnioExecutor.Key> headWait = Optional.empty();
    private boolean headSent;
    private StreamSinkChannel sink;
    private ByteBuffer part = ByteBuffer.wrap(EventText.accepted());
    private Optional<XnioExecutor.Key> stall = Optional.empty();
    private int generation;
    private int next;
    private boolean lastPart;
    private boolean closed;

    /**
     * Creates a writer that goes on after what the caller has.
     *
     * @param told what may be told of an error
     * @param allowReset whether the caller accepts that all it has becomes void
     */
    EventStreamWriter(
            HttpServerExchange exchange,
            AnswerLog log,
            KeyVerdict told,
            Optional<EventId> last,
            boolean allowReset,
            long stallMs) {
        this.exchange = checkNotNull(exchange, "exchange");
        this.log = checkNotNull(log, "log");
        this.told = checkNotNull(told, "told");
        this.stallMs = stallMs;
        this.allowReset = allowReset;
        thread = exchange.getIoThread();
        generation = last.map(EventId::generation).orElse(NONE);
        next = last.map(id -> id.index() + 1).orElse(0);
    }

    /** Starts; call on the connection's I/O thread. */
    void start(String requestId) {
        exchange.getResponseHeaders().put(REQUEST, requestId);
        exchange.getConnection().addCloseListener(c -> close());
        log.listen(wake);
        headWait =
                Optional.of(
                        thread.executeAfter(
                                this::pumpWithHead, HEAD_WAIT_MS, TimeUnit.MILLISECONDS));
        pump();
    }

    private void pumpWithHead() {
        if (!closed && !headSent) {
            sendHead();
            pump();
        }
    }

    /** Sends the head if it is known what it should say. */
    private void tryHead() {
        AnswerLog.View view = log.read(next, 1);
        Optional<MasticweirException> error =
                view.released() == 0
                        ? view.end().flatMap(EventStreamWriter::errorOf)
                        : Optional.empty();
        if (error.isPresent()) {
            leave();
            ErrorAnswer.send(exchange, told.told(error.get()));
        } else if (view.released() > 0 || view.end().isPresent()) {
            sendHead();
        }
    }

    private void sendHead() {
        headSent = true;
        headWait.ifPresent(XnioExecutor.Key::remove);
        exchange.setStatusCode(200);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        sink = exchange.getResponseChannel();
        sink.getWriteSetter().set(ch -> pump());
    }

    private static Optional<MasticweirException> errorOf(AnswerEnd end) {
        return end instanceof AnswerEnd.Failed failed
                ? Optional.of(failed.error())
                : Optional.empty();
    }

    private void wake() {
        if (scheduled.compareAndSet(false, true)) {
            thread.execute(
                    () -> {
                        scheduled.set(false);
                        pump();
                    });
        }
    }

    private void pump() {
        if (!closed && !headSent) {
            tryHead();
        }
        if (closed || !headSent) {
            return;
        }
        try {
            while (writePart()) {
                if (lastPart) {
                    finish();
                    return;
                }
                if (!nextPart()) {
                    sink.suspendWrites();
                    flush();
                    return;
                }
            }
        } catch (IOException e) {
            abort();
        }
    }

    private boolean writePart() throws IOException {
        while (part.hasRemaining()) {
            if (sink.write(part) == 0) {
                watchForStall();
                sink.resumeWrites();
                return false;
            }
        }
        stall.ifPresent(XnioExecutor.Key::remove);
        stall = Optional.empty();
        return true;
    }

    private boolean nextPart() {
        AnswerLog.View view = log.read(next, TOKENS_A_PART);
        if (view.generation() != generation) {
            return switchGeneration(view.generation());
        }
        if (!view.tokens().isEmpty()) {
            part = ByteBuffer.wrap(EventText.tokens(generation, next, view.tokens()));
            next += view.tokens().length();
            return true;
        }
        if (view.end().isEmpty()) {
            return false;
        }
        part = ByteBuffer.wrap(endOf(view.end().get(), view.released()));
        lastPart = true;
        return true;
    }

    private boolean switchGeneration(int now) {
        boolean hadTokens = next > 0;
        if (hadTokens && !allowReset) {
            // Going on would stitch the answer together from two generations.
            part = ByteBuffer.wrap(EventText.error(VOID));
            lastPart = true;
            return true;
        }
        generation = now;
        next = 0;
        part = ByteBuffer.wrap(hadTokens ? EventText.reset(now) : EventText.NOTHING);
        return true;
    }

    private byte[] endOf(AnswerEnd end, int tokens) {
        if (end instanceof AnswerEnd.Failed failed) {
            return EventText.error(told.told(failed.error()));
        }
        return EventText.end(generation, tokens, ((AnswerEnd.Completed) end).result());
    }

    private void flush() throws IOException {
        if (!sink.flush()) {
            watchForStall();
            sink.resumeWrites();
        }
    }

    private void finish() throws IOException {
        leave();
        sink.shutdownWrites();
        if (!sink.flush()) {
            sink.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    null, ChannelListeners.closingChannelExceptionHandler()));
            sink.resumeWrites();
        }
    }

    /** A caller that takes no byte for too long would hold its connection for ever. */
    private void watchForStall() {
        if (stall.isEmpty()) {
            stall = Optional.of(thread.executeAfter(this::abort, stallMs, TimeUnit.MILLISECONDS));
        }
    }

    private void abort() {
        close();
        IoUtils.safeClose(exchange.getConnection());
    }

    private void close() {
        if (!closed) {
            leave();
        }
    }

    private void leave() {
        closed = true;
        stall.ifPresent(XnioExecutor.Key::remove);
        headWait.ifPresent(XnioExecutor.Key::remove);
        log.unlisten(wake);
    }
}
