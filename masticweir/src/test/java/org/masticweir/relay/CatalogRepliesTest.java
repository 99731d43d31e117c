package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.DocumentEdit;
import org.masticweir.relay.DeploymentState.CatalogText;
import org.masticweir.relay.RelayMessages.CatalogReply;
import org.masticweir.relay.RelayMessages.CatalogRequest;

/** Replies to catalog requests, built from the catalogs recently in force. */
class CatalogRepliesTest {
    @Property(tries = 500, seed = "39")
    void unpackReversesPacking(@ForAll String before, @ForAll String after) {
        DocumentEdit edit = DocumentEdit.between(before, after);
        assertEquals(edit, PackedEdit.ofBytes(PackedEdit.of(edit).bytes()).unpack());
    }

    @Property(tries = 500, seed = "40")
    void unpackRejectsInvalidBytes(@ForAll byte[] bytes) {
        assertThrows(IllegalArgumentException.class, () -> PackedEdit.ofBytes(bytes).unpack());
    }

    /** Replies to a router, depending on the version that it holds. */
    @Nested
    class Replies {
        private final CatalogReplies texts = new CatalogReplies();

        private void putInForce(long from, long to) {
            for (long version = from; version <= to; version++) {
                texts.add(new CatalogText(version, text(version)));
            }
        }

        private static String text(long version) {
            return version + "\n" + "{\"route\":\"the same\"}\n".repeat(100) + version;
        }

        private Optional<String> textFor(long held) {
            CatalogReply reply = texts.replyTo(new CatalogRequest(held, true));
            return reply.edit().flatMap(edit -> edit.unpack().applyTo(text(held)));
        }

        @Test
        void containTheNewestVersionForAnyHeldVersion() {
            putInForce(1, 9);
            for (long held = 0; held < 9; held++) {
                assertEquals(Optional.of(text(9)), textFor(held), "held " + held);
            }
        }

        @Test
        void areEmptyForTheNewestVersion() {
            assertEquals(CatalogReply.empty(), texts.replyTo(new CatalogRequest(0, true)));
            putInForce(1, 2);
            assertEquals(CatalogReply.empty(), texts.replyTo(new CatalogRequest(2, true)));
            assertEquals(CatalogReply.empty(), texts.replyTo(new CatalogRequest(3, true)));
        }

        @Test
        void containTheFullTextForAnOlderRouter() {
            putInForce(1, 2);
            CatalogReply reply = texts.replyTo(new CatalogRequest(1, false));
            assertEquals(CatalogReply.fullText(text(2)), reply);
        }

        /**
         * Two routers hold different texts under the same version; an edit must apply only to the
         * text it was made from.
         */
        @Test
        void containEditsThatApplyToNoOtherText() {
            putInForce(1, 2);
            CatalogReply reply = texts.replyTo(new CatalogRequest(1, true));
            DocumentEdit edit = reply.edit().orElseThrow().unpack();
            assertTrue(edit.applyTo(text(1)).isPresent());
            assertEquals(Optional.empty(), edit.applyTo("1\n" + "{\"route\":\"x\"}\n".repeat(400)));
        }

        @Test
        void neverUseAnOlderVersion() {
            putInForce(1, 5);
            putInForce(3, 3);
            assertEquals(Optional.of(text(5)), textFor(4));
        }
    }
}
