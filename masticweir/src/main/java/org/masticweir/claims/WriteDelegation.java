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
 * Decides which router writes a claim's row, and when its claimant stops waiting for that router.
 *
 * <p>The routers of a domain rank each other alike, without a lease, and the first one writes for
 * all. Correctness does not rest on it: each write carries its claimant's nonce and the revision it
 * expects, so two writers at once, a writer that dies and a write that lands late do what a lost
 * answer of the table does, and {@link ClaimStateMachine} settles them in the same way.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
final class WriteDelegation {
    /** All routers rank each other by this key, so that they agree on a writer. */
    private static final String RANKED_BY = "claims";

    private static final int MAX_DOUBLINGS = 3;

    /** A write that a writer has, whether it said so, and until when it is waited for. */
    private record PendingWrite(BatchItem item, RouterId writer, boolean isAccepted, long untilMs) {
        /** A row without a caller waits at a busy writer; that says nothing against the writer. */
        boolean isDelayedByLoad() {
            return isAccepted && !item.write().urgent();
        }
    }

    /** A writer that failed, and until when it is left out. */
    private record ExcludedWriter(long untilMs, int failures) {}

    private final RouterId self;
    private final SharedWriteLimits limits;
    private final Map<ClaimWriteId, PendingWrite> pending = new HashMap<>();
    private final Map<RouterId, ExcludedWriter> excluded = new HashMap<>();

    WriteDelegation(RouterId self, SharedWriteLimits limits) {
        this.self = checkNotNull(self, "self");
        this.limits = checkNotNull(limits, "limits");
    }

    /**
     * Returns the peer that is to write, or empty if this router writes for itself.
     *
     * <p>A repeat that a caller waits for is written here: it follows a doubt, and a second
     * doubtful hop would use up the caller's time.
     *
     * @param serving serving routers of the domain, this one included if it serves
     */
    Optional<RouterId> writerFor(ClaimWrite write, Collection<RouterId> serving, long nowMs) {
        boolean isRepeat = write.urgent() && write.ticket() > 1;
        if (serving.size() <= limits.shareAbove() || isRepeat) {
            return Optional.empty();
        }
        excluded.keySet().retainAll(serving);
        return serving.stream()
                .filter(r -> !isExcluded(r, nowMs))
                .max(comparingLong(r -> Rendezvous.weight(RANKED_BY, r)))
                .filter(r -> !r.equals(self));
    }

    /** Takes note that {@code item} was sent to {@code writer}. */
    ClaimWriteId addPending(BatchItem item, RouterId writer, long nowMs) {
        ClaimWriteId key = ClaimWriteId.of(item);
        pending.put(key, new PendingWrite(item, writer, false, nowMs + limits.acceptWaitMs()));
        return key;
    }

    /** Takes the writer's word that it queued the write. */
    void markAccepted(ClaimWriteId key, long nowMs) {
        pending.computeIfPresent(
                key,
                (k, w) -> new PendingWrite(w.item, w.writer, true, nowMs + limits.outcomeWaitMs()));
    }

    /**
     * Takes the writer's answer.
     *
     * @param isTableOutHere whether this router does not reach the table either, so that the writer
     *     is not to blame
     */
    List<DelegationAction> onResponse(
            ClaimWriteId key, ClaimWriteResponse response, boolean isTableOutHere, long nowMs) {
        PendingWrite w = pending.remove(key);
        if (w == null) {
            return ImmutableList.of();
        }
        boolean hasReachedTable = true;
        switch (response.kind()) {
            case COMMITTED, CONFLICTED -> excluded.remove(w.writer);
            case UNKNOWN, NO_TABLE -> hasReachedTable = false;
            default -> {}
        }
        DelegationAction outcome =
                response.kind() == ClaimWriteResponse.Kind.NO_TABLE
                        ? new DelegationAction.WriteLocally(w.item)
                        : report(w, response.toEvent(key.ticket(), w.item.write().key()));
        return hasReachedTable || isTableOutHere
                ? ImmutableList.of(outcome)
                : excludeWriter(w.writer, outcome, nowMs);
    }

    /** Takes note that the offer never reached the writer, or was not understood there. */
    List<DelegationAction> onNotSent(ClaimWriteId key, long nowMs) {
        PendingWrite w = pending.remove(key);
        if (w == null) {
            return ImmutableList.of();
        }
        return excludeWriter(w.writer, new DelegationAction.WriteLocally(w.item), nowMs);
    }

    /** Takes note that the link to the writer was lost, with the write in doubt. */
    List<DelegationAction> onLinkLost(ClaimWriteId key, long nowMs) {
        PendingWrite w = pending.remove(key);
        return w == null ? ImmutableList.of() : excludeWriter(w.writer, reportUnknown(w), nowMs);
    }

    /**
     * Gives up on {@code key} if its time is over.
     *
     * <p>Failure guarded against: the writer is paused, or its link is silent with no reset. It
     * shows as no word within the bound. The write is then in doubt as after a lost answer of the
     * table, and the claim writes it again with the same nonce.
     */
    List<DelegationAction> expire(ClaimWriteId key, long nowMs) {
        PendingWrite w = pending.get(key);
        if (w == null || nowMs < w.untilMs) {
            return ImmutableList.of();
        }
        pending.remove(key);
        return w.isDelayedByLoad()
                ? ImmutableList.of(reportUnknown(w))
                : excludeWriter(w.writer, reportUnknown(w), nowMs);
    }

    boolean isExcluded(RouterId writer, long nowMs) {
        ExcludedWriter a = excluded.get(writer);
        return a != null && nowMs < a.untilMs;
    }

    /**
     * Leaves {@code writer} out for a while, and its callers' writes with it.
     *
     * <p>Failure guarded against: a writer whose calls to the table get no answer answers one write
     * after 500 ms and has others in its queue, whose callers would wait for as long again. They
     * are in doubt now; a write too many does no harm.
     */
    private List<DelegationAction> excludeWriter(
            RouterId writer, DelegationAction first, long nowMs) {
        exclude(writer, nowMs);
        ImmutableList.Builder<DelegationAction> actions = ImmutableList.builder();
        actions.add(first);
        for (PendingWrite w : ImmutableList.copyOf(pending.values())) {
            if (w.writer.equals(writer) && w.item.write().urgent()) {
                pending.remove(ClaimWriteId.of(w.item));
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

    /** Many writes of one failure count once: only the first finds the writer not left out. */
    private void exclude(RouterId writer, long nowMs) {
        if (isExcluded(writer, nowMs)) {
            return;
        }
        int failures = excluded.containsKey(writer) ? excluded.get(writer).failures : 0;
        long forMs = limits.excludeMs() << Math.min(failures, MAX_DOUBLINGS);
        excluded.put(writer, new ExcludedWriter(nowMs + forMs, failures + 1));
    }
}
