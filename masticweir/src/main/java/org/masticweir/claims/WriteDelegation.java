package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.Comparator.comparingLong;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Rendezvous;

/**
 * Selects the router that writes a claim's row and tracks the writes delegated to it until they
 * have an outcome or time out.
 *
 * <p>All routers of a domain rank each other by rendezvous hashing, without a lease, and the first
 * router in rank writes for all routers. Correctness does not depend on this choice: each write
 * carries its claimant's nonce and expected revision, so two concurrent writers, a writer crash and
 * a late write have the same effects as a lost response of the table, and {@link ClaimStateMachine}
 * handles them in the same way.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
final class WriteDelegation {
    /** Common hash key, so that all routers select the same writer. */
    private static final String RENDEZVOUS_KEY = "claims";

    private static final int MAX_DOUBLINGS = 3;

    /**
     * A delegated write, whether the writer accepted the write, and the time at which the wait
     * expires.
     */
    private record PendingWrite(
            BatchItem item, RouterId writer, boolean isAccepted, long expiresAtMs) {
        /**
         * Returns whether the write is delayed by load: a busy writer postpones rows that no caller
         * waits for. Such a delay does not indicate a failure of the writer.
         */
        boolean isDelayedByLoad() {
            return isAccepted && !item.write().isUrgent();
        }
    }

    /** A writer that failed, and the time until which it is not selected. */
    private record ExcludedWriter(long untilMs, int failures) {}

    private final RouterId self;
    private final SharedWriteLimits limits;
    private final Map<ClaimWriteId, PendingWrite> pendingWrites = new HashMap<>();
    private final Map<RouterId, ExcludedWriter> excludedWriters = new HashMap<>();

    WriteDelegation(RouterId self, SharedWriteLimits limits) {
        this.self = checkNotNull(self, "self");
        this.limits = checkNotNull(limits, "limits");
    }

    /**
     * Returns the peer that writes the row, or empty if this router writes it itself.
     *
     * <p>A retry that a caller waits for is written locally: it follows an unknown outcome, and a
     * second delegation with an unknown outcome would use up the caller's time.
     *
     * @param serving serving routers of the domain, including this router if it serves
     */
    Optional<RouterId> writerFor(ClaimWrite write, Collection<RouterId> serving, long nowMs) {
        boolean isRetry = write.isUrgent() && write.ticket() > 1;
        if (serving.size() <= limits.shareAbove() || isRetry) {
            return Optional.empty();
        }
        excludedWriters.keySet().retainAll(serving);
        return serving.stream()
                .filter(r -> !isExcluded(r, nowMs))
                .max(comparingLong(r -> Rendezvous.weight(RENDEZVOUS_KEY, r)))
                .filter(r -> !r.equals(self));
    }

    /** Records that {@code item} was sent to {@code writer}. */
    ClaimWriteId addPending(BatchItem item, RouterId writer, long nowMs) {
        ClaimWriteId key = ClaimWriteId.of(item);
        pendingWrites.put(
                key, new PendingWrite(item, writer, false, nowMs + limits.acceptWaitMs()));
        return key;
    }

    /** Records that the writer queued the write. */
    void markAccepted(ClaimWriteId key, long nowMs) {
        pendingWrites.computeIfPresent(
                key,
                (k, w) -> new PendingWrite(w.item, w.writer, true, nowMs + limits.outcomeWaitMs()));
    }

    /**
     * Handles the writer's response.
     *
     * @param isTableUnavailable whether this router can't reach the table either, so that the
     *     failure is not attributed to the writer
     */
    List<DelegationAction> onResponse(
            ClaimWriteId key, ClaimWriteResponse response, boolean isTableUnavailable, long nowMs) {
        PendingWrite w = pendingWrites.remove(key);
        if (w == null) {
            return ImmutableList.of();
        }
        boolean hasReachedTable = true;
        switch (response.kind()) {
            case COMMITTED, CONFLICTED -> excludedWriters.remove(w.writer);
            case UNKNOWN, NO_TABLE -> hasReachedTable = false;
            default -> {}
        }
        DelegationAction outcome =
                response.kind() == ClaimWriteResponse.Kind.NO_TABLE
                        ? new DelegationAction.WriteLocally(w.item)
                        : report(w, response.toEvent(key.ticket(), w.item.write().key()));
        return hasReachedTable || isTableUnavailable
                ? ImmutableList.of(outcome)
                : excludeWriter(w.writer, outcome, nowMs);
    }

    /** Handles a write request that did not reach the writer or could not be decoded there. */
    List<DelegationAction> onNotSent(ClaimWriteId key, long nowMs) {
        PendingWrite w = pendingWrites.remove(key);
        if (w == null) {
            return ImmutableList.of();
        }
        return excludeWriter(w.writer, new DelegationAction.WriteLocally(w.item), nowMs);
    }

    /** Handles the loss of the link to the writer; the outcome of the write is unknown. */
    List<DelegationAction> onLinkLost(ClaimWriteId key, long nowMs) {
        PendingWrite w = pendingWrites.remove(key);
        return w == null ? ImmutableList.of() : excludeWriter(w.writer, reportUnknown(w), nowMs);
    }

    /**
     * Stops waiting for {@code key} if it has timed out.
     *
     * <p>Detects a writer that is paused, or whose link is silent without a reset, by a missing
     * response within the bound. The outcome of the write is then unknown, as after a lost response
     * of the table, and the claim writes it again with the same nonce.
     */
    List<DelegationAction> expire(ClaimWriteId key, long nowMs) {
        PendingWrite w = pendingWrites.get(key);
        if (w == null || nowMs < w.expiresAtMs) {
            return ImmutableList.of();
        }
        pendingWrites.remove(key);
        return w.isDelayedByLoad()
                ? ImmutableList.of(reportUnknown(w))
                : excludeWriter(w.writer, reportUnknown(w), nowMs);
    }

    boolean isExcluded(RouterId writer, long nowMs) {
        ExcludedWriter a = excludedWriters.get(writer);
        return a != null && nowMs < a.untilMs;
    }

    /**
     * Stops selecting {@code writer} for a time and reports an unknown outcome to all pending
     * writes there that callers wait for.
     *
     * <p>Without this, if the writer's calls to the table get no response, the writer responds to
     * the first write after 500 ms, and the callers of the writes in its queue would wait for
     * another 500 ms. A redundant write does no harm.
     */
    private List<DelegationAction> excludeWriter(
            RouterId writer, DelegationAction first, long nowMs) {
        exclude(writer, nowMs);
        ImmutableList.Builder<DelegationAction> actions = ImmutableList.builder();
        actions.add(first);
        for (PendingWrite w : ImmutableList.copyOf(pendingWrites.values())) {
            if (w.writer.equals(writer) && w.item.write().isUrgent()) {
                pendingWrites.remove(ClaimWriteId.of(w.item));
                actions.add(reportUnknown(w));
            }
        }
        return actions.build();
    }

    private static DelegationAction reportUnknown(PendingWrite w) {
        return report(w, new ClaimEvent.Unknown(w.item.write().ticket()));
    }

    private static DelegationAction report(PendingWrite w, ClaimEvent event) {
        return new DelegationAction.Report(new BatchEvent(w.item.claim(), event));
    }

    /**
     * Excludes {@code writer}; all failed writes of one failure count once, since the first failed
     * write excludes the writer.
     */
    private void exclude(RouterId writer, long nowMs) {
        if (isExcluded(writer, nowMs)) {
            return;
        }
        int failures =
                excludedWriters.containsKey(writer) ? excludedWriters.get(writer).failures : 0;
        long forMs = limits.excludeMs() << Math.min(failures, MAX_DOUBLINGS);
        excludedWriters.put(writer, new ExcludedWriter(nowMs + forMs, failures + 1));
    }
}
