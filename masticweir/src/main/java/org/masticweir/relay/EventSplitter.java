package org.masticweir.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into single events and parses their ids; not thread-safe.
 *
 * <p>A server may fail in the middle of an event, and another server continues after the last
 * complete event. Only complete events are passed on, byte for byte, so that callers never receive
 * a part of an event.
 */
final class EventSplitter {
    /** Longest event that is buffered, so that a faulty server can't exhaust the memory. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] event = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    private int lineStart;
    private OptionalLong id = OptionalLong.empty();

    /** Receives complete events. */
    @FunctionalInterface
    interface Sink {
        /**
         * Handles one event.
         *
         * @param bytes the event with the empty line at its end
         * @param id its id, if it has one that is a number
         */
        void onEvent(ByteBuffer bytes, OptionalLong id) throws IOException;
    }

    /** Consumes all of {@code in} and passes the events that end in it to {@code sink}. */
    void feed(ByteBuffer in, Sink sink) throws IOException {
        while (in.hasRemaining()) {
            byte b = in.get();
            append(b);
            if (b == '\n') {
                endLine(sink);
            }
        }
    }

    /** Returns whether no incomplete event is buffered. */
    boolean isAtEventEnd() {
        return length == 0;
    }

    private void append(byte b) throws IOException {
        if (length == MAX_EVENT_BYTES) {
            throw new IOException("event longer than " + MAX_EVENT_BYTES + " bytes");
        }
        if (length == event.length) {
            event = Arrays.copyOf(event, length * 2);
        }
        event[length] = b;
        length++;
    }

    private void endLine(Sink sink) throws IOException {
        int end = length - 1;
        if (end > lineStart && event[end - 1] == '\r') {
            end--;
        }
        if (end > lineStart) {
            readId(end);
            lineStart = length;
            return;
        }
        ByteBuffer whole = ByteBuffer.wrap(Arrays.copyOf(event, length));
        OptionalLong read = id;
        length = 0;
        lineStart = 0;
        id = OptionalLong.empty();
        sink.onEvent(whole, read);
    }

    private void readId(int end) {
        int start = lineStart + ID.length;
        boolean isIdLine = end > start && Arrays.equals(event, lineStart, start, ID, 0, ID.length);
        if (!isIdLine) {
            return;
        }
        String text = new String(event, start, end - start, StandardCharsets.US_ASCII).trim();
        try {
            id = OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            // A stream can't be resumed after an id that is not a number; the event is passed on
            // unchanged.
            id = OptionalLong.empty();
        }
    }
}
