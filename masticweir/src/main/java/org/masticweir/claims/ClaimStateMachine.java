package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;

/**
 * State machine of one submission of a request that must run at most once.
 *
 * <p>{@link #start} returns the first write; each event returns the next actions. At most one of
 * {@code Grant}, {@code ReportAlreadyClaimed} and {@code Refuse} is ever returned, so that a late
 * response can't grant a claim whose caller was refused. Not thread-safe: owned by the control
 * thread.
 */
public final class ClaimStateMachine {
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** State of a claim in this router's memory. */
    private enum Phase {
        /** The insert is in progress and a caller waits. */
        CLAIMING,
        /** The claim is committed and this router may send. */
        PERMITTED,
        /** The released or done row is being written; nothing may be sent. */
        SETTLING,
        /** The claim needs no further action. */
        CLOSED
    }

    private final RowKey key;
    private final ClaimRow claimRow;
    private final ClaimPolicy policy;
    private final long sendBeforeMs;
    private final long deadlineMs;

    private Phase phase = Phase.CLAIMING;
    private ClaimRow targetRow;
    private long revision = Row.ABSENT;
    private int ticket;
    private int writeAttempts;
    private boolean mayHaveCommitted;
    private long settleUntilMs;

    private ClaimStateMachine(
            RowKey key, ClaimRow claimRow, ClaimPolicy policy, long nowMs, long deadlineMs) {
        this.key = checkNotNull(key, "key");
        this.claimRow = checkNotNull(claimRow, "claimRow");
        this.policy = checkNotNull(policy, "policy");
        this.deadlineMs = deadlineMs;
        checkArgument(
                claimRow.status() == ClaimStatus.CLAIMED,
                "claim starts with status %s",
                claimRow.status());
        sendBeforeMs = Math.min(deadlineMs, nowMs + policy.sendWithinMs());
        targetRow = claimRow;
    }

    /** Returns a claim that is not yet written; at {@code deadlineMs} its caller gives up. */
    public static ClaimStateMachine of(
            RowKey key, ClaimRow claimRow, ClaimPolicy policy, long nowMs, long deadlineMs) {
        return new ClaimStateMachine(key, claimRow, policy, nowMs, deadlineMs);
    }

    /** Returns the first write. */
    public List<ClaimAction> start(long nowMs) {
        checkState(ticket == 0, "claim %s started twice", key);
        return ImmutableList.of(nextWrite(nowMs));
    }

    /** Handles one event and returns the next actions in order. */
    public List<ClaimAction> onEvent(ClaimEvent event, long nowMs) {
        checkNotNull(event, "event");
        if (phase == Phase.CLOSED || isStale(event)) {
            return ImmutableList.of();
        }
        if (event instanceof ClaimEvent.Committed e) {
            return onCommitted(e.revision());
        }
        if (event instanceof ClaimEvent.Conflicted e) {
            return onConflicted(e.row(), nowMs);
        }
        if (event instanceof ClaimEvent.NotDone e) {
            return onNotDone(e.retryAfterMs(), nowMs);
        }
        if (event instanceof ClaimEvent.Unknown) {
            return onUnknown(nowMs);
        }
        if (event instanceof ClaimEvent.GiveUp) {
            return phase == Phase.CLAIMING ? giveUp(nowMs) : ImmutableList.of();
        }
        if (event instanceof ClaimEvent.Ended e) {
            return end(claimRow.done(e.verdict(), e.result()), nowMs);
        }
        return end(claimRow.released(), nowMs);
    }

    /**
     * Returns whether {@code event} responds to an earlier write; such an event does not describe
     * the row after the latest write.
     */
    private boolean isStale(ClaimEvent event) {
        if (event instanceof ClaimEvent.Committed e) {
            return e.ticket() != ticket;
        }
        if (event instanceof ClaimEvent.Conflicted e) {
            return e.ticket() != ticket;
        }
        if (event instanceof ClaimEvent.NotDone e) {
            return e.ticket() != ticket;
        }
        return event instanceof ClaimEvent.Unknown e && e.ticket() != ticket;
    }

    private List<ClaimAction> onCommitted(long newRevision) {
        if (phase == Phase.SETTLING) {
            return close();
        }
        return phase == Phase.CLAIMING ? grant(newRevision) : ImmutableList.of();
    }

    private List<ClaimAction> grant(long newRevision) {
        phase = Phase.PERMITTED;
        revision = newRevision;
        return ImmutableList.of(new ClaimAction.Grant(sendBeforeMs));
    }

    private List<ClaimAction> onConflicted(Row row, long nowMs) {
        if (phase == Phase.PERMITTED) {
            return ImmutableList.of();
        }
        if (row.isPresent()) {
            ClaimRow found = ClaimRow.decode(row.value());
            if (found.hasNonce(claimRow.nonce())) {
                return onOwnRow(found, row.revision(), nowMs);
            }
            if (phase == Phase.SETTLING || !found.status().isClaimable()) {
                return onOtherRow(found);
            }
        }
        // The row is absent or was released by another submission: claim it at the revision now
        // known. If a row is present, none of the earlier inserts can be committed any more.
        mayHaveCommitted &= !row.isPresent();
        revision = row.revision();
        return retryOrEnd(nowMs);
    }

    /**
     * Handles the commit of an earlier write whose response was lost. While claiming, the router
     * may now send. While settling, the row is either the target row or a late insert, which is
     * replaced.
     */
    private List<ClaimAction> onOwnRow(ClaimRow found, long rowRevision, long nowMs) {
        if (phase == Phase.CLAIMING) {
            return grant(rowRevision);
        }
        if (found.status() == targetRow.status()) {
            return close();
        }
        revision = rowRevision;
        return retryOrEnd(nowMs);
    }

    private List<ClaimAction> onOtherRow(ClaimRow found) {
        boolean isCallerWaiting = phase == Phase.CLAIMING;
        phase = Phase.CLOSED;
        return isCallerWaiting
                ? ImmutableList.of(
                        new ClaimAction.ReportAlreadyClaimed(found), new ClaimAction.Remove())
                : ImmutableList.of(new ClaimAction.Remove());
    }

    private List<ClaimAction> onNotDone(OptionalLong retryAfterMs, long nowMs) {
        if (phase == Phase.CLAIMING && !mayHaveCommitted) {
            phase = Phase.CLOSED;
            long advice = retryAfterMs.orElse(policy.retryAfterMs());
            return ImmutableList.of(
                    new ClaimAction.Refuse(unavailable().retryAfterMs(advice)),
                    new ClaimAction.Remove());
        }
        return retryOrEnd(nowMs);
    }

    private List<ClaimAction> onUnknown(long nowMs) {
        mayHaveCommitted = true;
        return retryOrEnd(nowMs);
    }

    private List<ClaimAction> retryOrEnd(long nowMs) {
        if (phase == Phase.CLAIMING) {
            boolean isExhausted = writeAttempts >= policy.maxTries() || nowMs >= deadlineMs;
            return isExhausted ? giveUp(nowMs) : ImmutableList.of(nextWrite(nowMs));
        }
        // No caller waits any more. An unchanged row reports MAY_HAVE_RUN to other routers, which
        // is safe.
        return nowMs >= settleUntilMs ? close() : ImmutableList.of(nextWrite(nowMs));
    }

    /**
     * Refuses the caller and prevents a late insert from leaving a claim without an owner.
     *
     * <p>The insert may be committed after this refusal. This claim never permits a send again, so
     * the request does not run; but the row would block later submissions. Therefore a released row
     * is written under the same check: of the insert and the released row, the write that is
     * committed second fails.
     */
    private List<ClaimAction> giveUp(long nowMs) {
        ClaimAction refusal =
                new ClaimAction.Refuse(unavailable().retryAfterMs(policy.retryAfterMs()));
        settle(claimRow.released(), nowMs);
        return ImmutableList.of(refusal, nextWrite(nowMs));
    }

    private List<ClaimAction> end(ClaimRow row, long nowMs) {
        checkState(phase == Phase.PERMITTED, "claim %s ended in phase %s", key, phase);
        settle(row, nowMs);
        return ImmutableList.of(nextWrite(nowMs));
    }

    private void settle(ClaimRow row, long nowMs) {
        phase = Phase.SETTLING;
        settleUntilMs = nowMs + policy.settleForMs();
        targetRow = row;
        writeAttempts = 0;
    }

    private List<ClaimAction> close() {
        phase = Phase.CLOSED;
        return ImmutableList.of(new ClaimAction.Remove());
    }

    private ClaimAction nextWrite(long nowMs) {
        ticket++;
        writeAttempts++;
        boolean isUrgent = phase == Phase.CLAIMING;
        int doublings = Math.min(writeAttempts - 2, MAX_BACKOFF_DOUBLINGS);
        long delayMs = isUrgent || writeAttempts == 1 ? 0 : policy.settleDelayMs() << doublings;
        return new ClaimAction.Write(
                new ClaimWrite(key, ticket, revision, targetRow, nowMs + delayMs, isUrgent));
    }

    private static MasticweirException unavailable() {
        return MasticweirException.notRun(
                ErrorCode.PLATFORM_UNAVAILABLE, "the claim could not be written");
    }
}
