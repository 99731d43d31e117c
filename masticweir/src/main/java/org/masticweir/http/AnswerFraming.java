package org.masticweir.http;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Checks and limits what a connection receives, before the client library parses it. Confined to
 * the I/O thread of the connection.
 *
 * <p>A head is passed on once it is complete and sound; interim heads are dropped. A read that
 * finds malformed bytes fails, so the exchange ends as on a broken connection. So does a read
 * beyond the limit on bytes that are no body: heads, sizes of chunks, trailers, and bytes that no
 * exchange asked for. Without the limit, a server that sends such bytes without end could exhaust
 * the memory, or keep the I/O thread in the parser.
 */
final class AnswerFraming {
    /** Bytes of an exchange that may be no body. */
    static final int MAX_BYTES = 64 << 10;

    /** Bytes on the connection for each byte of a body; a chunk of one byte takes six. */
    private static final int MAX_EXPANSION = 16;

    private static final Logger LOG = LogManager.getLogger(AnswerFraming.class);
    private static final AttachmentKey<AnswerFraming> KEY =
            AttachmentKey.create(AnswerFraming.class);
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private final AnswerSyntax syntax = new AnswerSyntax();
    private Optional<ConduitStreamSourceChannel> source = Optional.empty();

    /** A checked head, and what came with its end, that the library has not read. */
    private ByteBuffer checked = EMPTY;

    private long receivedBytes;
    private boolean isRequestWritten;
    private boolean isLifted;
    private boolean hasEnded;

    /** Why reads fail from now on. */
    private Optional<IOException> failure = Optional.empty();

    /** Installs the checks on a connection that no exchange has used. */
    static AnswerFraming install(StreamConnection connection) {
        AnswerFraming framing = new AnswerFraming();
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setConduit(framing.new CheckedConduit(source.getConduit()));
        framing.source = Optional.of(source);
        return framing;
    }

    /** Makes the checks known to the exchanges on {@code connection}. */
    void attachTo(ClientConnection connection) {
        if (connection instanceof Attachable attachable) {
            attachable.putAttachment(KEY, this);
        }
    }

    /** Returns the checks of {@code connection}; some without effect if it has none. */
    static AnswerFraming of(ClientConnection connection) {
        AnswerFraming installed =
                connection instanceof Attachable attachable ? attachable.getAttachment(KEY) : null;
        return installed == null ? new AnswerFraming() : installed;
    }

    /**
     * Returns whether the connection can carry an exchange: the peer has not closed it, and no byte
     * is there that no exchange asked for. Call between two exchanges.
     *
     * <p>Bytes that follow an answer would pass for the answer of the next exchange.
     */
    boolean isReusable() {
        if (source.isEmpty()) {
            return true;
        }
        try {
            return source.get().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            LOG.debug("http: a kept connection is not used again", e);
            return false;
        }
    }

    /** Begins the exchange of {@code call}. */
    void exchangeStarted(HttpCall call) {
        receivedBytes = 0;
        isRequestWritten = false;
        syntax.start(RequestTraits.of(call));
    }

    /** Records that the last byte of the request was written. */
    void requestWritten() {
        isRequestWritten = true;
    }

    /** Returns whether bytes of the exchange's answer came. */
    boolean hasReceivedBytes() {
        return receivedBytes > 0;
    }

    /** Returns whether reads fail because of the limit. */
    boolean isExceeded() {
        return failure.filter(AnswerLimitException.class::isInstance).isPresent();
    }

    /** Returns what is malformed if reads fail because of that. */
    Optional<String> malformation() {
        return failure.filter(MalformedAnswerException.class::isInstance)
                .map(IOException::getMessage);
    }

    /** Ends the checks: what follows on the connection are bytes of another protocol. */
    void lift() {
        isLifted = true;
    }

    /**
     * Checks what was read into {@code buffer} from {@code start} on, and leaves there what may be
     * parsed now: sound bytes before malformed ones, and nothing of a head that is not complete.
     */
    private int check(ByteBuffer buffer, int start) {
        ByteBuffer received = buffer.duplicate().flip().position(start);
        receivedBytes += received.remaining();
        if (!syntax.isInHead()) {
            int count = checkBody(received);
            buffer.position(start + count);
            return count;
        }
        buffer.position(start);
        if (!checkHead(received)) {
            return 0;
        }
        checked = syntax.takeHead(received);
        int headBytes = checked.remaining() - received.remaining();
        checked.limit(headBytes + checkBody(received));
        return takeChecked(buffer);
    }

    /** Returns whether the head is complete and sound. */
    private boolean checkHead(ByteBuffer received) {
        try {
            boolean isComplete = syntax.readHead(received);
            checkLimit();
            return isComplete;
        } catch (MalformedAnswerException | AnswerLimitException e) {
            failure = Optional.of(e);
            return false;
        }
    }

    /** Returns how many bytes are sound. */
    private int checkBody(ByteBuffer received) {
        int start = received.position();
        try {
            syntax.readBody(received);
            checkLimit();
        } catch (MalformedAnswerException | AnswerLimitException e) {
            failure = Optional.of(e);
        }
        return received.position() - start;
    }

    private void checkLimit() throws AnswerLimitException {
        if (receivedBytes > MAX_BYTES + MAX_EXPANSION * syntax.bodyBytes()) {
            throw new AnswerLimitException("more than " + MAX_BYTES + " bytes that are no body");
        }
    }

    private void checkEnd() {
        try {
            syntax.endConnection(isRequestWritten);
        } catch (MalformedAnswerException e) {
            failure = Optional.of(e);
        }
    }

    private void throwFailure() throws IOException {
        if (failure.isPresent()) {
            throw failure.get();
        }
    }

    private int takeChecked(ByteBuffer buffer) {
        int count = Math.min(checked.remaining(), buffer.remaining());
        buffer.put(checked.slice().limit(count));
        checked.position(checked.position() + count);
        if (!checked.hasRemaining()) {
            checked = EMPTY;
        }
        return count;
    }

    /** Passes on what {@link #check} lets through. */
    private final class CheckedConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
        CheckedConduit(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer buffer) throws IOException {
            if (checked.hasRemaining()) {
                return takeChecked(buffer);
            }
            int start = buffer.position();
            int passed = 0;
            while (passed == 0) {
                throwFailure();
                int count = receive(buffer);
                if (count <= 0 || isLifted) {
                    throwFailure();
                    return count;
                }
                passed = check(buffer, start);
            }
            return passed;
        }

        private int receive(ByteBuffer buffer) throws IOException {
            // A channel that was closed by this process reports a regular end, too.
            boolean isEndUnknown = isReadShutdown() && !hasEnded;
            int count = super.read(buffer);
            if (count < 0 && !isLifted) {
                if (isEndUnknown) {
                    throw new ClosedChannelException();
                }
                hasEnded = true;
                checkEnd();
            }
            return count;
        }

        @Override
        public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
            if (isLifted) {
                return super.read(buffers, offset, length);
            }
            long total = 0;
            for (int i = offset; i < offset + length; i++) {
                int count = buffers[i].hasRemaining() ? read(buffers[i]) : 0;
                if (count < 0) {
                    return total == 0 ? count : total;
                }
                total += count;
                if (buffers[i].hasRemaining()) {
                    return total;
                }
            }
            return total;
        }

        @Override
        public long transferTo(long position, long count, FileChannel target) throws IOException {
            return isLifted
                    ? super.transferTo(position, count, target)
                    : target.transferFrom(new ConduitReadableByteChannel(this), position, count);
        }

        @Override
        public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target)
                throws IOException {
            return isLifted
                    ? super.transferTo(count, buffer, target)
                    : IoUtils.transfer(new ConduitReadableByteChannel(this), count, buffer, target);
        }
    }
}
