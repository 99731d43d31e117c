package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.id.RouterId;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;

/**
 * Decides about one lease from one router's view.
 *
 * <p>{@link #onTick} is called now and then and gives the next call to the table, whose end is told
 * by {@link #onRow}, {@link #onNotRead} or {@link #onWritten}. The holder counts its time from
 * before the request that won or renewed the lease; everyone else waits the row's whole duration on
 * its own clock from when it first saw that revision. So two clocks are never compared, and a pause
 * of the holder only shortens its own view. Not thread-safe: owned by the control thread.
 *
 * <p>A pause between {@link #mayAct} and the act itself can't be closed here; what is ordered in it
 * carries the old fencing number (see {@link OrderState}). The row must never be deleted, as the
 * fencing number would start again.
 */
public final class LeaseState {
    private static final long NEVER = Long.MIN_VALUE;

    private final RowKey key;
    private final RouterId self;
    private final LeasePolicy policy;

    private Row seen;
    private long seenAtMs;
    private long ownRevision = NEVER;
    private long holdsUntilMs = NEVER;
    private long fencing;
    private boolean releasing;

    private int ticket;
    private boolean underWay;
    private boolean mustRead = true;
    private long notBeforeMs = NEVER;
    private long nextDueMs = NEVER;
    private LeaseRow written;
    private long writtenMs;
    private OptionalLong unsettledSinceMs = OptionalLong.empty();

    private LeaseState(String lease, RouterId self, LeasePolicy policy) {
        key = LeaseRow.keyOf(lease);
        this.self = checkNotNull(self, "self");
        this.policy = checkNotNull(policy, "policy");
        seen = Row.absent(key);
    }

    public static LeaseState of(String lease, RouterId self, LeasePolicy policy) {
        return new LeaseState(lease, self, policy);
    }

    /** Tells whether this router may act under the lease now; asked right before each act. */
    public boolean mayAct(long nowMs) {
        return !releasing && holdsUntilMs != NEVER && nowMs < holdsUntilMs - policy.marginMs();
    }

    /** Returns the fencing number to act under; meaningful while {@link #mayAct} holds. */
    public long fencing() {
        return fencing;
    }

    /** Stops acting at once and gives the lease back by the next write. */
    public void release() {
        releasing = true;
    }

    /** Tells whether nothing is left to give back after {@link #release}. */
    public boolean isReleased() {
        return releasing && !underWay && unsettledSinceMs.isEmpty() && !isOwn();
    }

    /** Returns the next call to the table, if one is due and none is under way. */
    public Optional<LeaseAction> onTick(long nowMs) {
        if (underWay || nowMs < notBeforeMs) {
            return Optional.empty();
        }
        if (mustRead) {
            return Optional.of(read());
        }
        if (releasing) {
            return isOwn() ? Optional.of(write(row().givenBack(), nowMs)) : Optional.empty();
        }
        if (isOwn()) {
            return nowMs >= nextDueMs ? Optional.of(write(renewed(), nowMs)) : Optional.empty();
        }
        if (nowMs >= seenAtMs + row().durationMs()) {
            return Optional.of(write(takenOver(), nowMs));
        }
        return nowMs >= nextDueMs ? Optional.of(read()) : Optional.empty();
    }

    /** Takes the row as read by the call with {@code readTicket}. */
    public void onRow(int readTicket, Row row, long nowMs) {
        if (end(readTicket)) {
            mustRead = false;
            nextDueMs = nowMs + policy.pollMs();
            see(row, nowMs);
        }
    }

    /** Takes the failure of the read with {@code readTicket}. */
    public void onNotRead(int readTicket, long nowMs) {
        if (end(readTicket)) {
            notBeforeMs = nowMs + policy.retryMs();
        }
    }

    /** Takes the outcome of the write with {@code writeTicket}. */
    public void onWritten(int writeTicket, TransactionOutcome outcome, long nowMs) {
        if (!end(writeTicket)) {
            return;
        }
        if (outcome instanceof TransactionOutcome.Committed c) {
            seen = Row.of(key, c.revision(), written.encode());
            seenAtMs = nowMs;
            adopt(writtenMs);
            return;
        }
        if (outcome instanceof TransactionOutcome.Conflicted c && !c.rows().isEmpty()) {
            notBeforeMs =
                    c.rows().get(0).revision() > seen.revision() ? NEVER : nowMs + policy.retryMs();
            see(c.rows().get(0), nowMs);
            return;
        }
        notBeforeMs = nowMs + policy.retryMs();
        if (!(outcome instanceof TransactionOutcome.NotDone)) {
            // The write may have landed, or may yet. The row tells, by this read or by the check
            // of the next write; whichever write it was, none began before the first unsettled.
            mustRead = true;
            unsettledSinceMs = OptionalLong.of(unsettledSinceMs.orElse(writtenMs));
        }
    }

    private boolean end(int endedTicket) {
        boolean current = underWay && endedTicket == ticket;
        underWay &= !current;
        return current;
    }

    /** A revision seen before tells nothing new: the wait goes on from the first sight of it. */
    private void see(Row row, long nowMs) {
        if (row.revision() <= seen.revision()) {
            return;
        }
        seen = row;
        seenAtMs = nowMs;
        if (row().isHeldBy(self) && unsettledSinceMs.isPresent()) {
            adopt(unsettledSinceMs.getAsLong());
            return;
        }
        // Another holder, or none: writes of ours checked an older revision and can't land now.
        unsettledSinceMs = OptionalLong.empty();
        holdsUntilMs = NEVER;
        nextDueMs = nowMs + policy.pollMs();
    }

    /** Takes the row just seen as this router's own, written by a request begun at that time. */
    private void adopt(long begunMs) {
        unsettledSinceMs = OptionalLong.empty();
        if (!row().isHeldBy(self)) {
            holdsUntilMs = NEVER;
            return;
        }
        ownRevision = seen.revision();
        fencing = row().fencing();
        holdsUntilMs = begunMs + row().durationMs();
        nextDueMs = begunMs + policy.renewMs();
    }

    private LeaseRow row() {
        return seen.isPresent()
                ? LeaseRow.decode(seen.value())
                : new LeaseRow(Optional.empty(), 0, 0);
    }

    private boolean isOwn() {
        return ownRevision == seen.revision();
    }

    private LeaseRow renewed() {
        return LeaseRow.heldBy(self, row().fencing(), policy.durationMs());
    }

    private LeaseRow takenOver() {
        return LeaseRow.heldBy(self, row().fencing() + 1, policy.durationMs());
    }

    private LeaseAction read() {
        ticket++;
        underWay = true;
        return new LeaseAction.Read(ticket, key);
    }

    private LeaseAction write(LeaseRow row, long nowMs) {
        ticket++;
        underWay = true;
        written = row;
        writtenMs = nowMs;
        return new LeaseAction.Write(
                ticket, Transaction.compareAndSet(key, seen.revision(), row.encode()));
    }
}
