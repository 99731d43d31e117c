package org.masticweir.http;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes of a connection that are no body: heads, sizes of chunks, trailers, and bytes
 * that no exchange asked for. Confined to the I/O thread of the connection.
 *
 * <p>Prevents a server that sends such bytes without end from exhausting the memory, and from
 * keeping the I/O thread in the parser for as long as the bytes come. A read beyond the limit
 * fails, so the exchange ends as on a broken connection.
 */
final class AnswerFraming {
    /** Bytes of an exchange that may be no body; a body read ahead with the head counts too. */
    static final int MAX_BYTES = 64 << 10;

    /** Place in the first line of a head at which the status begins, counted from 1. */
    private static final int STATUS_OFFSET = "HTTP/1.1 2".length();

    /** Lines of one head. */
    static final int MAX_HEAD_LINES = 256;

    /** Bytes on the connection for each byte of a body; a chunk of one byte takes six. */
    private static final int MAX_EXPANSION = 16;

    private static final Logger LOG = LogManager.getLogger(AnswerFraming.class);
    private static final AttachmentKey<AnswerFraming> KEY =
            AttachmentKey.create(AnswerFraming.class);

    private Optional<ConduitStreamSourceChannel> source = Optional.empty();
    private long receivedBytes;
    private long bodyBytes;
    private int headLines;
    private int lineBytes;
    private boolean isInterim;
    private boolean isHeadAwaited = true;
    private boolean isLifted;
    private boolean isExceeded;

    /** Installs a limit on a connection that no exchange has used. */
    static AnswerFraming install(StreamConnection connection) {
        AnswerFraming framing = new AnswerFraming();
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setConduit(framing.new CountingConduit(source.getConduit()));
        framing.source = Optional.of(source);
        return framing;
    }

    /** Makes the limit known to the exchanges on {@code connection}. */
    void attachTo(ClientConnection connection) {
        if (connection instanceof Attachable attachable) {
            attachable.putAttachment(KEY, this);
        }
    }

    /** Returns the limit of {@code connection}; one without effect if it has none. */
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

    /** Begins the count of an exchange. */
    void exchangeStarted() {
        receivedBytes = 0;
        bodyBytes = 0;
        headLines = 0;
        lineBytes = 0;
        isInterim = false;
        isHeadAwaited = true;
    }

    /** Records that the head of the answer was parsed. */
    void headParsed() {
        isHeadAwaited = false;
    }

    /** Records that {@code count} bytes of the body were read. */
    void bodyRead(int count) {
        bodyBytes += count;
    }

    /** Returns whether bytes of the exchange's answer came. */
    boolean hasReceivedBytes() {
        return receivedBytes > 0;
    }

    /** Returns whether a read failed because of the limit. */
    boolean isExceeded() {
        return isExceeded;
    }

    /** Ends the limit: what follows on the connection are bytes of another protocol. */
    void lift() {
        isLifted = true;
        isHeadAwaited = false;
    }

    private void received(long count) throws IOException {
        receivedBytes += Math.max(0, count);
        if (!isLifted && receivedBytes > MAX_BYTES + MAX_EXPANSION * bodyBytes) {
            throw exceeded("more than " + MAX_BYTES + " bytes that are no body");
        }
    }

    /** Counts the lines of a head in what was read into {@code buffer} from {@code start} on. */
    private void countLines(ByteBuffer buffer, int start) throws IOException {
        for (int i = start; isHeadAwaited && i < buffer.position(); i++) {
            byte b = buffer.get(i);
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                lineBytes++;
                isInterim = headLines == 0 && lineBytes == STATUS_OFFSET ? b == '1' : isInterim;
            }
        }
    }

    private void endLine() throws IOException {
        boolean isHeadEnd = lineBytes == 0 && headLines > 0;
        headLines = lineBytes == 0 ? 0 : headLines + 1;
        lineBytes = 0;
        if (isHeadEnd && !isInterim) {
            isHeadAwaited = false;
        }
        if (headLines > MAX_HEAD_LINES) {
            throw exceeded("a head of more than " + MAX_HEAD_LINES + " lines");
        }
    }

    private AnswerLimitException exceeded(String message) {
        isExceeded = true;
        return new AnswerLimitException(message);
    }

    /** Counts what is read from the connection. */
    private final class CountingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
        CountingConduit(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer buffer) throws IOException {
            int start = buffer.position();
            int count = super.read(buffer);
            received(count);
            countLines(buffer, start);
            return count;
        }

        @Override
        public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
            long count = super.read(buffers, offset, length);
            received(count);
            return count;
        }

        @Override
        public long transferTo(long position, long count, FileChannel target) throws IOException {
            long moved = super.transferTo(position, count, target);
            received(moved);
            return moved;
        }

        @Override
        public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target)
                throws IOException {
            long moved = super.transferTo(count, buffer, target);
            received(moved);
            return moved;
        }
    }
}
