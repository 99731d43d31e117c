package org.masticweir.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.store.ChangeFeed;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.Revision;
import org.masticweir.store.RowKey;
import org.masticweir.time.ManualScheduler;

/** The calls of a follower, and what it hands over of their answers. */
class TableFollowerTest {
    private static final long WAIT_MS = 3_000;
    private static final long GRACE_MS = 700;
    private static final long TIMEOUT_MS = WAIT_MS + GRACE_MS;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final Store store = new Store();
    private final List<String> heard = new ArrayList<>();
    private final List<Long> agesMs = new ArrayList<>();
    private final TableFollower follower =
            new TableFollower(
                    "t",
                    store,
                    FeedPace.of(WAIT_MS, GRACE_MS, 50),
                    (rows, since, dueMs, asOfMs) -> {
                        rows.changes().forEach(c -> heard.add(c.value().orElse("")));
                        agesMs.add(scheduler.clock().nowMs() - asOfMs);
                    },
                    () -> ReadingRole.FIRST,
                    scheduler,
                    scheduler.clock());

    /** A store whose answers the test gives; calls without one fail at their timeout. */
    private final class Store implements ChangeFeed {
        private final List<CompletableFuture<FeedOutcome>> calls = new ArrayList<>();
        private final List<Optional<Revision>> since = new ArrayList<>();

        @Override
        public CompletableFuture<FeedOutcome> readAll(String table, long timeoutMs) {
            return call(Optional.empty(), timeoutMs);
        }

        @Override
        public CompletableFuture<FeedOutcome> changes(
                String table, Revision revision, long waitMs, long timeoutMs) {
            return call(Optional.of(revision), timeoutMs);
        }

        private CompletableFuture<FeedOutcome> call(Optional<Revision> after, long timeoutMs) {
            CompletableFuture<FeedOutcome> answer = new CompletableFuture<>();
            scheduler.at(
                    scheduler.clock().nowMs() + timeoutMs,
                    () -> answer.complete(new FeedOutcome.Failed("no answer in time")));
            calls.add(answer);
            since.add(after);
            return answer;
        }

        int lastCall() {
            return calls.size() - 1;
        }
    }

    private void advanceMs(long ms) {
        scheduler.runTo(scheduler.clock().nowMs() + ms);
    }

    private void answer(int call, long number, String... values) {
        Revision revision = Revision.of(number);
        List<FeedOutcome.Change> changes = new ArrayList<>();
        for (String value : values) {
            RowKey key = RowKey.of("t", "k");
            changes.add(new FeedOutcome.Change(key, revision, false, Optional.of(value)));
        }
        store.calls.get(call).complete(new FeedOutcome.Rows(changes, revision));
        advanceMs(1);
    }

    @BeforeEach
    void readWholeTable() {
        follower.resume();
        answer(0, 7, "first");
        advanceMs(FeedState.SETTLE_MS);
        assertEquals(List.of("first"), heard);
    }

    /** The answer with a change came shortly after the call was given up, and was thrown away. */
    @Nested
    class OverdueCall {
        @Test
        void isStillAnswered() {
            int call = store.lastCall();
            advanceMs(TIMEOUT_MS + 200);
            assertTrue(store.lastCall() > call, "another call is made beside it");
            answer(call, 8, "second");
            assertEquals(List.of("first", "second"), heard);
            assertEquals(StoreContact.HEARD, follower.contact());
        }

        @Test
        void doesNotMakeTheNextCallsStartBeforeItsAnswer() {
            int call = store.lastCall();
            advanceMs(TIMEOUT_MS + 200);
            answer(call, 8, "second");
            answer(store.lastCall(), 8);
            advanceMs(100);
            assertEquals(Optional.of(Revision.of(8)), store.since.get(store.lastCall()));
        }

        @Test
        void givesWayToTheNextOne() {
            int call = store.lastCall();
            advanceMs(TIMEOUT_MS + 200);
            int next = store.lastCall();
            advanceMs(2 * GRACE_MS + 400);
            assertTrue(store.lastCall() > next, "the second call is overdue too");
            answer(call, 8, "given up");
            answer(next, 9, "second");
            assertEquals(List.of("first", "second"), heard);
        }
    }

    /** The age of an answer was counted from its arrival. */
    @Nested
    class AgeOfAnAnswer {
        @Test
        void isThatOfTheWaitsEndWithoutAChange() {
            agesMs.clear();
            advanceMs(TIMEOUT_MS - 100 - 1);
            answer(store.lastCall(), 7);
            assertEquals(GRACE_MS - 100, agesMs.get(0));
        }

        @Test
        void isThatOfTheCallsStartWithAChange() {
            agesMs.clear();
            advanceMs(WAIT_MS / 2 - 1);
            answer(store.lastCall(), 8, "second");
            assertEquals(WAIT_MS / 2, agesMs.get(0));
        }
    }
}
