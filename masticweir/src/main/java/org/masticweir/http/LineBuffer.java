package org.masticweir.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/** Bytes of an answer that consist of lines, and the line that is not complete yet. */
final class LineBuffer {
    private static final int INITIAL_BYTES = 512;
    private static final int TERMINATOR_BYTES = 2;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;
    private int lineStart;

    /**
     * Appends a byte and returns the line that it completes, without its terminator.
     *
     * @throws MalformedAnswerException if a line feed comes without a carriage return
     */
    Optional<String> append(byte b) throws MalformedAnswerException {
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * length);
        }
        bytes[length] = b;
        length++;
        if (b != '\n') {
            return Optional.empty();
        }
        int end = length - TERMINATOR_BYTES;
        HttpGrammar.check(
                end >= lineStart && bytes[end] == '\r', "a line has no complete terminator");
        String line = new String(bytes, lineStart, end - lineStart, ISO_8859_1);
        lineStart = length;
        return Optional.of(line);
    }

    /** Returns how many bytes of the current line came. */
    int lineBytes() {
        return length - lineStart;
    }

    /** Returns how many bytes came since the buffer was cleared. */
    int length() {
        return length;
    }

    /** Returns the bytes, in read mode; valid until the next change. */
    ByteBuffer toByteBuffer() {
        return ByteBuffer.wrap(bytes, 0, length);
    }

    /** Removes all bytes and releases the memory of a long message. */
    void clear() {
        length = 0;
        lineStart = 0;
        if (bytes.length > INITIAL_BYTES) {
            bytes = new byte[INITIAL_BYTES];
        }
    }
}
