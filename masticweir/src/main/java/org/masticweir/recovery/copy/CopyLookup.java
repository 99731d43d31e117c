package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticweir.id.RouterId;

/**
 * Finds who owns a request that this router does not, and takes it over from a dead owner.
 *
 * <p>The owner is asked before any take-over; only one that is silent or unreachable is replaced.
 * Feed it what happened with {@link #on}; it returns what to do. Not thread-safe: owned by one
 * thread.
 */
public final class CopyLookup {
    private enum Phase {
        FINDING,
        SUBSCRIBING,
        TAKING_OVER,
        FENCING,
        DONE
    }

    private final LookupLimits limits;
    private final RouterId self;
    private final ImmutableList<RouterId> candidates;
    private final List<LookupAction> out = new ArrayList<>();
    private final Set<RouterId> unanswered;
    private final Map<RouterId, CopySummary> known = new HashMap<>();
    private final Set<RouterId> deadOwners = new HashSet<>();
    private final Set<RouterId> spentHolders = new HashSet<>();
    private final Set<RouterId> unfenced = new HashSet<>();

    private Phase phase = Phase.FINDING;
    private boolean allAnswered = true;
    private long dueAtMs;
    private int ownersFollowed;
    private Optional<CopyEpoch> asked = Optional.empty();
    private Optional<RouterId> holder = Optional.empty();
    private Optional<GenerationCopy> taken = Optional.empty();

    private CopyLookup(LookupLimits limits, RouterId self, List<RouterId> candidates) {
        this.limits = checkNotNull(limits, "limits");
        this.self = checkNotNull(self, "self");
        this.candidates = ImmutableList.copyOf(candidates);
        unanswered = new LinkedHashSet<>(this.candidates);
    }

    /**
     * Returns the lookup of one request.
     *
     * @param self the asking router, which becomes the owner if it takes over
     * @param candidates the routers that may hold the copy, {@code self} among them if it may
     */
    public static CopyLookup of(LookupLimits limits, RouterId self, List<RouterId> candidates) {
        return new CopyLookup(limits, self, candidates);
    }

    /** Returns the first actions. */
    public ImmutableList<LookupAction> start(long nowMs) {
        candidates.forEach(c -> out.add(new LookupAction.Find(c)));
        wakeAt(nowMs + limits.findBoundMs());
        decideIfAllAnswered(nowMs);
        return drain();
    }

    /** Takes one event and returns what to do about it. */
    public ImmutableList<LookupAction> on(LookupEvent event, long nowMs) {
        checkNotNull(event, "event");
        if (phase == Phase.DONE) {
            return ImmutableList.of();
        }
        if (event instanceof LookupEvent.FindAnswered found) {
            onFound(found, nowMs);
        } else if (event instanceof LookupEvent.FindFailed failed) {
            allAnswered &= !unanswered.remove(failed.from());
            decideIfAllAnswered(nowMs);
        } else if (event instanceof LookupEvent.Subscribed subscribed) {
            onSubscribed(subscribed);
        } else if (event instanceof LookupEvent.SubscribeFailed failed) {
            onSubscribeFailed(failed.owner(), nowMs);
        } else if (event instanceof LookupEvent.HolderAnswered answered) {
            onHolder(answered.from(), answered.answer(), nowMs);
        } else if (event instanceof LookupEvent.HolderFailed failed) {
            onHolderFailed(failed.from(), nowMs);
        } else if (nowMs >= dueAtMs) {
            onBound(nowMs);
        } else {
            wakeAt(dueAtMs);
        }
        return drain();
    }

    public boolean done() {
        return phase == Phase.DONE;
    }

    private void onFound(LookupEvent.FindAnswered found, long nowMs) {
        if (!unanswered.remove(found.from())) {
            return;
        }
        found.summary().ifPresent(s -> known.put(found.from(), s));
        if (phase != Phase.FINDING) {
            return;
        }
        // The first owner named is asked at once; the other answers matter only if it is dead.
        if (found.summary().isPresent() && follow(found.summary().get().epoch(), nowMs)) {
            return;
        }
        decideIfAllAnswered(nowMs);
    }

    private void decideIfAllAnswered(long nowMs) {
        if (phase == Phase.FINDING && unanswered.isEmpty()) {
            decide(nowMs);
        }
    }

    /** Asks the owner named to stream, unless it is this router or was found dead. */
    private boolean follow(CopyEpoch epoch, long nowMs) {
        boolean usable = !epoch.owner().equals(self) && !deadOwners.contains(epoch.owner());
        if (!usable || ownersFollowed >= limits.maxOwners()) {
            return false;
        }
        ownersFollowed++;
        phase = Phase.SUBSCRIBING;
        asked = Optional.of(epoch);
        out.add(new LookupAction.Subscribe(epoch));
        wakeAt(nowMs + limits.subscribeBoundMs());
        return true;
    }

    private void onSubscribed(LookupEvent.Subscribed s) {
        if (phase == Phase.SUBSCRIBING && isAsked(s.owner())) {
            phase = Phase.DONE;
            out.add(new LookupAction.Following(s.owner(), s.spec(), s.generation()));
        }
    }

    private void onSubscribeFailed(RouterId owner, long nowMs) {
        if (phase == Phase.SUBSCRIBING && isAsked(owner)) {
            deadOwners.add(owner);
            decide(nowMs);
        }
    }

    private boolean isAsked(RouterId owner) {
        return asked.filter(e -> e.owner().equals(owner)).isPresent();
    }

    private void onBound(long nowMs) {
        if (phase == Phase.FINDING) {
            allAnswered &= unanswered.isEmpty();
            decide(nowMs);
        } else if (phase == Phase.SUBSCRIBING) {
            // An owner that was killed without its machine, or is paused, shows only as silence.
            onSubscribeFailed(asked.orElseThrow().owner(), nowMs);
        } else if (phase == Phase.TAKING_OVER) {
            onHolderFailed(holder.orElseThrow(), nowMs);
        } else {
            finishTakeOver();
        }
    }

    /** Goes on from the best that is known: a live owner, else a copy to take over. */
    private void decide(long nowMs) {
        for (CopySummary s : known.values()) {
            if (follow(s.epoch(), nowMs)) {
                return;
            }
        }
        Optional<RouterId> best = bestHolder();
        if (best.isEmpty()) {
            phase = Phase.DONE;
            out.add(new LookupAction.NotFound(allAnswered && unanswered.isEmpty()));
            return;
        }
        phase = Phase.TAKING_OVER;
        holder = best;
        out.add(new LookupAction.TakeOver(best.get(), known.get(best.get()).epoch()));
        wakeAt(nowMs + limits.takeOverBoundMs());
    }

    private Optional<RouterId> bestHolder() {
        Optional<RouterId> best = Optional.empty();
        for (RouterId c : candidates) {
            CopySummary s = known.get(c);
            if (s == null || !s.held() || spentHolders.contains(c)) {
                continue;
            }
            if (best.isEmpty() || s.isBetterThan(known.get(best.get()))) {
                best = Optional.of(c);
            }
        }
        return best;
    }

    private void onHolder(RouterId from, HolderAnswer answer, long nowMs) {
        if (phase == Phase.TAKING_OVER && holder.filter(from::equals).isPresent()) {
            onTakeOver(from, answer, nowMs);
        } else if (phase == Phase.FENCING && unfenced.remove(from)) {
            onFence(answer, nowMs);
        }
    }

    private void onTakeOver(RouterId from, HolderAnswer answer, long nowMs) {
        if (answer instanceof HolderAnswer.Moved moved && moved.copy().isPresent()) {
            taken = moved.copy();
            fenceOthers(from, moved.epoch(), nowMs);
        } else if (answer instanceof HolderAnswer.HeldByOther other) {
            replacedBy(from, other.epoch(), nowMs);
        } else {
            spentHolders.add(from);
            decide(nowMs);
        }
    }

    /** Another router took the request over first: its stream is as good as one from here. */
    private void replacedBy(RouterId from, CopyEpoch epoch, long nowMs) {
        known.computeIfPresent(
                from,
                (r, s) -> new CopySummary(epoch, s.held(), s.generation(), s.tokens(), s.ended()));
        if (!follow(epoch, nowMs)) {
            if (ownersFollowed >= limits.maxOwners()) {
                spentHolders.add(from);
            }
            decide(nowMs);
        }
    }

    private void onHolderFailed(RouterId from, long nowMs) {
        if (phase == Phase.TAKING_OVER && holder.filter(from::equals).isPresent()) {
            spentHolders.add(from);
            allAnswered = false;
            decide(nowMs);
        } else if (phase == Phase.FENCING && unfenced.remove(from) && unfenced.isEmpty()) {
            finishTakeOver();
        }
    }

    /**
     * Tells all other candidates of the new epoch before anything is released under it.
     *
     * <p>An owner that lost its first holder has moved its copy to another, which may hold more;
     * and a paused one may be about to. Each answer brings what that candidate holds.
     */
    private void fenceOthers(RouterId from, CopyEpoch epoch, long nowMs) {
        phase = Phase.FENCING;
        for (RouterId c : candidates) {
            if (!c.equals(from) && !deadOwners.contains(c)) {
                unfenced.add(c);
                out.add(new LookupAction.Fence(c, epoch));
            }
        }
        wakeAt(nowMs + limits.takeOverBoundMs());
        if (unfenced.isEmpty()) {
            finishTakeOver();
        }
    }

    private void onFence(HolderAnswer answer, long nowMs) {
        if (answer instanceof HolderAnswer.StaleEpoch stale && follow(stale.current(), nowMs)) {
            return;
        }
        if (answer instanceof HolderAnswer.Moved moved) {
            moved.copy().filter(c -> c.isAheadOf(taken.orElseThrow())).ifPresent(this::takeAhead);
        }
        if (unfenced.isEmpty()) {
            finishTakeOver();
        }
    }

    private void takeAhead(GenerationCopy copy) {
        taken = Optional.of(copy.withEpoch(taken.orElseThrow().epoch()));
    }

    private void finishTakeOver() {
        phase = Phase.DONE;
        out.add(new LookupAction.TakenOver(taken.orElseThrow()));
    }

    private void wakeAt(long atMs) {
        dueAtMs = atMs;
        out.add(new LookupAction.WakeAt(atMs));
    }

    private ImmutableList<LookupAction> drain() {
        ImmutableList<LookupAction> actions = ImmutableList.copyOf(out);
        out.clear();
        return actions;
    }
}
