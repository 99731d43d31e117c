package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Turns messages into frames and the bodies of frames into messages; thread-safe. */
final class FrameCodec {
    /** Largest body of a frame; holds a prefix of some 200,000 token ids. */
    static final int MAX_FRAME_BYTES = 1 << 20;

    static final int LENGTH_BYTES = 4;

    private static final int PROTOCOL_VERSION = 1;
    private static final int PACK_BUFFER_BYTES = 512;
    private static final MessagePack.PackerConfig PACKING =
            new MessagePack.PackerConfig().withBufferSize(PACK_BUFFER_BYTES);

    private final MessageRegistry registry;

    FrameCodec(MessageRegistry registry) {
        this.registry = registry;
    }

    int typeOf(PeerMessage message) {
        return registry.codecOf(message).type();
    }

    /** Returns the whole frame, length first; a body over the bound is refused. */
    <T extends PeerMessage> byte[] encode(long correlation, T message) {
        MessageCodec<T> codec = registry.codecOf(message);
        try (MessageBufferPacker out = PACKING.newBufferPacker()) {
            out.writePayload(new byte[LENGTH_BYTES]);
            out.packInt(PROTOCOL_VERSION);
            out.packInt(codec.type());
            out.packLong(correlation);
            codec.encode(message, out);
            return withLength(out.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] withLength(byte[] frame) {
        int bodyBytes = frame.length - LENGTH_BYTES;
        if (bodyBytes > MAX_FRAME_BYTES) {
            throw MasticweirException.notRun(
                    ErrorCode.BODY_TOO_LARGE, "peer message of " + bodyBytes + " bytes");
        }
        ByteBuffer.wrap(frame).putInt(bodyBytes);
        return frame;
    }

    /**
     * Returns what {@code body} holds.
     *
     * <p>A body that breaks the format shows as any of several exceptions of the MessagePack
     * library or of value types' own checks; all become one BAD_REQUEST, on which the link closes.
     */
    Frame decode(byte[] body) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
            int version = in.unpackInt();
            checkArgument(version >= PROTOCOL_VERSION, "protocol version %s", version);
            int type = in.unpackInt();
            long correlation = in.unpackLong();
            checkArgument(correlation >= Frame.ONE_WAY, "correlation %s", correlation);
            Optional<MessageCodec<?>> codec = registry.forType(type);
            if (codec.isEmpty()) {
                return new Frame(type, correlation, Optional.empty());
            }
            return new Frame(type, correlation, Optional.of(codec.get().decode(in)));
        } catch (IOException | RuntimeException e) {
            throw malformed(e.toString());
        }
    }

    static MasticweirException malformed(String why) {
        return MasticweirException.notRun(ErrorCode.BAD_REQUEST, "malformed frame: " + why);
    }
}
