package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.id.EngineId;
import org.masticweir.store.FetchOutcome;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.TransactionOutcome;

/** Drives the orders to one engine, one call at a time; owned by the control thread. */
final class EngineDuty {
    private static final Logger LOG = LogManager.getLogger(EngineDuty.class);

    /** What the duties of one time of holding the lease share. */
    record Shared(
            ControlContext context, LeaseDriver lease, LoadGrants grants, PacedWrites writes) {}

    private final Shared shared;
    private final ControlContext context;
    private final LoadGrants grants;
    private final OrderState state;
    private ManagedEngine engine;
    private EngineTarget target;

    private EngineDuty(
            Shared shared, ManagedEngine engine, OrderPolicy policy, EngineTarget target) {
        this.shared = checkNotNull(shared, "shared");
        this.engine = checkNotNull(engine, "engine");
        this.target = checkNotNull(target, "target");
        context = shared.context();
        grants = shared.grants();
        state = OrderState.of(engine.id(), policy, target);
    }

    static EngineDuty of(
            Shared shared, ManagedEngine engine, OrderPolicy policy, EngineTarget target) {
        return new EngineDuty(shared, engine, policy, target);
    }

    /** Takes the engine and its target as they stand now, and does what is due. */
    void tick(ManagedEngine now, EngineTarget newTarget) {
        engine = now;
        target = newTarget;
        state.setTarget(newTarget, context.nowMs());
        drive();
    }

    /** Tells whether the engine was ordered back, or shows that it never left. */
    boolean isBack() {
        return target.equals(EngineTarget.backToServing()) && state.isSettled();
    }

    Optional<Order> openOrder() {
        return state.openOrder();
    }

    private void drive() {
        if (state.isSettled() || isHeldBack()) {
            return;
        }
        state.onTick(context.nowMs(), shared.lease().actingFencing()).ifPresent(this::make);
    }

    /**
     * While a load may be under way the journal row stays open, so that a next holder counts it
     * too; closed, two replicas of a model could load at once after two changes of holder.
     */
    private boolean isHeldBack() {
        return target.role().isEmpty() && grants.isInDoubt(id());
    }

    private void make(OrderAction action) {
        if (action instanceof OrderAction.ReadJournal read) {
            readJournal(read);
        } else if (action instanceof OrderAction.WriteJournal write) {
            shared.writes().add(() -> writeJournal(write), context.nowMs());
        } else if (action instanceof OrderAction.ReadBack read) {
            readBack(read);
        } else if (action instanceof OrderAction.Send send) {
            prepare(send);
        }
    }

    private void readJournal(OrderAction.ReadJournal read) {
        context.table()
                .read(read.key(), context.tableTimeoutMs())
                .thenAcceptAsync(outcome -> onJournal(read.ticket(), outcome), context.control());
    }

    private void onJournal(int ticket, ReadOutcome<Row> outcome) {
        if (outcome instanceof ReadOutcome.Done<Row> done && isReadable(done.value())) {
            state.onJournal(ticket, done.value());
        } else {
            state.onNotRead(ticket, context.nowMs());
        }
        drive();
    }

    /** A row that can't be read gives no orders, rather than orders against an unknown one. */
    private static boolean isReadable(Row row) {
        try {
            return !row.isPresent() || JournalRow.decode(row.value()).fencing() >= 0;
        } catch (IllegalArgumentException e) {
            LOG.error("control: journal row {} not readable, {}", row.key(), e.getMessage());
            return false;
        }
    }

    /** The lease may have ended while the write waited for its turn. */
    private void writeJournal(OrderAction.WriteJournal write) {
        if (shared.lease().actingFencing().isEmpty()) {
            TransactionOutcome notDone = TransactionOutcome.NotDone.because("lease ended");
            state.onJournalWritten(write.ticket(), notDone, context.nowMs());
            return;
        }
        context.table()
                .transact(write.transaction(), context.tableTimeoutMs())
                .thenAcceptAsync(
                        outcome -> {
                            state.onJournalWritten(write.ticket(), outcome, context.nowMs());
                            drive();
                        },
                        context.control());
    }

    private void readBack(OrderAction.ReadBack read) {
        context.engines()
                .readBack(engine.address())
                .thenAcceptAsync(h -> onReadBack(read.ticket(), h), context.control());
    }

    private void onReadBack(int ticket, Optional<EngineHoldings> holdings) {
        long now = context.nowMs();
        holdings.ifPresentOrElse(
                h -> state.onHoldings(ticket, h, now), () -> state.onNotRead(ticket, now));
        drive();
    }

    private void prepare(OrderAction.Send send) {
        if (!send.needsWeights()) {
            send(send);
            return;
        }
        WeightLoad load = new WeightLoad(id(), send.order().model().orElseThrow());
        Optional<LoadGrants.Phase> phase = grants.phaseOf(load);
        if (phase.equals(Optional.of(LoadGrants.Phase.FETCHED))) {
            send(send);
        } else if (phase.equals(Optional.of(LoadGrants.Phase.GRANTED))) {
            fetch(send, load);
        } else {
            sent(send, SendOutcome.NOT_DONE);
        }
    }

    private void fetch(OrderAction.Send send, WeightLoad load) {
        if (!mayAct(send.order())) {
            sent(send, SendOutcome.NOT_DONE);
            return;
        }
        grants.fetching(load, context.nowMs());
        ModelVersion model = load.model();
        long timeoutMs = context.settings().loads().timeoutMs();
        context.weights()
                .fetch(model.model(), model.version(), id(), timeoutMs)
                .thenAcceptAsync(outcome -> onFetched(send, load, outcome), context.control());
    }

    private void onFetched(OrderAction.Send send, WeightLoad load, FetchOutcome outcome) {
        long now = context.nowMs();
        if (outcome instanceof FetchOutcome.Fetched) {
            grants.fetched(load, now);
            send(send);
            return;
        }
        if (outcome instanceof FetchOutcome.NotDone n) {
            long retryMs = n.retryAfterMs().orElse(context.settings().orders().retryMs());
            grants.limited(load, retryMs, now);
        } else {
            grants.inDoubt(load, now);
        }
        LOG.warn("control: weights {} for engine {} not fetched, {}", load.model(), id(), outcome);
        sent(send, SendOutcome.NOT_DONE);
    }

    private void send(OrderAction.Send send) {
        // A holder paused since its last step would order under a lease that is another's by now:
        // seen by the clock, checked as the last step before the send. A pause after it is real;
        // what it leaves open is told at OrderState.
        if (!mayAct(send.order())) {
            LOG.warn("control: order to engine {} not sent, lease ended", id());
            sent(send, SendOutcome.NOT_DONE);
            return;
        }
        context.engines()
                .send(engine.address(), send.order())
                .thenAcceptAsync(outcome -> sent(send, outcome), context.control());
    }

    private void sent(OrderAction.Send send, SendOutcome outcome) {
        Order order = send.order();
        LOG.info(
                "control: engine {} ordered {} {} under {}, {}",
                id(),
                order.kind(),
                order.model(),
                order.fencing(),
                outcome);
        state.onSent(send.ticket(), outcome, context.nowMs());
        drive();
    }

    private boolean mayAct(Order order) {
        return shared.lease().mayActUnder(order.fencing());
    }

    private EngineId id() {
        return engine.id();
    }
}
