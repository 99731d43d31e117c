package org.masticweir.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Checks that the bytes of one answer after the other are what HTTP/1.1 defines, and finds the end
 * of each; not thread-safe.
 *
 * <p>The parser of the client library is lenient: it merges and drops fields, so that its result
 * does not show whether the answer was sound. All readers rely on this check instead.
 */
final class AnswerSyntax {
    /** Longest line after the head. */
    private static final int MAX_LINE_BYTES = 64 << 10;

    private static final int TERMINATOR_BYTES = 2;

    private final LineBuffer lines = new LineBuffer();
    private RequestTraits request = RequestTraits.DEFAULTS;
    private AnswerHead head = new AnswerHead();
    private Part part = Part.HEAD;
    private boolean hasBegun;

    /** Bytes that are left of the body, or of the current chunk. */
    private long remainingBytes;

    private long bodyBytes;

    /** The part of an answer to which the next byte belongs. */
    private enum Part {
        HEAD,
        BODY_OF_LENGTH,
        BODY_TO_CONNECTION_END,
        CHUNK_SIZE {
            @Override
            Part next(AnswerSyntax syntax, String line) throws MalformedAnswerException {
                syntax.remainingBytes = HttpGrammar.parseChunkSize(line);
                return syntax.remainingBytes == 0 ? TRAILER : CHUNK_DATA;
            }
        },
        CHUNK_DATA,
        CHUNK_END {
            @Override
            Part next(AnswerSyntax syntax, String line) throws MalformedAnswerException {
                HttpGrammar.check(line.isEmpty(), "a chunk is longer than its size");
                return CHUNK_SIZE;
            }
        },
        TRAILER {
            @Override
            Part next(AnswerSyntax syntax, String line) throws MalformedAnswerException {
                if (line.isEmpty()) {
                    return COMPLETE;
                }
                HttpGrammar.parseField(line);
                return TRAILER;
            }
        },
        COMPLETE;

        /** Takes a complete line and returns the part that follows. */
        Part next(AnswerSyntax syntax, String line) throws MalformedAnswerException {
            throw new IllegalStateException(this + " has no lines");
        }
    }

    /** Begins the answer to a request. */
    void start(RequestTraits newRequest) {
        request = newRequest;
        part = Part.HEAD;
        hasBegun = false;
        head = new AnswerHead();
        lines.clear();
        bodyBytes = 0;
    }

    boolean isInHead() {
        return part == Part.HEAD;
    }

    /** Returns how many bytes of the body came. */
    long bodyBytes() {
        return bodyBytes;
    }

    /**
     * Takes bytes up to the end of the final head; drops interim heads. Returns whether the final
     * head is complete; {@link #takeHead} then returns it.
     */
    boolean readHead(ByteBuffer in) throws MalformedAnswerException, AnswerLimitException {
        while (in.hasRemaining()) {
            hasBegun = true;
            byte b = in.get();
            HttpGrammar.check(
                    !head.isEmpty()
                            || HttpGrammar.mayBeInStatusLine(lines.lineBytes(), (char) (b & 0xff)),
                    "the first line is not a status line");
            Optional<String> line = lines.append(b);
            if (line.isPresent() && head.add(line.get()) && endHead()) {
                return true;
            }
        }
        return false;
    }

    /** Ends a complete head; returns whether the body follows, and not another head. */
    private boolean endHead() throws MalformedAnswerException {
        BodyFraming framing = head.bodyFraming(request);
        if (head.isInterim()) {
            head = new AnswerHead();
            lines.clear();
            return false;
        }
        remainingBytes = head.contentLength().orElse(0);
        part =
                switch (framing) {
                    case NONE -> Part.COMPLETE;
                    case LENGTH -> remainingBytes == 0 ? Part.COMPLETE : Part.BODY_OF_LENGTH;
                    case CHUNKS -> Part.CHUNK_SIZE;
                    case CONNECTION_END -> Part.BODY_TO_CONNECTION_END;
                };
        return true;
    }

    /** Returns the complete head, and after it what is in {@code next}, which stays there. */
    ByteBuffer takeHead(ByteBuffer next) {
        ByteBuffer bytes = ByteBuffer.allocate(lines.length() + next.remaining());
        bytes.put(lines.toByteBuffer()).put(next.duplicate()).flip();
        lines.clear();
        return bytes;
    }

    /**
     * Takes the bytes of {@code in}, which follow the head; ignores those after the answer. If this
     * fails, the position of {@code in} is the end of the last sound bytes of the body.
     */
    void readBody(ByteBuffer in) throws MalformedAnswerException, AnswerLimitException {
        int soundEnd = in.position();
        try {
            while (in.hasRemaining()) {
                long bodyBytesBefore = bodyBytes;
                readNext(in);
                soundEnd = bodyBytes > bodyBytesBefore ? in.position() : soundEnd;
            }
        } catch (MalformedAnswerException | AnswerLimitException e) {
            in.position(soundEnd);
            throw e;
        }
    }

    private void readNext(ByteBuffer in) throws MalformedAnswerException, AnswerLimitException {
        switch (part) {
            case BODY_OF_LENGTH -> skip(in, Part.COMPLETE);
            case CHUNK_DATA -> skip(in, Part.CHUNK_END);
            case BODY_TO_CONNECTION_END -> {
                bodyBytes += in.remaining();
                in.position(in.limit());
            }
            case COMPLETE -> in.position(in.limit());
            default -> readLine(in.get());
        }
    }

    private void skip(ByteBuffer in, Part next) {
        int count = (int) Math.min(in.remaining(), remainingBytes);
        in.position(in.position() + count);
        remainingBytes -= count;
        bodyBytes += count;
        if (remainingBytes == 0) {
            part = next;
        }
    }

    private void readLine(byte b) throws MalformedAnswerException, AnswerLimitException {
        Optional<String> line = lines.append(b);
        HttpGrammar.check(
                part != Part.CHUNK_END || lines.lineBytes() <= TERMINATOR_BYTES,
                "a chunk is longer than its size");
        if (lines.lineBytes() > MAX_LINE_BYTES) {
            throw new AnswerLimitException("a line of more than " + MAX_LINE_BYTES + " bytes");
        }
        if (line.isPresent()) {
            lines.clear();
            part = part.next(this, line.get());
        }
    }

    /**
     * Takes the end of the connection.
     *
     * @param isRequestWritten whether the whole request was written before
     * @throws MalformedAnswerException if the answer is not complete
     */
    void endConnection(boolean isRequestWritten) throws MalformedAnswerException {
        boolean mayEnd = part == Part.COMPLETE || part == Part.BODY_TO_CONNECTION_END;
        HttpGrammar.check(!hasBegun || mayEnd, "the connection ended within the answer");
        // The peer may have reset the connection: a write that fails takes the error away from the
        // next read, which then finds a regular end.
        HttpGrammar.check(
                part != Part.BODY_TO_CONNECTION_END || isRequestWritten,
                "an answer without a length ended while the request was written");
    }
}
