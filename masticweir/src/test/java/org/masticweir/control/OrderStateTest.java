package org.masticweir.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Sets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.store.MemoryTable;

/** Orders to one engine from a holder and the next. */
class OrderStateTest {
    private static final EngineId ENGINE = EngineId.of("e1");
    private static final ModelVersion V1 = ModelVersion.of(ModelId.of("report"), "1", "");
    private static final ModelVersion V2 = ModelVersion.of(ModelId.of("report"), "2", "");
    private static final EngineHoldings OLD = EngineHoldings.of(Set.of(V1), EngineRole.SERVING);
    private static final EngineHoldings NEW = EngineHoldings.of(Set.of(V2), EngineRole.SERVING);
    private static final long DELAY_MS = 2_000;
    private static final long AUDIT_MS = 5_000;

    private final MemoryTable table = new MemoryTable();
    private final FakeEngine engine = new FakeEngine(1, false, V1);
    private long nowMs;

    /** Returns the target after which an engine of {@link #V1} and {@link #V2} holds just that. */
    private static EngineTarget towards(EngineHoldings end) {
        Set<ModelVersion> unload = Sets.difference(Set.of(V1, V2), end.models());
        return EngineTarget.of(false, end.models(), unload);
    }

    private OrderState holder(EngineHoldings target) {
        OrderPolicy policy = new OrderPolicy(engine.checksFencing, DELAY_MS, AUDIT_MS, 100);
        return OrderState.of(ENGINE, policy, towards(target));
    }

    /** Runs a holder up to its next send, which is returned and not made. */
    private Optional<OrderAction.Send> untilSend(OrderState state, long fencing) {
        Optional<OrderAction> next = state.onTick(nowMs, OptionalLong.of(fencing));
        while (next.isPresent()) {
            if (next.get() instanceof OrderAction.Send send) {
                return Optional.of(send);
            }
            make(state, next.get());
            next = state.onTick(nowMs, OptionalLong.of(fencing));
        }
        return Optional.empty();
    }

    private void make(OrderState state, OrderAction action) {
        if (action instanceof OrderAction.ReadJournal r) {
            state.onJournal(r.ticket(), table.row(r.key()));
        } else if (action instanceof OrderAction.WriteJournal w) {
            state.onJournalWritten(w.ticket(), table.apply(w.transaction()), nowMs);
        } else if (action instanceof OrderAction.ReadBack b) {
            state.onHoldings(b.ticket(), engine.holdings(), nowMs);
        }
    }

    private void settle(OrderState state, long fencing) {
        Optional<OrderAction.Send> send = untilSend(state, fencing);
        while (send.isPresent()) {
            state.onSent(send.get().ticket(), engine.take(send.get().order()), nowMs);
            send = untilSend(state, fencing);
        }
    }

    /** One holder. */
    @Nested
    class Alone {
        @Test
        void loadsTheNewBeforeItUnloadsTheOld() {
            OrderState state = holder(NEW);
            settle(state, 1);
            assertTrue(state.holds());
            assertEquals(
                    List.of(OrderKind.LOAD, OrderKind.UNLOAD),
                    engine.taken.stream().map(Order::kind).toList());
        }

        /** An order's answer is lost: no opposite one may follow while it can still land. */
        @Test
        void unknownOrderIsWaitedOut() {
            OrderState state = holder(NEW);
            OrderAction.Send send = untilSend(state, 1).orElseThrow();
            state.onSent(send.ticket(), SendOutcome.UNKNOWN, nowMs);
            state.setTarget(towards(OLD), nowMs);
            nowMs += DELAY_MS - 1;
            assertTrue(state.onTick(nowMs, OptionalLong.of(1)).isEmpty());
            engine.take(send.order());
            nowMs++;
            settle(state, 1);
            assertEquals(OLD, engine.holdings());
        }

        @Test
        void nothingIsOrderedWithoutTheLease() {
            OrderState state = holder(NEW);
            untilSend(state, 1);
            assertTrue(state.onTick(nowMs, OptionalLong.empty()).isEmpty());
        }
    }

    /**
     * A model vanishes from an engine that should hold it. Its former controller was paused just
     * before it sent an order, lost the lease meanwhile, and sends when it wakes up.
     */
    @Nested
    class PausedHolder {
        private final OrderState former = holder(NEW);
        private final OrderState next = holder(OLD);

        private OrderAction.Send pausedAtUnload() {
            OrderAction.Send load = untilSend(former, 1).orElseThrow();
            former.onSent(load.ticket(), engine.take(load.order()), nowMs);
            return untilSend(former, 1).orElseThrow();
        }

        @Test
        void checkingEngineRefusesItsOrder() {
            engine.checksFencing = true;
            OrderState checked = holder(OLD);
            OrderAction.Send late = pausedAtUnload();
            settle(checked, 2);
            assertEquals(SendOutcome.OLD_FENCING, engine.take(late.order()));
            assertEquals(OLD, engine.holdings());
        }

        @Test
        void nextHolderWaitsOutTheOpenIntent() {
            OrderAction.Send late = pausedAtUnload();
            assertTrue(untilSend(next, 2).isEmpty());
            engine.take(late.order());
            nowMs += DELAY_MS;
            settle(next, 2);
            assertEquals(OLD, engine.holdings());
        }

        @Test
        void auditCorrectsAnOrderThatComesEvenLater() {
            OrderAction.Send late = pausedAtUnload();
            untilSend(next, 2);
            nowMs += DELAY_MS;
            settle(next, 2);
            engine.take(late.order());
            nowMs += new OrderPolicy(false, DELAY_MS, AUDIT_MS, 100).exposureMs() - DELAY_MS;
            settle(next, 2);
            assertEquals(OLD, engine.holdings());
        }

        @Test
        void formerHolderCanJournalNoMore() {
            OrderAction.Send send = untilSend(former, 1).orElseThrow();
            untilSend(next, 2);
            former.onSent(send.ticket(), engine.take(send.order()), nowMs);
            assertTrue(untilSend(former, 1).isEmpty());
            nowMs += AUDIT_MS;
            assertTrue(untilSend(former, 1).isEmpty());
            assertTrue(former.isSuperseded());
        }
    }

    /** Loads from the weight store. */
    @Nested
    class Loads {
        @Test
        void bucketStartsEmptyAndReplicasAreStaggered() {
            WeightLoads loads = WeightLoads.afterTakeover(1, 8, 4, 0);
            for (int i = 0; i < 8; i++) {
                loads.want(new WeightLoad(EngineId.of("e" + i), V1));
            }
            var replicas = Map.of(V1.model(), 8);
            assertTrue(loads.start(replicas, 0).isEmpty());
            List<WeightLoad> started = loads.start(replicas, 8_000);
            assertEquals(2, started.size());
            loads.limited(started.get(0), 500, 8_000);
            loads.ended(started.get(1));
            assertTrue(loads.start(replicas, 8_400).isEmpty());
            assertEquals(1, loads.start(replicas, 9_000).size());
        }
    }
}
