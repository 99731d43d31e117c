package org.masticweir.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.store.Revision;

/** The newest word on a server wins, whoever brings it. */
class ServerBookTest {
    private static final EngineId ID = EngineId.of("e1");

    private final ServerBook book = ServerBook.create();

    private boolean put(BackendServer server, long revision) {
        return book.put(server, Revision.of(revision), EntryOrigin.WRITTEN_IN_ERA);
    }

    private static BackendServer server(boolean leaving) {
        return server(ServerIncarnation.UNKNOWN_START, leaving);
    }

    private static BackendServer server(long startedMs, boolean leaving) {
        return new BackendServer(
                ServerIncarnation.of(ID, startedMs),
                ServiceName.of("s"),
                new InetSocketAddress("127.0.0.1", 1),
                DomainId.of("a"),
                4,
                leaving);
    }

    /**
     * A caller's request goes to a server that has left: a peer's older word on it arrives after
     * the store's newer one and takes its place.
     */
    @Nested
    class OlderWords {
        @Test
        void doNotBringBackAServerThatIsLeaving() {
            put(server(true), 9);
            assertFalse(put(server(false), 8));
            assertTrue(book.servers().get(0).leaving());
        }

        @Test
        void doNotBringBackAServerThatIsGone() {
            put(server(false), 5);
            book.remove(ID, Revision.of(9), 0, 0);
            assertFalse(put(server(false), 8));
            assertEquals(List.of(), book.servers());
        }
    }

    /**
     * All requests are refused for two seconds: entries lapsed while the store was away, and a
     * router believed the empty list that it got back.
     */
    @Nested
    class LapsedEntries {
        @Test
        void areKeptForTheTimeInWhichServersComeBack() {
            put(server(false), 5);
            book.remove(ID, Revision.of(9), 1_000, 3_000);
            assertFalse(book.tick(2_999));
            assertEquals(1, book.servers().size());
        }

        @Test
        void areGoneAfterIt() {
            put(server(false), 5);
            book.remove(ID, Revision.of(9), 1_000, 3_000);
            assertTrue(book.tick(3_000));
            assertEquals(List.of(), book.servers());
        }

        @Test
        void stayIfTheServerIsBack() {
            put(server(false), 5);
            book.remove(ID, Revision.of(9), 1_000, 3_000);
            put(server(false), 12);
            assertFalse(book.tick(3_000));
            assertEquals(1, book.servers().size());
        }
    }

    /**
     * Requests are sent for a copy that no longer exists: a server has started again under its id,
     * and a word on the life before is believed after one on the new life.
     */
    @Nested
    class LivesOfOneId {
        private long started() {
            return book.servers().get(0).incarnation().startedMs();
        }

        @Test
        void takeTurnsWithTheEntry() {
            put(server(100, true), 5);
            assertTrue(put(server(200, false), 6));
            assertEquals(200, started());
            assertFalse(book.servers().get(0).leaving());
        }

        @Test
        void doNotComeBackByAnOlderWord() {
            put(server(200, false), 6);
            assertFalse(put(server(100, true), 5));
            assertEquals(200, started());
        }

        @Test
        void doNotComeBackByANewerRevisionOfAnEarlierLife() {
            put(server(200, false), 6);
            assertFalse(put(server(100, false), 9));
            assertEquals(200, started());
        }

        @Test
        void areTheSameInWhateverOrderWordsArrive() {
            put(server(100, false), 9);
            assertTrue(put(server(200, false), 6));
            assertEquals(200, started());
            assertEquals(Revision.of(9), book.revisionOf(ID));
        }

        @Test
        void areOverAfterARemovalAndOnlyALaterOneFollows() {
            put(server(200, false), 6);
            book.remove(ID, Revision.of(7), 0, 0);
            assertFalse(put(server(100, false), 9));
            assertTrue(put(server(300, false), 10));
            assertEquals(300, started());
        }

        @Test
        void mayBeginAndEndBetweenTwoReadings() {
            put(server(100, false), 5);
            assertTrue(put(server(300, false), 9));
            assertFalse(put(server(200, false), 8));
            assertEquals(300, started());
        }
    }

    /** A server that had left got requests: the store returned from a copy of before its leave. */
    @Nested
    class EntriesOfAnOlderCopy {
        private boolean putCopied(BackendServer server, long number) {
            return book.put(server, new Revision(1, number), EntryOrigin.MAYBE_COPIED);
        }

        private boolean putWritten(BackendServer server, long number) {
            return book.put(server, new Revision(1, number), EntryOrigin.WRITTEN_IN_ERA);
        }

        @Test
        void doNotUndoALeave() {
            put(server(false), 5);
            put(server(true), 9);
            assertFalse(putCopied(server(false), 5));
            assertTrue(book.servers().get(0).leaving());
            assertEquals(new Revision(1, 5), book.revisionOf(ID));
        }

        @Test
        void doNotUndoARemoval() {
            put(server(false), 5);
            book.remove(ID, Revision.of(9), 0, 0);
            assertFalse(putCopied(server(false), 5));
            assertEquals(List.of(), book.servers());
        }

        @Test
        void doNotUndoARemovalThatIsPending() {
            put(server(false), 5);
            book.remove(ID, Revision.of(9), 1_000, 3_000);
            assertFalse(putCopied(server(false), 5));
            assertTrue(book.tick(3_000));
            assertEquals(List.of(), book.servers());
        }

        @Test
        void doNotHideWhatTheServerWritesAfterwards() {
            put(server(false), 5);
            put(server(true), 9);
            putCopied(server(false), 5);
            assertTrue(putWritten(server(false), 6));
            assertFalse(book.servers().get(0).leaving());
        }

        @Test
        void areToldApartFromWhatTheServerWroteSinceTheReturn() {
            put(server(false), 5);
            book.remove(ID, Revision.of(9), 0, 0);
            assertTrue(putCopied(server(false), 7));
            assertEquals(1, book.servers().size());
        }

        @Test
        void doNotUndoTheStartOfALaterLife() {
            put(server(200, false), 9);
            assertFalse(putCopied(server(100, false), 5));
            assertEquals(200, book.servers().get(0).incarnation().startedMs());
        }

        @Test
        void countAsLeavingOnceAnotherRouterKnowsOfTheLeave() {
            putCopied(server(false), 5);
            assertTrue(putCopied(server(true), 5));
            assertTrue(book.servers().get(0).leaving());
        }

        @Test
        void ofAnEarlierEraDoNotCountAnyMore() {
            putCopied(server(true), 5);
            assertFalse(put(server(false), 30));
            assertTrue(book.servers().get(0).leaving());
        }
    }

    @Test
    void aWholeReadingRemovesWhatItLacks() {
        put(server(false), 5);
        assertTrue(book.retain(List.of(), Revision.of(9), 0, 0));
        assertEquals(List.of(), book.servers());
    }
}
