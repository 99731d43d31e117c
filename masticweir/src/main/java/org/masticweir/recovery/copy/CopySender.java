package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.id.RouterId;

/**
 * Keeps the copy of one owned request at its holder and decides what may be released.
 *
 * <p>Feed it what happened with {@link #on}; it returns what to do. At most one command is on its
 * way; the tokens that come meanwhile go together in the next. Not thread-safe: owned by the thread
 * of its request.
 */
public final class CopySender {
    private final CopyPlan plan;
    private final TokenSource source;
    private final GenerationCopy head;
    private final long acceptedAtMs;
    private final HolderChoice holders;
    private final List<CopyAction> out = new ArrayList<>();

    private GenerationSpec generation;
    private Optional<Placement> placement;
    private Optional<AnswerEnd> end = Optional.empty();
    private Optional<SentCommand> inFlight = Optional.empty();
    private long lastNumber;
    private int accepted;
    private int acked;
    private int released;
    private boolean opening;
    private boolean started;
    private boolean holderHasCopy;
    private boolean placementAcked;
    private boolean endAcked;
    private boolean endReleased;
    private long endReleasedAtMs;
    private boolean unprotected;
    private boolean done;
    private Optional<Long> noHolderSinceMs = Optional.empty();
    private long wakeAtMs = Long.MAX_VALUE;

    private CopySender(
            CopyPlan plan,
            GenerationCopy head,
            TokenSource source,
            HolderRanking ranking,
            boolean opening,
            long nowMs) {
        this.plan = checkNotNull(plan, "plan");
        this.head = checkNotNull(head, "head");
        this.source = checkNotNull(source, "source");
        this.opening = opening;
        RouterId self = head.epoch().owner();
        holders = new HolderChoice(ranking, head.request(), self, plan.candidates());
        acceptedAtMs = nowMs - head.ageMs();
        generation = head.generation();
        placement = head.placement();
        accepted = head.tokens().length();
    }

    /** Returns the sender of a new request, which {@code Start} or {@code Join} decides on. */
    public static CopySender opening(
            CopyPlan plan,
            GenerationCopy fresh,
            TokenSource source,
            HolderRanking ranking,
            long nowMs) {
        return new CopySender(plan, fresh, source, ranking, true, nowMs);
    }

    /**
     * Returns the sender of a request taken over.
     *
     * @param copy as the take-over found it, under the new owner's epoch; its tokens must be in
     *     {@code source} and none of them released yet
     */
    public static CopySender takenOver(
            CopyPlan plan,
            GenerationCopy copy,
            TokenSource source,
            HolderRanking ranking,
            long nowMs) {
        CopySender sender = new CopySender(plan, copy, source, ranking, false, nowMs);
        sender.end = copy.end();
        return sender;
    }

    /** Returns the first actions. */
    public ImmutableList<CopyAction> start(long nowMs) {
        if (!opening || !plan.reliability().copiesPlacement()) {
            begin();
        }
        return advance(nowMs);
    }

    /** Takes one event and returns what to do about it. */
    public ImmutableList<CopyAction> on(CopyEvent event, long nowMs) {
        checkNotNull(event, "event");
        if (done) {
            return ImmutableList.of();
        }
        if (event instanceof CopyEvent.Accepted more) {
            accepted = Math.max(accepted, more.count());
        } else if (event instanceof CopyEvent.Answered answered) {
            onAnswered(answered, nowMs);
        } else if (event instanceof CopyEvent.Placed placed) {
            placement = Optional.of(placed.placement());
            placementAcked = false;
        } else if (event instanceof CopyEvent.NewGeneration next) {
            onNewGeneration(next.generation());
        } else if (event instanceof CopyEvent.Ended ended) {
            end = end.or(() -> Optional.of(ended.end()));
        } else if (event instanceof CopyEvent.HolderLost lost) {
            onHolderLost(lost.holder());
        } else {
            onTick(nowMs);
        }
        return advance(nowMs);
    }

    /** Tells whether tokens are released without a copy. */
    public boolean unprotected() {
        return unprotected;
    }

    public CopyEpoch epoch() {
        return head.epoch();
    }

    private void begin() {
        started = true;
        opening = false;
        out.add(new CopyAction.Start());
    }

    private void onNewGeneration(GenerationSpec next) {
        generation = next;
        placement = Optional.empty();
        accepted = 0;
        acked = 0;
        released = 0;
        holderHasCopy = false;
    }

    private void onAnswered(CopyEvent.Answered answered, long nowMs) {
        HolderAnswer answer = answered.answer();
        if (answer instanceof HolderAnswer.StaleEpoch stale) {
            onStale(stale.current());
            return;
        }
        Optional<SentCommand> sent = inFlight.filter(s -> s.isAnsweredBy(answered));
        if (sent.isEmpty()) {
            // Late or repeated: the command was sent again, or went to another holder since.
            return;
        }
        inFlight = Optional.empty();
        if (answer instanceof HolderAnswer.Acked ack) {
            onAcked(sent.get(), ack);
        } else if (answer instanceof HolderAnswer.Granted) {
            begin();
            holderAnswered();
            holderHasCopy = true;
        } else if (answer instanceof HolderAnswer.HeldByOther other) {
            done = true;
            out.add(new CopyAction.Join(other.epoch()));
        } else if (answer instanceof HolderAnswer.Missing) {
            // The holder was replaced or gave the copy up: it gets the whole of it again.
            holderHasCopy = false;
        } else {
            dropHolder();
        }
    }

    private void onStale(CopyEpoch current) {
        if (endReleased) {
            // A router that ended the request while cut off hears of the take-over afterwards. Its
            // callers have the end already, which must not be followed by another.
            done = true;
            return;
        }
        // A router that was paused past its peers' patience shows as one whose epoch was replaced.
        // What it has not released yet may differ from what the new owner releases.
        if (head.epoch().isBelow(current)) {
            done = true;
            out.add(new CopyAction.Fenced(current));
        }
    }

    private void onAcked(SentCommand sent, HolderAnswer.Acked ack) {
        holderAnswered();
        if (ack.generation() != generation.id().number()) {
            return;
        }
        holderHasCopy = true;
        acked = Math.max(acked, Math.min(ack.upTo(), accepted));
        placementAcked |= sent.placement().equals(placement);
        endAcked |= sent.end().isPresent();
    }

    private void holderAnswered() {
        noHolderSinceMs = Optional.empty();
        holders.forgive();
        if (unprotected) {
            unprotected = false;
            out.add(new CopyAction.Unprotected(false));
        }
    }

    private void onHolderLost(RouterId holder) {
        if (holders.is(holder)) {
            dropHolder();
        }
    }

    private void dropHolder() {
        holders.drop();
        inFlight = Optional.empty();
        holderHasCopy = false;
        endAcked = false;
    }

    private void onTick(long nowMs) {
        if (endReleased && nowMs - endReleasedAtMs >= plan.endOfferMs()) {
            // A router cut off from all holders shows as one whose ends are never acknowledged.
            // Without this they would pile up, and all be sent at once when the links are back.
            done = true;
            return;
        }
        boolean selfPaused = wakeAtMs != Long.MAX_VALUE && nowMs - wakeAtMs > plan.ackBoundMs();
        if (selfPaused) {
            // A pause of this process shows as a tick long after its time. The holder's answer may
            // wait unread, so its silence proves nothing: both bounds start anew, and the holder
            // that may have been told of a take-over is asked before any other.
            inFlight = inFlight.map(s -> s.at(nowMs));
            noHolderSinceMs = noHolderSinceMs.map(since -> nowMs);
        } else if (inFlight.filter(s -> nowMs - s.atMs() >= plan.ackBoundMs()).isPresent()) {
            // A holder that died without closing its link shows only as silence.
            dropHolder();
        } else if (noHolderSinceMs.isPresent() && inFlight.isEmpty()) {
            holders.forgive();
        }
        wakeAtMs = Long.MAX_VALUE;
    }

    private ImmutableList<CopyAction> advance(long nowMs) {
        if (!done && plan.reliability().copiesPlacement()) {
            sendNext(nowMs);
        }
        if (!done) {
            release(nowMs);
        }
        if (!done && plan.reliability().copiesPlacement()) {
            scheduleWakeUp(nowMs);
        }
        ImmutableList<CopyAction> actions = ImmutableList.copyOf(out);
        out.clear();
        return actions;
    }

    private void sendNext(long nowMs) {
        if (inFlight.isPresent() || !behind()) {
            return;
        }
        Optional<RouterId> holder = holders.holder();
        if (holder.isEmpty()) {
            withoutHolder(nowMs);
            return;
        }
        CopyCommand command = command(nowMs);
        lastNumber++;
        inFlight = Optional.of(new SentCommand(holder.get(), lastNumber, placement, end, nowMs));
        out.add(new CopyAction.SendToHolder(holder.get(), lastNumber, command));
        if (!holderHasCopy && noHolderSinceMs.isEmpty()) {
            noHolderSinceMs = Optional.of(nowMs);
        }
        goOnAloneIfDue(nowMs);
    }

    private void withoutHolder(long nowMs) {
        if (noHolderSinceMs.isEmpty()) {
            noHolderSinceMs = Optional.of(nowMs);
        }
        goOnAloneIfDue(nowMs);
    }

    /**
     * Stops waiting for a holder after the bound.
     *
     * <p>A router cut off from all its peers shows as one without any holder. It cannot be told of
     * a take-over either, but its callers are on its side of the cut; waiting would fail them all.
     */
    private void goOnAloneIfDue(long nowMs) {
        if (unprotected || noHolderSinceMs.isEmpty()) {
            // A holder has the copy: whether other routers are known, which takes a ranking of all
            // of them to tell, is not asked for each append.
            return;
        }
        if (nowMs - noHolderSinceMs.get() < plan.noHolderBoundMs() && !holders.alone()) {
            return;
        }
        unprotected = true;
        out.add(new CopyAction.Unprotected(true));
        if (!started) {
            inFlight = Optional.empty();
            holderHasCopy = false;
            begin();
        }
    }

    private boolean behind() {
        boolean tokens = plan.reliability().copiesTokens() && acked < accepted;
        return !holderHasCopy || tokens || placementBehind() || end.isPresent() && !endAcked;
    }

    private boolean placementBehind() {
        return placement.isPresent() && !placementAcked;
    }

    private CopyCommand command(long nowMs) {
        if (opening) {
            return new CopyCommand.Open(head);
        }
        if (!holderHasCopy) {
            return new CopyCommand.Replace(whole(nowMs));
        }
        return new CopyCommand.Append(
                head.request(),
                head.epoch(),
                generation.id().number(),
                acked,
                copied(acked),
                placement.filter(p -> !placementAcked),
                end);
    }

    private GenerationCopy whole(long nowMs) {
        return new GenerationCopy(
                head.epoch(),
                head.spec(),
                generation,
                placement,
                copied(0),
                end,
                Math.max(0, nowMs - acceptedAtMs));
    }

    private ImmutableIntArray copied(int from) {
        return plan.reliability().copiesTokens()
                ? source.accepted(from, accepted)
                : ImmutableIntArray.of();
    }

    private void release(long nowMs) {
        boolean waits = plan.reliability().copiesTokens() && !unprotected;
        int limit = waits ? acked : accepted;
        if (started && limit > released) {
            released = limit;
            out.add(new CopyAction.ReleaseTo(generation.id().number(), released));
        }
        if (end.isPresent() && released == accepted && (endAcked || !waits) && !endReleased) {
            endReleased = true;
            endReleasedAtMs = nowMs;
            out.add(new CopyAction.ReleaseEnd(end.get()));
        }
    }

    private void scheduleWakeUp(long nowMs) {
        long next = Long.MAX_VALUE;
        if (inFlight.isPresent()) {
            next = inFlight.get().atMs() + plan.ackBoundMs();
        } else if (noHolderSinceMs.isPresent() && behind()) {
            // Tokens that come meanwhile must not put the next try off.
            next = wakeAtMs > nowMs ? Math.min(wakeAtMs, nowMs + plan.retryMs()) : nowMs;
        }
        if (next != wakeAtMs && next != Long.MAX_VALUE) {
            out.add(new CopyAction.WakeAt(next));
        }
        wakeAtMs = next;
    }
}
