package org.masticweir.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.OfferedRevision;
import org.masticweir.config.RecentRevisions;
import org.masticweir.config.StoredRevision;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** A revision on the wire between routers. */
class ConfigOfferTest {
    private static final int TEAMS = 4_500;
    private static final int MAX_EDIT_BYTES = 250;
    private static final String CREDENTIAL = "credential_sha256 = " + "0123456789abcdef".repeat(4);

    private static StoredRevision row(long revision) {
        String document =
                IntStream.range(0, TEAMS)
                        .mapToObj(i -> team(i, i == revision ? 7 : 1))
                        .collect(Collectors.joining());
        return new StoredRevision(revision, "change-" + revision, "anna", 1, document);
    }

    private static String team(int number, int weight) {
        return "[team t" + number + "]\nweight = " + weight + "\n" + CREDENTIAL + "\n";
    }

    private static byte[] encoded(ConfigOffer offer) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            ConfigOffer.CODEC.encode(offer, out);
            return out.toByteArray();
        }
    }

    private static ConfigOffer offered(long known) {
        RecentRevisions recent = new RecentRevisions();
        recent.add(row(1));
        recent.add(row(2));
        Optional<OfferedRevision> offer = recent.offerAbove(known);
        return new ConfigOffer(offer);
    }

    @Test
    void comesAsItWent() throws IOException {
        for (long known = 0; known <= 2; known++) {
            byte[] bytes = encoded(offered(known));
            ConfigOffer read = ConfigOffer.CODEC.decode(MessagePack.newDefaultUnpacker(bytes));
            assertEquals(offered(known), read);
        }
    }

    /** Each of 3,100 changes a day brought the whole document to each router. */
    @Test
    void aChangeOfOneTeamOfManyIsShort() throws IOException {
        int whole = encoded(offered(0)).length;
        int edit = encoded(offered(1)).length;
        System.out.printf("config: offer of %d bytes, of %d as an edit%n", whole, edit);
        assertTrue(edit < MAX_EDIT_BYTES, "edit of " + edit + " bytes");
    }

    /** During a roll, routers of the older version ask and answer as they always did. */
    @Nested
    class WithAnOlderRouter {
        @Test
        void itsAskIsForTheWhole() throws IOException {
            try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
                out.packArrayHeader(1).packLong(7);
                ConfigAsk ask =
                        ConfigAsk.CODEC.decode(MessagePack.newDefaultUnpacker(out.toByteArray()));
                assertEquals(new ConfigAsk(7, false), ask);
            }
        }

        @Test
        void itsEditFitsNoText() throws IOException {
            try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
                out.packArrayHeader(1).packArrayHeader(1).packArrayHeader(6).packLong(2);
                out.packString("change-2").packString("anna").packLong(1).packArrayHeader(0);
                out.packArrayHeader(1).packArrayHeader(4).packInt(1).packInt(1);
                out.packString("7").packString("digest");
                ConfigOffer read =
                        ConfigOffer.CODEC.decode(MessagePack.newDefaultUnpacker(out.toByteArray()));
                OfferedRevision offer = read.offered().orElseThrow();
                assertEquals(Optional.empty(), offer.resolve(Optional.of(row(1))));
            }
        }
    }
}
