package org.masticweir.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import org.masticweir.http.AnswerPool;
import org.masticweir.http.PartialMessage;

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

    /**
     * Events that one call passes on; prevents a faulty server that sends the shortest events from
     * occupying the traffic thread.
     */
    static final int MAX_EVENTS = 256;

    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    private final PartialMessage partialEvent;
    private int lineStart;
    private OptionalLong eventId = OptionalLong.empty();

    /**
     * Creates a splitter.
     *
     * @param pool memory that long events share
     */
    EventSplitter(AnswerPool pool) {
        partialEvent = new PartialMessage(MAX_EVENT_BYTES, pool);
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

    /**
     * Consumes {@code in} up to the last event that one call passes on, and passes each completed
     * event to {@code sink}.
     */
    void feed(ByteBuffer in, Sink sink) throws IOException {
        int events = 0;
        while (in.hasRemaining() && events < MAX_EVENTS) {
            byte b = in.get();
            partialEvent.append(b);
            if (b == '\n' && endLine(sink)) {
                events++;
            }
        }
    }

    /** Returns whether the buffer is empty, that is, the last event is complete. */
    boolean isAtEventEnd() {
        return partialEvent.length() == 0;
    }

    /** Gives the memory of a long event back to the pool. */
    @Override
    public void close() {
        partialEvent.close();
    }

    /** Ends a line; returns whether it ended an event. */
    private boolean endLine(Sink sink) throws IOException {
        byte[] bytes = partialEvent.array();
        int end = partialEvent.length() - 1;
        if (end > lineStart && bytes[end - 1] == '\r') {
            end--;
        }
        if (end > lineStart) {
            readId(bytes, end);
            lineStart = partialEvent.length();
            return false;
        }
        ByteBuffer completeEvent = ByteBuffer.wrap(Arrays.copyOf(bytes, partialEvent.length()));
        OptionalLong completeEventId = eventId;
        lineStart = 0;
        eventId = OptionalLong.empty();
        partialEvent.clear();
        sink.onEvent(completeEvent, completeEventId);
        return true;
    }

    private void readId(byte[] bytes, int end) {
        int start = lineStart + ID.length;
        boolean isIdLine = end > start && Arrays.equals(bytes, lineStart, start, ID, 0, ID.length);
        if (!isIdLine) {
            return;
        }
        String text = new String(bytes, start, end - start, StandardCharsets.US_ASCII).trim();
        try {
            eventId = OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            // A stream can't be resumed after a non-numeric id; the event is passed on unchanged.
            eventId = OptionalLong.empty();
        }
    }
}
