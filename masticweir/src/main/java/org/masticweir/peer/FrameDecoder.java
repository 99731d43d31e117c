package org.masticweir.peer;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Cuts the bytes of a link into the bodies of frames; owned by the links' thread.
 *
 * <p>Between two reads it keeps at most the body of one unfinished frame.
 */
final class FrameDecoder {
    private static final byte[] NONE = new byte[0];

    /** First bytes of a TLS connection: a handshake record and the protocol's major version. */
    private static final int TLS_HANDSHAKE = 0x1603;

    private final ByteBuffer length = ByteBuffer.allocate(FrameCodec.LENGTH_BYTES);
    private byte[] body = NONE;
    private int filled;

    /**
     * Takes bytes from {@code in} and returns the next whole body, or empty when more must come.
     */
    Optional<byte[]> next(ByteBuffer in) {
        if (!readLength(in)) {
            return Optional.empty();
        }
        int n = Math.min(in.remaining(), body.length - filled);
        in.get(body, filled, n);
        filled += n;
        if (filled < body.length) {
            return Optional.empty();
        }
        byte[] whole = body;
        body = NONE;
        length.clear();
        return Optional.of(whole);
    }

    /** Returns the bytes held for an unfinished frame. */
    int heldBytes() {
        return body.length;
    }

    /**
     * Reads the length and makes room for the body.
     *
     * <p>A stray or hostile sender shows as an absurd length; checking it before the allocation
     * keeps one connection from taking the heap of the whole router.
     */
    private boolean readLength(ByteBuffer in) {
        if (!length.hasRemaining()) {
            return true;
        }
        while (length.hasRemaining() && in.hasRemaining()) {
            length.put(in.get());
        }
        if (length.hasRemaining()) {
            return false;
        }
        int n = length.getInt(0);
        if (n <= 0 || n > FrameCodec.MAX_FRAME_BYTES) {
            boolean tls = n >>> Short.SIZE == TLS_HANDSHAKE;
            throw FrameCodec.malformed(tls ? "TLS, which is off here" : "length " + n);
        }
        body = new byte[n];
        filled = 0;
        return true;
    }
}
