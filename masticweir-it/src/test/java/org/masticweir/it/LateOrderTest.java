package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** The controller of a failure domain is paused past its lease with orders at hand. */
@ExtendWith(SharedOrderBed.class)
final class LateOrderTest {
    private static final long BOUND_MS = 30_000;

    /** Over the time between two audits of an engine that holds what it should. */
    private static final long WATCHED_MS = 6_000;

    private final OrderBed bed;
    private final OrderChecks checks;

    LateOrderTest(OrderBed bed) {
        this.bed = bed;
        checks = new OrderChecks(bed);
    }

    /**
     * The holder freezes while weights are fetched for its next order, and wakes much later.
     *
     * <p>Meanwhile another version is declared and the next holder brings all engines to it. The
     * old one has its answer when it wakes and sends nothing on the strength of it. The cause is a
     * stopped virtual machine.
     */
    @Nested
    final class PausedDuringAFetch {
        @Test
        void theOldHolderSendsNothingAndAllEnginesStayAtTheNewestVersion() {
            long sinceMs = OrderBed.wallMs();
            long fencing = bed.lease().fencing();
            OrderRouter holder = bed.holder();
            bed.declareNext(bed.otherThan(holder));
            Await.until("fetch", BOUND_MS, () -> checks.fetchCount(sinceMs) >= 1);
            holder.process().pause();
            long pausedMs = OrderBed.wallMs();
            int newest = bed.declareNext(bed.otherThan(holder));
            long takenMs = bed.awaitTakeover(fencing);
            bed.awaitAllHold();
            holder.process().resume();
            long wokenMs = OrderBed.wallMs();
            Await.holds("all hold " + newest, WATCHED_MS, bed::allHold);
            List<OrderRecord> late = under(fencing, takenMs);
            System.out.printf(
                    "lease: holder paused %d ms during a fetch: orders of it after the takeover %d,"
                            + " of them with an effect %d%n",
                    wokenMs - pausedMs,
                    late.size(),
                    late.stream().filter(OrderRecord::changed).count());
            assertEquals(List.of(), late);
            checks.oneHolderAtATime();
        }
    }

    /**
     * The holder freezes right after it sent an unload that is still on its way.
     *
     * <p>The document goes back to the version which that unloads, the next holder settles the
     * engine, and then the order arrives and the old holder wakes. An engine that checks refuses
     * it; one that ignores fencing loses the version, and gets it back from the next holder. The
     * cause is a pause between the last check of the lease and the arrival, which nothing bounds.
     */
    @Nested
    final class UnloadOnItsWay {
        /** Makes the holder's journal writes slow enough to act between intent and order. */
        private static final long PLATFORM_DELAY_MS = 170;

        private static final long HELD_UP_MS = 120_000;
        private static final long LEAST_DELAY_MS = 1;

        /** Under the order's timeout, over the time from its intent to its send. */
        private static final long SENT_AFTER_MS = 800;

        @Test
        void anEngineThatChecksRefusesIt() {
            OrderRecord late = arriveLate(bed.checking().get(0));
            assertFalse(late.applied(), "refused as old");
            checks.oneHolderAtATime();
        }

        @Test
        void anEngineThatIgnoresFencingIsCorrected() {
            OrderRecord late = arriveLate(bed.ignoring().get(0));
            assertTrue(late.applied() && late.changed(), "nothing closes this one");
            System.out.printf(
                    "lease: unload of a former holder on an engine that ignores fencing: corrected"
                            + " after %d ms%n",
                    correction(late).orElseThrow().atMs() - late.atMs());
        }

        /** Returns the order as {@code engine} recorded it, once all is settled after it. */
        private OrderRecord arriveLate(BackEndProcess engine) {
            long fencing = bed.lease().fencing();
            OrderRouter holder = bed.holder();
            int old = bed.version();
            holdUpUnload(engine, holder);
            holder.process().pause();
            long pausedMs = OrderBed.wallMs();
            bed.proxy().delay(engine.id(), LEAST_DELAY_MS);
            bed.declare(bed.otherThan(holder), old);
            bed.awaitTakeover(fencing);
            Await.until("settled", BOUND_MS, () -> isSettledAfter(engine, fencing));
            bed.awaitAllHold();
            assertEquals(List.of(), under(fencing, pausedMs), "the unload has not arrived yet");
            bed.proxy().passAll();
            Await.until("arrival", BOUND_MS, () -> !under(fencing, pausedMs).isEmpty());
            OrderRecord late = under(fencing, pausedMs).get(0);
            Await.until(
                    "corrected", BOUND_MS, () -> !late.changed() || correction(late).isPresent());
            holder.process().resume();
            Await.holds("all hold " + old, WATCHED_MS, bed::allHold);
            assertEquals(List.of(late), under(fencing, pausedMs), "orders of the old holder");
            assertEquals("unload", late.kind());
            assertEquals(Integer.toString(old), late.version());
            return late;
        }

        /** Brings the next version about and returns once the unload of this one is sent. */
        private void holdUpUnload(BackEndProcess engine, OrderRouter holder) {
            bed.proxy().delay(holder.platformRoute(), PLATFORM_DELAY_MS);
            bed.declareNext(bed.otherThan(holder));
            Await.until("intent to unload", BOUND_MS, () -> intendsToUnload(engine));
            bed.proxy().delay(engine.id(), HELD_UP_MS);
            Await.elapse(SENT_AFTER_MS);
        }

        private boolean intendsToUnload(BackEndProcess engine) {
            return bed.table()
                    .journal(engine)
                    .filter(j -> j.open() && j.kind().equals("unload"))
                    .isPresent();
        }

        /** Tells whether a later holder has closed the order left open at {@code engine}. */
        private boolean isSettledAfter(BackEndProcess engine, long fencing) {
            return bed.table()
                    .journal(engine)
                    .filter(j -> j.fencing() > fencing && !j.open())
                    .isPresent();
        }

        private Optional<OrderRecord> correction(OrderRecord late) {
            return bed.ordersSince(late.atMs()).stream()
                    .filter(o -> o.engine().equals(late.engine()) && o.changed())
                    .filter(o -> o.kind().equals("load") && o.version().equals(late.version()))
                    .findFirst();
        }
    }

    private List<OrderRecord> under(long fencing, long sinceMs) {
        return bed.ordersSince(sinceMs).stream().filter(o -> o.fencing() == fencing).toList();
    }
}
