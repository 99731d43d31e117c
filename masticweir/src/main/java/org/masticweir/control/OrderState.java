package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.id.EngineId;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;

/**
 * Decides which orders bring one engine to what it should hold, and when.
 *
 * <p>{@link #onTick} gives the next call; its end is told under its ticket. A new holder first
 * adopts the engine's journal row, by compare-and-set under its own fencing number: from then on a
 * former holder can't journal, and without a journalled intent it sends nothing. Then it reads the
 * engine back, journals an intent, sends that one order, and reads back again until the target
 * holds; after that it audits now and then. One order at a time is under way to an engine, and
 * after an order whose fate is unknown the longest order delay passes before the next, so that two
 * opposite ones never race.
 *
 * <p>An engine that checks fencing refuses what a former holder sends late, once it knows the next
 * holder's number: that one gives it an order without effect if it has no other to give. For one
 * that ignores it a holder that takes over an open intent waits out the longest delay. What stays
 * open: a holder paused between its last check of the lease and its send, for longer than the next
 * holder waits. Its order has its effect when it comes; the next audit finds and corrects it, see
 * {@link OrderPolicy#exposureMs}. Not thread-safe: owned by the control thread.
 */
public final class OrderState {
    private static final long NOT_HOLDER = 0;

    /** What is to be done next. */
    private enum Phase {
        READ_JOURNAL,
        ADOPT,
        READ_BACK,
        JOURNAL_INTENT,
        SEND,
        CLOSE_JOURNAL,
        /** A holder with a higher fencing number exists. */
        SUPERSEDED
    }

    private final EngineId engine;
    private final RowKey key;
    private final OrderPolicy policy;

    private EngineTarget target;
    private Phase phase = Phase.READ_JOURNAL;
    private long fencing = NOT_HOLDER;
    private long journalRevision;
    private JournalRow journal = JournalRow.none();
    private JournalRow written = JournalRow.none();
    private Order order;
    private boolean holds;

    /** Whether a former holder's order may come, and the engine knows no higher number yet. */
    private boolean mustFence;

    private int ticket;
    private boolean underWay;
    private long startedMs;
    private long notBeforeMs = Long.MIN_VALUE;

    private OrderState(EngineId engine, OrderPolicy policy, EngineTarget target) {
        this.engine = checkNotNull(engine, "engine");
        this.policy = checkNotNull(policy, "policy");
        this.target = checkNotNull(target, "target");
        key = JournalRow.keyOf(engine);
    }

    public static OrderState of(EngineId engine, OrderPolicy policy, EngineTarget target) {
        return new OrderState(engine, policy, target);
    }

    /** Replaces what is to change; an order under way is seen through first. */
    public void setTarget(EngineTarget newTarget, long nowMs) {
        if (target.equals(checkNotNull(newTarget, "newTarget"))) {
            return;
        }
        target = newTarget;
        if (holds) {
            holds = false;
            notBeforeMs = nowMs;
        }
        if (!underWay && (phase == Phase.JOURNAL_INTENT || phase == Phase.SEND)) {
            phase = Phase.READ_BACK;
        }
    }

    /** Tells whether the last read back showed what the engine should hold. */
    public boolean holds() {
        return holds;
    }

    /** Tells whether nothing is left to do: the target holds and no order is open. */
    boolean isSettled() {
        return holds && !underWay && !journal.open();
    }

    /** Returns the order whose intent is journalled and not closed yet. */
    Optional<Order> openOrder() {
        return journal.open() ? Optional.of(Order.decode(journal.order())) : Optional.empty();
    }

    /** Tells whether a holder with a higher fencing number is known to exist. */
    public boolean isSuperseded() {
        return phase == Phase.SUPERSEDED;
    }

    /**
     * Returns the next call, if one is due and none is under way.
     *
     * @param lease the fencing number while the lease's {@code mayAct} holds, else empty
     */
    public Optional<OrderAction> onTick(long nowMs, OptionalLong lease) {
        if (lease.isEmpty()) {
            return Optional.empty();
        }
        if (lease.getAsLong() != fencing) {
            takeOver(lease.getAsLong());
        }
        if (underWay || nowMs < notBeforeMs || phase == Phase.SUPERSEDED) {
            return Optional.empty();
        }
        ticket++;
        underWay = true;
        startedMs = nowMs;
        return Optional.of(action());
    }

    /** Takes the journal row as read. */
    public void onJournal(int endedTicket, Row row) {
        if (!end(endedTicket)) {
            return;
        }
        journalRevision = row.revision();
        journal = row.isPresent() ? JournalRow.decode(row.value()) : JournalRow.none();
        phase = journal.fencing() > fencing ? Phase.SUPERSEDED : Phase.ADOPT;
    }

    /** Takes the outcome of a write of the journal row. */
    public void onJournalWritten(int endedTicket, TransactionOutcome outcome, long nowMs) {
        if (!end(endedTicket)) {
            return;
        }
        if (outcome instanceof TransactionOutcome.Committed c) {
            journalRevision = c.revision();
            journal = written;
            journalled(nowMs);
            return;
        }
        // A conflict: another holder, or an earlier write of ours that landed after all. Unknown:
        // it may have. Nothing was sent on the strength of it, so reading and adopting anew is
        // safe.
        phase = Phase.READ_JOURNAL;
        notBeforeMs = nowMs + policy.retryMs();
    }

    /** Takes what the engine says it holds. */
    public void onHoldings(int endedTicket, EngineHoldings holdings, long nowMs) {
        if (!end(endedTicket)) {
            return;
        }
        Optional<Order> next = target.firstOrder(holdings, fencing);
        holds = next.isEmpty();
        if (holds && mustFence) {
            next = fencingOrder(holdings);
        }
        if (next.isPresent()) {
            order = next.get();
            boolean journalled = journal.equals(JournalRow.intent(order));
            phase = journalled ? Phase.SEND : Phase.JOURNAL_INTENT;
        } else if (journal.open()) {
            phase = Phase.CLOSE_JOURNAL;
        } else {
            notBeforeMs = nowMs + policy.auditMs();
        }
    }

    /** Takes the end of a send. */
    public void onSent(int endedTicket, SendOutcome outcome, long nowMs) {
        if (!end(endedTicket)) {
            return;
        }
        mustFence &= outcome != SendOutcome.APPLIED;
        phase = outcome == SendOutcome.OLD_FENCING ? Phase.SUPERSEDED : Phase.READ_BACK;
        if (outcome.mayActLater()) {
            // The order may land at any time until then. An opposite one sent now could overtake
            // it, and the engine would end in the state that was given up.
            notBeforeMs = nowMs + policy.longestDelayMs();
        } else if (outcome == SendOutcome.NOT_DONE) {
            notBeforeMs = nowMs + policy.retryMs();
        }
    }

    /** Takes the failure of a read of journal or engine. */
    public void onNotRead(int endedTicket, long nowMs) {
        if (end(endedTicket)) {
            notBeforeMs = nowMs + policy.retryMs();
        }
    }

    /**
     * Returns an order that changes nothing and tells the engine this holder's fencing number.
     *
     * <p>An engine refuses a former holder's late order only once it knows a higher number, and one
     * that needs no change would get no order. To load what it holds has no effect; an engine that
     * holds nothing gets a load in time.
     */
    private Optional<Order> fencingOrder(EngineHoldings holdings) {
        return holdings.models().stream()
                .findFirst()
                .map(held -> Order.about(fencing, OrderKind.LOAD, held));
    }

    private boolean needsWeights() {
        return order.kind() == OrderKind.LOAD
                && order.model().filter(target.load()::contains).isPresent();
    }

    /** An answer to a call made under an older fencing number is dropped by its ticket. */
    private void takeOver(long newFencing) {
        fencing = newFencing;
        phase = Phase.READ_JOURNAL;
        underWay = false;
        holds = false;
        mustFence = false;
        notBeforeMs = Long.MIN_VALUE;
    }

    private boolean end(int endedTicket) {
        boolean current = underWay && endedTicket == ticket;
        underWay &= !current;
        return current;
    }

    private OrderAction action() {
        return switch (phase) {
            case READ_JOURNAL -> new OrderAction.ReadJournal(ticket, key);
            case ADOPT -> write(journal.adoptedUnder(fencing));
            case JOURNAL_INTENT -> write(JournalRow.intent(order));
            case CLOSE_JOURNAL -> write(journal.closed());
            case SEND -> new OrderAction.Send(ticket, engine, order, needsWeights());
            default -> new OrderAction.ReadBack(ticket, engine);
        };
    }

    private OrderAction write(JournalRow row) {
        written = row;
        String value = row.encode();
        return new OrderAction.WriteJournal(
                ticket, Transaction.compareAndSet(key, journalRevision, value));
    }

    private void journalled(long nowMs) {
        if (phase == Phase.JOURNAL_INTENT) {
            phase = Phase.SEND;
            return;
        }
        boolean adopted = phase == Phase.ADOPT;
        phase = Phase.READ_BACK;
        mustFence |= adopted && journal.open() && policy.checksFencing();
        if (adopted && journal.open() && !policy.checksFencing()) {
            // The former holder's order may be on its way. Read back before it lands, the engine
            // would seem to need nothing, or the opposite.
            notBeforeMs = nowMs + policy.longestDelayMs();
        } else if (holds) {
            notBeforeMs = startedMs + policy.auditMs();
        }
    }
}
