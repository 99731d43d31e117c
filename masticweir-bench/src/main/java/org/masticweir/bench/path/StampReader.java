package org.masticweir.bench.path;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.IntConsumer;

/**
 * Finds the tokens in the lines of a stream, a router's events as well as an engine's frames; not
 * thread-safe.
 *
 * <p>It reads no more than it must, so that the measuring process stays cheaper than the measured.
 */
final class StampReader {
    private static final byte[] IN_EVENT = "\"token\":".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] IN_FRAME = "\"tokens\":[".getBytes(StandardCharsets.US_ASCII);

    private final IntConsumer tokens;
    private int matchedEvent;
    private int matchedFrame;
    private boolean inValue;
    private int value;
    private boolean digits;

    /** Creates a reader that gives each token to {@code tokens}. */
    StampReader(IntConsumer tokens) {
        this.tokens = tokens;
    }

    void bytes(ByteBuffer part) {
        while (part.hasRemaining()) {
            take(part.get());
        }
    }

    private void take(byte b) {
        if (inValue) {
            takeValue(b);
            return;
        }
        matchedEvent = matched(IN_EVENT, matchedEvent, b);
        matchedFrame = matched(IN_FRAME, matchedFrame, b);
        inValue = matchedEvent == IN_EVENT.length || matchedFrame == IN_FRAME.length;
    }

    private static int matched(byte[] mark, int before, byte b) {
        if (b == mark[before]) {
            return before + 1;
        }
        return b == mark[0] ? 1 : 0;
    }

    private void takeValue(byte b) {
        if (b >= '0' && b <= '9') {
            value = value * 10 + b - '0';
            digits = true;
            return;
        }
        if (digits) {
            tokens.accept(value);
        }
        value = 0;
        digits = false;
        if (b == '}' || b == ']') {
            inValue = false;
            matchedEvent = 0;
            matchedFrame = 0;
        }
    }
}
