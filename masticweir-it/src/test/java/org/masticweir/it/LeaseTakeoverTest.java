package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** The controller of a failure domain is lost or cut off, and another router takes over. */
@ExtendWith(SharedOrderBed.class)
final class LeaseTakeoverTest {
    private static final long ORDER_BOUND_MS = 40_000;

    private final OrderBed bed;
    private final OrderChecks checks;

    LeaseTakeoverTest(OrderBed bed) {
        this.bed = bed;
        checks = new OrderChecks(bed);
    }

    /**
     * The router that holds the lease dies at rest, and a new model version is declared.
     *
     * <p>Operators see no order until the lease lapses; then another router holds it and all
     * engines are brought to the new version. The cause is a machine that fails.
     */
    @Nested
    final class HolderKilled {
        @Test
        void anotherRouterTakesTheLeaseAndOrdersGoOn() {
            long fencing = bed.lease().fencing();
            OrderRouter holder = bed.holder();
            long killedMs = OrderBed.wallMs();
            holder.process().kill();
            int version = bed.declareNext(bed.otherThan(holder));
            long takenMs = bed.awaitTakeover(fencing);
            assertEquals(fencing + 1, bed.lease().fencing());
            long heldMs = bed.awaitAllHold();
            System.out.printf(
                    "lease: holder killed at rest: taken over after %d ms, first order after %d ms,"
                            + " all engines at the new version after %d ms%n",
                    takenMs - killedMs,
                    firstUnder(fencing + 1).atMs() - killedMs,
                    heldMs - killedMs);
            checks.loadedOnce(version, killedMs);
            checks.oneHolderAtATime();
        }
    }

    /**
     * The holder is cut from the platform while it rolls out a version, but reaches all engines.
     *
     * <p>Two routers then believe, one after the other, that they hold the lease. Engines see the
     * last order of the first before the first one of the second. The cause is a broken link.
     */
    @Nested
    final class HolderCutFromThePlatform {
        private static final long WATCHED_MS = 3_000;

        @Test
        void byAResetLink() {
            assertSilentOnceItsLeaseEnds("cut");
        }

        @Test
        void byALinkThatPassesNothing() {
            assertSilentOnceItsLeaseEnds("stall");
        }

        private void assertSilentOnceItsLeaseEnds(String mode) {
            long sinceMs = OrderBed.wallMs();
            long fencing = bed.lease().fencing();
            OrderRouter holder = bed.holder();
            int version = bed.declareNext(bed.otherThan(holder));
            awaitLoad(version);
            bed.proxy().set(holder.platformRoute(), mode);
            long cutMs = OrderBed.wallMs();
            long takenMs = bed.awaitTakeover(fencing);
            bed.awaitAllHold();
            Await.holds(
                    "no order of the old holder", WATCHED_MS, () -> noneSince(fencing, takenMs));
            bed.proxy().set(holder.platformRoute(), "pass");
            Await.holds("nor once it is back", WATCHED_MS, () -> noneSince(fencing, takenMs));
            long lastMs = lastUnder(fencing).atMs();
            assertTrue(lastMs < firstUnder(fencing + 1).atMs(), "orders of two holders overlap");
            System.out.printf(
                    "lease: holder's link to the platform %s: taken over after %d ms; its last order"
                            + " came %d ms before that; window on engines that ignore fencing"
                            + " %d ms%n",
                    mode, takenMs - cutMs, takenMs - lastMs, Math.max(0, lastMs - takenMs));
            checks.loadedOnce(version, sinceMs);
            checks.oneHolderAtATime();
        }
    }

    /**
     * The holder dies during a rollout, and the platform fails the next one during its takeover.
     *
     * <p>The answer to the write that takes the lease is lost, then the table is out for seconds,
     * then answers to journal writes are lost. No engine is changed twice by one order, and all
     * reach the version once the table is back. The cause is an overloaded table service.
     */
    @Nested
    final class TableFailsDuringTheTakeover {
        private static final int OUTAGE_MS = 3_000;
        private static final int JOURNAL_ANSWERS = 3;

        @Test
        void noOrderTakesEffectTwiceAndAllReachTheVersion() {
            long sinceMs = OrderBed.wallMs();
            long lostBefore = lostAnswers();
            long fencing = bed.lease().fencing();
            OrderRouter holder = bed.holder();
            int version = bed.declareNext(bed.otherThan(holder));
            awaitLoad(version);
            holder.process().kill();
            long killedMs = OrderBed.wallMs();
            bed.platformFault("{\"lose_answers\":1}");
            long takenMs = bed.awaitTakeover(fencing);
            bed.platformFault("{\"outage_ms\":" + OUTAGE_MS + "}");
            assertEquals(lostBefore + 1, lostAnswers(), "answer of the takeover lost");
            Await.until("table back", ORDER_BOUND_MS, () -> bed.table().lease("a").isPresent());
            bed.platformFault("{\"lose_answers\":" + JOURNAL_ANSWERS + "}");
            long heldMs = bed.awaitAllHold();
            System.out.printf(
                    "lease: holder killed, answer lost, table out %d ms: taken over after %d ms,"
                            + " all engines at the new version after %d ms, answers lost %d%n",
                    OUTAGE_MS, takenMs - killedMs, heldMs - killedMs, lostAnswers() - lostBefore);
            checks.loadedOnce(version, sinceMs);
            checks.oneHolderAtATime();
            checks.keptTheRate(sinceMs);
            bed.awaitConverged();
        }

        private long lostAnswers() {
            return bed.platformRecords().path("lost_answers").asLong();
        }
    }

    /**
     * Two holders die one after the other, each while weights are fetched on its word.
     *
     * <p>The first load outlasts the takeover. The store never gives more than the domain's rate,
     * and never to two of the four replicas at once, so that the others go on serving. The cause is
     * a rolling failure of machines.
     */
    @Nested
    final class HoldersKilledDuringLoads {
        /** Over a takeover and the time until its first load, under the load's timeout. */
        private static final long LONG_LOAD_MS = 18_000;

        @Test
        void theStoresRateIsKept() {
            long sinceMs = OrderBed.wallMs();
            long fencing = bed.lease().fencing();
            OrderRouter first = bed.holder();
            bed.loadsTake(LONG_LOAD_MS);
            int version = bed.declareNext(bed.otherThan(first));
            long firstKilledMs = killDuringFetch(first, sinceMs, 1);
            bed.loadsTakeTheirTime();
            bed.awaitTakeover(fencing);
            OrderRouter second = bed.holder();
            long secondKilledMs = killDuringFetch(second, sinceMs, 2);
            long heldMs = bed.awaitAllHold();
            System.out.printf(
                    "lease: two holders killed during loads, %d ms apart: all engines at the new"
                            + " version %d ms after the second, %d fetches%n",
                    secondKilledMs - firstKilledMs,
                    heldMs - secondKilledMs,
                    checks.fetchCount(sinceMs));
            checks.keptTheRate(sinceMs);
            checks.loadedOneAtATime(sinceMs);
            checks.loadedOnce(version, sinceMs);
            checks.oneHolderAtATime();
        }

        /** Kills {@code holder} once the store has given {@code count} loads; returns when. */
        private long killDuringFetch(OrderRouter holder, long sinceMs, int count) {
            Await.until(
                    "fetch " + count, ORDER_BOUND_MS, () -> checks.fetchCount(sinceMs) >= count);
            holder.process().kill();
            return OrderBed.wallMs();
        }
    }

    private void awaitLoad(int version) {
        Await.until(
                "a load of " + version,
                ORDER_BOUND_MS,
                () -> all().stream().anyMatch(o -> o.is("load", version) && o.changed()));
    }

    private boolean noneSince(long fencing, long sinceMs) {
        return bed.ordersSince(sinceMs).stream().noneMatch(o -> o.fencing() == fencing);
    }

    private OrderRecord firstUnder(long fencing) {
        return under(fencing).get(0);
    }

    private OrderRecord lastUnder(long fencing) {
        List<OrderRecord> orders = under(fencing);
        return orders.get(orders.size() - 1);
    }

    private List<OrderRecord> under(long fencing) {
        return all().stream().filter(o -> o.fencing() == fencing).toList();
    }

    private ImmutableList<OrderRecord> all() {
        return bed.ordersSince(0);
    }
}
