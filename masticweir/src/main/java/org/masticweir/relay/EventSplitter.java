package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import org.masticweir.http.AnswerPool;

/**
 * Splits a stream of server-sent events into single events and parses their ids; not thread-safe.
 *
 * <p>A server may fail in the middle of an event; another server then continues after the last
 * complete event. The splitter passes on only complete events, byte for byte, so that callers never
 * receive a partial event.
 */
final class EventSplitter implements AutoCloseable {
    /** Maximum size of a buffered event; prevents a faulty server from exhausting the memory. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    /** Size up to which an event takes nothing from the pool. */
    private static final int SHORT_EVENT_BYTES = 64 << 10;

    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    private final AnswerPool pool;
    private byte[] eventBytes = new byte[INITIAL_BUFFER_BYTES];
    private long pooledBytes;
    private int eventLength;
    private int lineStart;
    private OptionalLong eventId = OptionalLong.empty();

    /**
     * Creates a splitter.
     *
     * @param pool memory that long events share
     */
    EventSplitter(AnswerPool pool) {
        this.pool = checkNotNull(pool, "pool");
    }

    /** Receives complete events. */
    @FunctionalInterface
    interface Sink {
        /**
         * Handles one event.
         *
         * @param bytes the bytes of the event, including the empty line at its end
         * @param id the numeric id of the event; empty if the event has no numeric id
         */
        void onEvent(ByteBuffer bytes, OptionalLong id) throws IOException;
    }

    /** Consumes all bytes of {@code in} and passes each completed event to {@code sink}. */
    void feed(ByteBuffer in, Sink sink) throws IOException {
        while (in.hasRemaining()) {
            byte b = in.get();
            append(b);
            if (b == '\n') {
                endLine(sink);
            }
        }
    }

    /** Returns whether the buffer is empty, that is, the last event is complete. */
    boolean isAtEventEnd() {
        return eventLength == 0;
    }

    private void append(byte b) throws IOException {
        if (eventLength == MAX_EVENT_BYTES) {
            throw new IOException("event longer than " + MAX_EVENT_BYTES + " bytes");
        }
        if (eventLength == eventBytes.length) {
            grow();
        }
        eventBytes[eventLength] = b;
        eventLength++;
    }

    private void grow() throws IOException {
        int length = eventLength * 2;
        long required = length <= SHORT_EVENT_BYTES ? 0 : length - pooledBytes;
        if (!pool.take(required)) {
            throw new IOException("no memory for an event of more than " + eventLength + " bytes");
        }
        pooledBytes += required;
        eventBytes = Arrays.copyOf(eventBytes, length);
    }

    /** Gives the memory of a long event back to the pool. */
    @Override
    public void close() {
        if (pooledBytes > 0) {
            pool.putBack(pooledBytes);
            pooledBytes = 0;
            eventBytes = new byte[INITIAL_BUFFER_BYTES];
        }
    }

    private void endLine(Sink sink) throws IOException {
        int end = eventLength - 1;
        if (end > lineStart && eventBytes[end - 1] == '\r') {
            end--;
        }
        if (end > lineStart) {
            readId(end);
            lineStart = eventLength;
            return;
        }
        ByteBuffer completeEvent = ByteBuffer.wrap(Arrays.copyOf(eventBytes, eventLength));
        OptionalLong completeEventId = eventId;
        eventLength = 0;
        lineStart = 0;
        eventId = OptionalLong.empty();
        close();
        sink.onEvent(completeEvent, completeEventId);
    }

    private void readId(int end) {
        int start = lineStart + ID.length;
        boolean isIdLine =
                end > start && Arrays.equals(eventBytes, lineStart, start, ID, 0, ID.length);
        if (!isIdLine) {
            return;
        }
        String text = new String(eventBytes, start, end - start, StandardCharsets.US_ASCII).trim();
        try {
            eventId = OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            // A stream can't be resumed after a non-numeric id; the event is passed on unchanged.
            eventId = OptionalLong.empty();
        }
    }
}
