package org.masticweir.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/** What a frame is, whatever the bytes. */
class FrameCodecTest {
    private final FrameCodec codec = codecOf(Note.Codec.plain());

    static FrameCodec codecOf(MessageCodec<?> c) {
        return new FrameCodec(MessageRegistry.of(List.of(c)));
    }

    private static byte[] bodyOf(byte[] frame) {
        return Arrays.copyOfRange(frame, FrameCodec.LENGTH_BYTES, frame.length);
    }

    @Property(seed = "7", tries = 300)
    void messageSurvivesAnyCutOfTheStream(
            @ForAll int number,
            @ForAll @StringLength(max = 200) String text,
            @ForAll @LongRange(min = 0) long correlation,
            @ForAll @IntRange(min = 1, max = 64) int step) {
        Note note = new Note(number, new String(text.getBytes(UTF_8), UTF_8));
        byte[] frame = codec.encode(correlation, note);
        FrameDecoder decoder = new FrameDecoder();
        Optional<byte[]> body = Optional.empty();
        for (int i = 0; i < frame.length; i += step) {
            assertTrue(body.isEmpty());
            body = decoder.next(ByteBuffer.wrap(frame, i, Math.min(step, frame.length - i)));
        }
        Frame read = codec.decode(body.orElseThrow());
        assertEquals(new Frame(Note.TYPE, correlation, Optional.of(note)), read);
    }

    @Property(seed = "7", tries = 2000)
    void randomStreamNeverCostsMoreThanTheBound(@ForAll @Size(max = 400) byte[] bytes) {
        FrameDecoder decoder = new FrameDecoder();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            while (decoder.next(in).isPresent()) {
                assertTrue(decoder.heldBytes() <= FrameCodec.MAX_FRAME_BYTES);
            }
            assertTrue(decoder.heldBytes() <= FrameCodec.MAX_FRAME_BYTES);
        } catch (MasticweirException e) {
            assertEquals(ErrorCode.BAD_REQUEST, e.code());
            assertEquals(0, decoder.heldBytes());
        }
    }

    @Property(seed = "7", tries = 2000)
    void randomFieldsAreReadOrRefused(
            @ForAll @IntRange(min = 0, max = 3) int type, @ForAll @Size(max = 300) byte[] fields) {
        byte[] body = new byte[fields.length + 3];
        body[0] = 1;
        body[1] = (byte) (type == 0 ? Note.TYPE : type);
        System.arraycopy(fields, 0, body, 3, fields.length);
        try {
            codec.decode(body);
        } catch (MasticweirException e) {
            assertEquals(ErrorCode.BAD_REQUEST, e.code());
        }
    }

    /** Routers of different versions side by side. */
    @Nested
    class Versions {
        @Test
        void trailingFieldsOfLaterVersionAreSkipped() {
            FrameCodec later = codecOf(new Note.Codec(Note.TYPE, 3));
            Frame read = codec.decode(bodyOf(later.encode(7, new Note(1, "a"))));
            assertEquals(Optional.of(new Note(1, "a")), read.message());
        }

        @Test
        void unknownTypeIsReadAsEmpty() {
            FrameCodec other = codecOf(new Note.Codec(Note.TYPE + 1, 0));
            Frame read = codec.decode(bodyOf(other.encode(7, new Note(1, "a"))));
            assertEquals(new Frame(Note.TYPE + 1, 7, Optional.empty()), read);
        }
    }

    /** Sizes and numbers that are refused. */
    @Nested
    class Bounds {
        @Test
        void lengthOverTheBoundIsRefusedBeforeAllocation() {
            FrameDecoder decoder = new FrameDecoder();
            ByteBuffer in = ByteBuffer.allocate(4).putInt(FrameCodec.MAX_FRAME_BYTES + 1).flip();
            assertThrows(MasticweirException.class, () -> decoder.next(in));
            assertEquals(0, decoder.heldBytes());
        }

        @Test
        void messageOverTheBoundIsNotEncoded() {
            Note note = new Note(1, "x".repeat(FrameCodec.MAX_FRAME_BYTES));
            MasticweirException e =
                    assertThrows(MasticweirException.class, () -> codec.encode(0, note));
            assertEquals(ErrorCode.BODY_TOO_LARGE, e.code());
        }

        @Test
        void reservedTypeIsRefused() {
            assertThrows(IllegalArgumentException.class, () -> codecOf(new Note.Codec(1, 0)));
        }
    }
}
