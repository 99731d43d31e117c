package org.masticweir.reports;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.masticweir.control.EngineHoldings;
import org.masticweir.control.EngineRole;
import org.masticweir.control.ModelVersion;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Shares of reports on the wire. */
class EngineShareTest {
    private static EngineShare share(long ageMs, int running, int engines) {
        List<EngineDigest> digests = new ArrayList<>();
        EngineHoldings holdings =
                EngineHoldings.of(
                        Set.of(ModelVersion.of(ModelId.of("report"), "3", "north")),
                        EngineRole.LEAVING);
        LoadReport load = LoadReport.of(running, 2, 64);
        EngineReading full = EngineReading.full(ageMs, load, holdings);
        for (int i = 0; i < engines; i++) {
            digests.add(EngineDigest.of(EngineId.of("e" + i), i % 2 == 0 ? full : full.brief()));
        }
        digests.add(EngineDigest.unanswered(EngineId.of("lost")));
        return EngineShare.of(digests);
    }

    private static byte[] encoded(EngineShare share) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            EngineShare.CODEC.encode(share, out);
            return out.toByteArray();
        }
    }

    private static EngineShare decode(byte[] bytes) throws IOException {
        return EngineShare.CODEC.decode(MessagePack.newDefaultUnpacker(bytes));
    }

    @Property(seed = "7", tries = 300)
    void shareSurvivesTheWire(
            @ForAll @LongRange(min = 0) long ageMs,
            @ForAll @IntRange(min = 0) int running,
            @ForAll @IntRange(min = 0, max = 20) int engines)
            throws IOException {
        EngineShare share = share(ageMs, running, engines);
        assertEquals(share, decode(encoded(share)));
    }

    /** One byte of a message is wrong: it is read or refused, and nothing worse. */
    @Property(seed = "7", tries = 2000)
    void damagedShareIsReadOrRefused(
            @ForAll @IntRange(min = 0, max = 200) int at, @ForAll byte value) throws IOException {
        byte[] bytes = encoded(share(12, 3, 4));
        bytes[at % bytes.length] = value;
        try {
            assertTrue(decode(bytes).digests().size() <= EngineShare.MAX_DIGESTS);
        } catch (IOException | RuntimeException e) {
            // Refused: the reader of frames closes the link on any of these. An Error would escape.
            return;
        }
    }
}
