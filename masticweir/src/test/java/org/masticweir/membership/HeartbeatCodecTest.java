package org.masticweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.masticweir.id.DomainId;
import org.msgpack.core.MessagePack;

/** Heartbeats on the wire. */
class HeartbeatCodecTest {
    private static Heartbeat beat(int state, long revision, long incarnation, int rumours) {
        RouterAddress sender = Fleet.router(200, 255, incarnation);
        return new Heartbeat(
                sender,
                MemberState.values()[state],
                revision,
                new LoadDigest(rumours, 0, Integer.MAX_VALUE),
                500 * rumours,
                List.of(new DomainRevision(DomainId.of("d"), revision)),
                Collections.nCopies(rumours, sender));
    }

    private static Heartbeat decode(byte[] bytes) throws IOException {
        return Heartbeat.codec().decode(MessagePack.newDefaultUnpacker(bytes));
    }

    @Property(seed = "7", tries = 300)
    void heartbeatSurvivesTheWire(
            @ForAll @IntRange(min = 0, max = 2) int state,
            @ForAll @LongRange(min = 0) long revision,
            @ForAll @LongRange(min = 0) long incarnation,
            @ForAll @IntRange(min = 0, max = 8) int rumours)
            throws IOException {
        Heartbeat beat = beat(state, revision, incarnation, rumours);
        assertEquals(beat, decode(Fleet.encoded(beat)));
    }

    /** One byte of a heartbeat is wrong: it is read or refused, and nothing worse. */
    @Property(seed = "7", tries = 2000)
    void damagedHeartbeatIsReadOrRefused(
            @ForAll @IntRange(min = 0, max = 200) int at, @ForAll byte value) {
        byte[] bytes = Fleet.encoded(beat(1, 1000, 2, 3));
        bytes[at % bytes.length] = value;
        try {
            assertTrue(decode(bytes).state().announced());
        } catch (IOException | RuntimeException e) {
            // Refused: the reader of frames closes the link on any of these. An Error would escape.
            return;
        }
    }
}
