package org.masticweir.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.control.ControlWorld.SETTINGS;
import static org.masticweir.control.ControlWorld.V1;
import static org.masticweir.control.ControlWorld.V2;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticweir.claims.ClaimRow;
import org.masticweir.control.ControlWorld.Router;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;

/** The control of one failure domain over fakes of everything around it. */
class DomainLoopTest {
    private static final long START_MS = 1_000;
    private static final long ROLLED_MS = 20_000;
    private static final long LEASE_MS = SETTINGS.lease().durationMs() + 1_000;

    /** A model's declared version changes. */
    @Nested
    class VersionChange {
        private final ControlWorld world = new ControlWorld(4, true);

        VersionChange() {
            world.router("a");
            world.run(START_MS);
            world.declare(V2);
        }

        @Test
        void rollsOverOneEngineAfterTheOther() {
            world.run(ROLLED_MS, () -> assertTrue(world.holders(V1) + world.holders(V2) > 0));
            assertEquals(4, world.holders(V2));
            assertEquals(1, world.mostFetches);
        }

        /** Generations pinned to the old version still run: an unload would cut them off. */
        @Test
        void oldVersionStaysUntilItIsDrained() {
            long drainMs = SETTINGS.orders().unloadAfterMs();
            world.run(drainMs - 1_000, () -> assertEquals(4, world.holders(V1)));
            world.run(5_000);
            assertEquals(0, world.holders(V1));
            assertEquals(4, world.holders(V2));
        }

        /** A change back within the wait takes up the old version again without any load. */
        @Test
        void versionDeclaredAgainIsKept() {
            world.run(500);
            world.declare(V1);
            world.run(2 * SETTINGS.orders().unloadAfterMs());
            assertEquals(4, world.holders(V1));
        }

        @Test
        void settledDomainWritesOnlyItsLease() {
            world.run(2 * ROLLED_MS);
            int before = world.table.transactions();
            world.run(10_000);
            assertEquals(20, world.table.transactions() - before);
        }
    }

    /** An engine on its way out. */
    @Nested
    class Leaving {
        private final ControlWorld world = new ControlWorld(2, true);
        private final FakeEngine engine = world.engines.get(0);

        @Test
        void listedEngineIsToldToLeaveAndLoadsNothing() {
            world.router("a");
            engine.listedLeaving = true;
            world.declare(V2);
            world.run(ROLLED_MS);
            assertEquals(List.of(OrderKind.LEAVE), engine.taken.stream().map(Order::kind).toList());
        }

        /**
         * The list shows an engine as leaving and then as live again, as after a replacement that
         * was called off. Told to leave and never told back, it would get no work for good.
         */
        @Test
        void engineListedAgainIsOrderedBackToServing() {
            world.router("a");
            world.declare(V1);
            engine.listedLeaving = true;
            world.run(ROLLED_MS);
            assertEquals(EngineRole.LEAVING, engine.role);
            engine.listedLeaving = false;
            world.run(ROLLED_MS);
            assertEquals(EngineRole.SERVING, engine.role);
        }

        /**
         * An engine is back on the list, and gets no work any more.
         *
         * <p>Its order to leave was still on its way when the list took its word back, so that it
         * showed itself as serving, and it left only then. Cause: the controller had forgotten by
         * then who had told it to leave, and took that for the engine's own word.
         */
        @Test
        void orderToLeaveThatArrivesAfterTheListsOtherWordIsTakenBack() {
            Router router = world.router("a");
            world.run(START_MS);
            router.slowSend = true;
            engine.listedLeaving = true;
            world.run(START_MS);
            engine.listedLeaving = false;
            world.run(START_MS);
            router.arrive();
            world.run(ROLLED_MS);
            assertEquals(
                    List.of(OrderKind.LEAVE, OrderKind.ROLE),
                    engine.taken.stream().map(Order::kind).toList());
            assertEquals(EngineRole.SERVING, engine.role);
        }

        /** An engine leaves by itself; the list lags, and an order back would give it work. */
        @Test
        void engineThatLeavesByItselfIsLeftAlone() {
            world.router("a");
            engine.role = EngineRole.LEAVING;
            world.declare(V2);
            world.run(ROLLED_MS);
            assertTrue(engine.taken.isEmpty());
            assertEquals(1, world.holders(V2));
        }
    }

    /**
     * An operator rolls a version out, then back. The router that gives the orders is paused right
     * before it sends an unload; its lease lapses, another router takes over under the changed
     * deployment, and the first one wakes up with the old order in hand.
     */
    @Nested
    class PausedHolder {
        private ControlWorld world;
        private Router first;

        /** Pauses the first router with the unload of V1 in hand, then has V1 declared again. */
        private void pauseWithUnloadInHand(boolean checksFencing) {
            world = new ControlWorld(2, checksFencing);
            first = world.router("a");
            world.run(START_MS);
            world.declare(V2);
            world.run(SETTINGS.orders().unloadAfterMs() - 500);
            assertEquals(2, world.holders(V2));
            first.pauseAtSend = true;
            world.run(2_000);
            assertEquals(OrderKind.UNLOAD, first.heldBack.orElseThrow().kind());
            world.declare(V1);
            world.router("b");
            world.run(LEASE_MS + SETTINGS.orders().longestDelayMs());
        }

        @Test
        void checkingEngineRefuses() {
            pauseWithUnloadInHand(true);
            assertEquals(SendOutcome.OLD_FENCING, first.wakeUp());
            world.run(ROLLED_MS);
            assertEquals(2, world.holders(V1));
        }

        @Test
        void ignoringEngineIsReadAndCorrected() {
            pauseWithUnloadInHand(false);
            assertEquals(SendOutcome.APPLIED, first.wakeUp());
            assertEquals(1, world.holders(V1));
            long exposureMs = SETTINGS.orders().policy(false).exposureMs();
            assertEquals(exposureMs, world.routers.get(1).view.exposureMs());
            world.run(exposureMs);
            assertEquals(2, world.holders(V1));
        }

        @Test
        void formerHolderGivesNoFurtherOrder() {
            pauseWithUnloadInHand(false);
            first.pauseAtSend = false;
            first.wakeUp();
            world.run(ROLLED_MS);
            assertFalse(first.view.holder());
            long old = world.ordersTaken().stream().filter(o -> o.fencing() == 1).count();
            // Two loads and the late unload.
            assertEquals(3, old);
        }
    }

    /** Two routers compete. */
    @Nested
    class TwoControllers {
        private final ControlWorld world = new ControlWorld(8, true);
        private final Router a = world.router("a");
        private final Router b = world.router("b");

        @Test
        void oneActs() {
            world.declare(V2);
            world.run(ROLLED_MS, () -> assertFalse(a.view.holder() && b.view.holder()));
            assertEquals(8, world.ordersTaken().size());
        }

        @Test
        void releaseHandsOverWithoutTheWait() {
            world.run(START_MS);
            CompletableFuture<Void> released = a.release();
            world.run(START_MS);
            assertTrue(released.isDone() && b.view.holder());
        }

        /**
         * The weight store refuses everyone once its rate is passed, so that engines elsewhere come
         * up late. The holder dies or shuts down in a rollout right after it spent its share, and
         * the next one starts with a share of its own; a load is still under way at one engine.
         */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void rateAndStaggerHoldOverTakeover(boolean graceful) {
            world.run(START_MS);
            world.declare(V2);
            world.run(2_500);
            if (graceful) {
                a.release();
            } else {
                a.paused = true;
            }
            world.run(2 * ROLLED_MS);
            assertTrue(b.view.holder());
            assertEquals(8, world.holders(V2));
            List<Long> at = world.fetchedAtMs;
            LoadSettings loads = SETTINGS.loads();
            for (int i = 0; i < at.size(); i++) {
                for (int j = i; j < at.size(); j++) {
                    double most = loads.burst() + loads.perSecond() * (at.get(j) - at.get(i)) / 1e3;
                    assertTrue(j - i + 1 <= most, "fetches " + i + " to " + j + " in " + at);
                }
            }
            assertTrue(world.mostFetches <= 2);
        }
    }

    @Test
    void holderSweepsOldClaims() {
        ControlWorld world = new ControlWorld(1, true);
        world.router("a");
        RowKey key = ClaimRow.keyOf(TeamId.of("t"), RequestId.of("letter"));
        String claim = ClaimRow.claimed("nonce", RouterId.of("a"), 0).encode();
        world.table.apply(Transaction.compareAndSet(key, Row.ABSENT, claim));
        world.run(START_MS);
        assertTrue(world.table.row(key).isPresent());
        world.clock.advanceMs(SETTINGS.sweep().retentionMs());
        world.run(2 * SETTINGS.sweep().everyMs());
        assertFalse(world.table.row(key).isPresent());
    }

    /**
     * The table is out for minutes, and operators see no change taking effect. The holder can't
     * renew, so that it must stop giving orders before anyone else could start; the engines go on
     * with what they hold, and the change takes effect after the outage.
     */
    @Nested
    class TableOutage {
        @Test
        void noOrderWithoutValidLease() {
            ControlWorld world = new ControlWorld(4, true);
            Router a = world.router("a");
            world.run(START_MS);
            world.table.setOut(true);
            world.run(LEASE_MS);
            assertFalse(a.view.holder());
            world.declare(V2);
            world.run(60_000);
            assertTrue(world.ordersTaken().isEmpty());
            assertEquals(4, world.holders(V1));
            world.table.setOut(false);
            world.run(ROLLED_MS);
            assertEquals(4, world.holders(V2));
        }
    }
}
