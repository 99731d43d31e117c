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
final class ClaimSharing {
    /** All routers rank each other by this key, so that they agree on a writer. */
    private static final String RANKED_BY = "claims";

    private static final int MAX_DOUBLINGS = 3;

    /** A write that a writer has, whether it said so, and until when it is waited for. */
    private record Waiting(BatchItem item, RouterId writer, boolean taken, long untilMs) {
        /** A row without a caller waits at a busy writer; that says nothing against the writer. */
        boolean isLateByLoad() {
            return taken && !item.write().urgent();
        }
    }

    /** A writer that failed, and until when it is left out. */
    private record Avoided(long untilMs, int failures) {}

    private final RouterId self;
    private final SharedWriteLimits limits;
    private final Map<OfferKey, Waiting> waiting = new HashMap<>();
    private final Map<RouterId, Avoided> avoided = new HashMap<>();

    ClaimSharing(RouterId self, SharedWriteLimits limits) {
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
        avoided.keySet().retainAll(serving);
        return serving.stream()
                .filter(r -> !isAvoided(r, nowMs))
                .max(comparingLong(r -> Rendezvous.weight(RANKED_BY, r)))
                .filter(r -> !r.equals(self));
    }

    /** Takes note that {@code item} was sent to {@code writer}. */
    OfferKey offered(BatchItem item, RouterId writer, long nowMs) {
        OfferKey key = OfferKey.of(item);
        waiting.put(key, new Waiting(item, writer, false, nowMs + limits.takeWaitMs()));
        return key;
    }

    /** Takes the writer's word that it queued the write. */
    void taken(OfferKey key, long nowMs) {
        waiting.computeIfPresent(
                key, (k, w) -> new Waiting(w.item, w.writer, true, nowMs + limits.outcomeWaitMs()));
    }

    /**
     * Takes the writer's answer.
     *
     * @param tableOutHere whether this router does not reach the table either, so that the writer
     *     is not to blame
     */
    List<SharingAction> answered(
            OfferKey key, ClaimAnswer answer, boolean tableOutHere, long nowMs) {
        Waiting w = waiting.remove(key);
        if (w == null) {
            return ImmutableList.of();
        }
        boolean reachedTable = true;
        switch (answer.kind()) {
            case COMMITTED, CONFLICTED -> avoided.remove(w.writer);
            case UNKNOWN, NO_TABLE -> reachedTable = false;
            default -> {}
        }
        SharingAction outcome =
                answer.kind() == ClaimAnswer.Kind.NO_TABLE
                        ? new SharingAction.WriteHere(w.item)
                        : tell(w, answer.toEvent(key.ticket(), w.item.write().key()));
        return reachedTable || tableOutHere
                ? ImmutableList.of(outcome)
                : leaving(w.writer, outcome, nowMs);
    }

    /** Takes note that the offer never reached the writer, or was not understood there. */
    List<SharingAction> notSent(OfferKey key, long nowMs) {
        Waiting w = waiting.remove(key);
        if (w == null) {
            return ImmutableList.of();
        }
        return leaving(w.writer, new SharingAction.WriteHere(w.item), nowMs);
    }

    /** Takes note that the link to the writer was lost, with the write in doubt. */
    List<SharingAction> lost(OfferKey key, long nowMs) {
        Waiting w = waiting.remove(key);
        return w == null ? ImmutableList.of() : leaving(w.writer, inDoubt(w), nowMs);
    }

    /**
     * Gives up on {@code key} if its time is over.
     *
     * <p>Failure guarded against: the writer is paused, or its link is silent with no reset. It
     * shows as no word within the bound. The write is then in doubt as after a lost answer of the
     * table, and the claim writes it again with the same nonce.
     */
    List<SharingAction> overdue(OfferKey key, long nowMs) {
        Waiting w = waiting.get(key);
        if (w == null || nowMs < w.untilMs) {
            return ImmutableList.of();
        }
        waiting.remove(key);
        return w.isLateByLoad()
                ? ImmutableList.of(inDoubt(w))
                : leaving(w.writer, inDoubt(w), nowMs);
    }

    boolean isAvoided(RouterId writer, long nowMs) {
        Avoided a = avoided.get(writer);
        return a != null && nowMs < a.untilMs;
    }

    /**
     * Leaves {@code writer} out for a while, and its callers' writes with it.
     *
     * <p>Failure guarded against: a writer whose calls to the table get no answer answers one write
     * after 500 ms and has others in its queue, whose callers would wait for as long again. They
     * are in doubt now; a write too many does no harm.
     */
    private List<SharingAction> leaving(RouterId writer, SharingAction first, long nowMs) {
        avoid(writer, nowMs);
        ImmutableList.Builder<SharingAction> actions = ImmutableList.builder();
        actions.add(first);
        for (Waiting w : ImmutableList.copyOf(waiting.values())) {
            if (w.writer.equals(writer) && w.item.write().urgent()) {
                waiting.remove(OfferKey.of(w.item));
                actions.add(inDoubt(w));
            }
        }
        return actions.build();
    }

    private static SharingAction inDoubt(Waiting w) {
        return tell(w, new ClaimEvent.Unknown(w.item.write().ticket()));
    }

    private static SharingAction tell(Waiting w, ClaimEvent event) {
        return new SharingAction.Tell(new BatchEvent(w.item.claim(), event));
    }

    /** Many writes of one failure count once: only the first finds the writer not left out. */
    private void avoid(RouterId writer, long nowMs) {
        if (isAvoided(writer, nowMs)) {
            return;
        }
        int failures = avoided.containsKey(writer) ? avoided.get(writer).failures : 0;
        long forMs = limits.avoidMs() << Math.min(failures, MAX_DOUBLINGS);
        avoided.put(writer, new Avoided(nowMs + forMs, failures + 1));
    }
}
