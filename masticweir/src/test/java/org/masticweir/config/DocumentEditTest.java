package org.masticweir.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** How a change of the document passes between routers. */
class DocumentEditTest {
    private static final int TEAMS = 4_500;

    private static String document(int changed) {
        return IntStream.range(0, TEAMS)
                .mapToObj(i -> "[team t" + i + "]\nweight = " + (i == changed ? 7 : 1) + "\n")
                .collect(Collectors.joining());
    }

    private static StoredRevision row(long revision, String document) {
        return new StoredRevision(revision, "change-" + revision, "anna", 1, document);
    }

    @Property(tries = 1_000, seed = "11")
    void makesAnyTextOfAnyOther(@ForAll String before, @ForAll String after) {
        assertEquals(Optional.of(after), DocumentEdit.between(before, after).applyTo(before));
    }

    @Property(tries = 1_000, seed = "13")
    void theWholeFitsAnyText(@ForAll String before, @ForAll String after) {
        assertEquals(Optional.of(after), DocumentEdit.whole(after).applyTo(before));
    }

    @Property(tries = 1_000, seed = "12")
    void makesNothingElseOfAnotherText(
            @ForAll String before, @ForAll String after, @ForAll String other) {
        Optional<String> made = DocumentEdit.between(before, after).applyTo(other);
        assertTrue(made.isEmpty() || made.get().equals(after));
    }

    @Test
    void aChangeOfOneTeamIsShort() {
        assertEquals("7", added(DocumentEdit.between(document(-1), document(2_000))));
    }

    /** The version stands first and what changes last, so that all between them went with it. */
    @Test
    void changesAtBothEndsAreShort() {
        String before = "version = 8\n" + document(10);
        String after = "version = 9\n" + document(4_400);
        String added = added(DocumentEdit.between(before, after));
        assertTrue(added.length() < 60, added);
    }

    @Test
    void whatHasMovedIsNotWrittenOut() {
        String added = added(DocumentEdit.between("a\n" + document(-1), document(-1) + "b\n"));
        assertEquals("b\n", added);
    }

    private static String added(DocumentEdit edit) {
        return edit.parts().stream()
                .filter(DocumentEdit.Part.Added.class::isInstance)
                .map(part -> ((DocumentEdit.Part.Added) part).text())
                .collect(Collectors.joining());
    }

    /** The revisions that a router offers to others. */
    @Nested
    class Offered {
        private final RecentRevisions recent = new RecentRevisions();

        private void inForce(int from, int to) {
            IntStream.rangeClosed(from, to).forEach(r -> recent.add(row(r, document(r))));
        }

        private OfferedRevision above(long known) {
            return recent.offerAbove(known).orElseThrow();
        }

        @Test
        void anEditGoesToWhoHoldsARecentRevision() {
            inForce(1, 6);
            for (int known = 3; known < 6; known++) {
                OfferedRevision offer = above(known);
                assertTrue(offer.edit().isPresent());
                Optional<StoredRevision> held = Optional.of(row(known, document(known)));
                assertEquals(Optional.of(row(6, document(6))), offer.resolve(held));
            }
        }

        @Test
        void theWholeGoesToWhoHoldsNoneOrAnOldOne() {
            inForce(1, 6);
            assertEquals(Optional.of(row(6, document(6))), above(0).resolve(Optional.empty()));
            assertTrue(above(2).document().isPresent());
        }

        @Test
        void nothingGoesToWhoHoldsTheLatest() {
            assertEquals(Optional.empty(), recent.offerAbove(0));
            inForce(1, 1);
            assertEquals(Optional.empty(), recent.offerAbove(1));
        }

        /**
         * A router asks a peer, and learns a newer revision from the table before the answer comes.
         * Applied to that one the edit would bring a text in force that no operator wrote.
         */
        @Test
        void anEditOfAnotherTextIsNotApplied() {
            inForce(1, 3);
            Optional<StoredRevision> newer = Optional.of(row(9, document(9)));
            assertEquals(Optional.empty(), above(2).resolve(newer));
        }
    }
}
