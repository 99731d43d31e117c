package org.masticweir.feed;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.store.ChangeFeed;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.Revision;
import org.masticweir.time.Clock;

/**
 * Follows one table for as long as the process runs, while it is this router's part to read it;
 * confined to the control thread.
 *
 * <p>An overdue call is not given up: its answer may hold the change that is waited for, and the
 * next call takes the store's latency once more. The next call is made beside it.
 */
public final class TableFollower {
    private static final Logger LOG = LogManager.getLogger(TableFollower.class);

    /** How long the answer to an overdue call is still taken, in ms. */
    private static final long LATE_ANSWER_MS = 4_000;

    private final String table;
    private final ChangeFeed store;
    private final FeedState state;
    private final FeedListener listener;
    private final Supplier<ReadingRole> role;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private Optional<Call> current = Optional.empty();
    private Optional<Call> overdue = Optional.empty();
    private boolean following;

    /**
     * Creates a follower that begins with the first {@link #resume}.
     *
     * @param role this router's part in reading, asked before each call
     */
    public TableFollower(
            String table,
            ChangeFeed store,
            FeedPace pace,
            FeedListener listener,
            Supplier<ReadingRole> role,
            ScheduledExecutorService control,
            Clock clock) {
        this.table = checkNotNull(table, "table");
        this.store = checkNotNull(store, "store");
        this.listener = checkNotNull(listener, "listener");
        this.role = checkNotNull(role, "role");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        state = new FeedState(pace, new SplittableRandom());
    }

    /** Begins to read, from what was last heard, unless it does already. */
    public void resume() {
        if (!following) {
            following = true;
            ask();
        }
    }

    /**
     * Takes note that all of the table up to {@code revision} is known from others; while this
     * router reads itself, what it has read counts.
     */
    public void told(Revision revision, boolean storeWasLost) {
        if (!following) {
            state.told(revision, storeWasLost, clock.nowMs());
        }
    }

    /** Returns how long ago the store last answered, in ms; empty if it never did. */
    public OptionalLong ageMs() {
        return state.ageMs(clock.nowMs());
    }

    /** Returns what this router may tell of the store by this table. */
    public StoreContact contact() {
        if (!following) {
            return StoreContact.NOT_READING;
        }
        OptionalLong ageMs = ageMs();
        if (ageMs.isEmpty()) {
            return state.isAway() ? StoreContact.LOST : StoreContact.NOT_READING;
        }
        boolean inTime = ageMs.getAsLong() <= state.awayMs() && !state.isAway();
        return inTime ? StoreContact.HEARD : StoreContact.LOST;
    }

    private void ask() {
        ReadingRole currentRole = role.get();
        if (!currentRole.reads()) {
            following = false;
            return;
        }
        Call call = new Call(state.next(currentRole, clock.nowMs()), clock.nowMs());
        current = Optional.of(call);
        start(call.ask).thenAccept(outcome -> handOver(call, outcome));
        ControlThread.executeAfter(control, () -> overdue(call), call.ask.timeoutMs(), "feed");
    }

    private CompletableFuture<FeedOutcome> start(FeedState.Ask ask) {
        long timeoutMs = ask.timeoutMs() + LATE_ANSWER_MS;
        return ask.since().isPresent()
                ? store.changes(table, ask.since().get(), ask.waitMs(), timeoutMs)
                : store.readAll(table, timeoutMs);
    }

    private void handOver(Call call, FeedOutcome outcome) {
        ControlThread.execute(control, () -> ended(call, outcome), "feed");
    }

    private void ended(Call call, FeedOutcome outcome) {
        if (current.equals(Optional.of(call))) {
            current = Optional.empty();
            endedInTime(call, outcome);
        } else if (overdue.equals(Optional.of(call))) {
            overdue = Optional.empty();
            endedLate(call, outcome);
        } else {
            LOG.debug("feed: table {}: answer to a call given up before", table);
        }
    }

    /** Returns an outcome as it counts in the newest era of the store, which it may begin. */
    private FeedOutcome inEra(Call call, FeedOutcome answered) {
        long previous = state.era();
        FeedOutcome outcome = state.inEra(call.ask, answered, clock.nowMs());
        if (state.era() != previous) {
            LOG.warn(
                    "feed: table {}: the store is in era {} after {}, answer after {} ms to a call"
                            + " since {}; the table is read whole",
                    table,
                    state.era(),
                    previous,
                    clock.nowMs() - call.startMs,
                    call.ask.since().map(Revision::toString).orElse("none"));
        }
        return outcome;
    }

    private void endedInTime(Call call, FeedOutcome answered) {
        long now = clock.nowMs();
        boolean wasAway = state.isAway();
        FeedOutcome outcome = inEra(call, answered);
        long pauseMs = state.ended(outcome, role.get(), now);
        if (outcome instanceof FeedOutcome.Failed failed && !wasAway) {
            LOG.warn("feed: table {} lost, {}", table, failed.reason());
        } else if (wasAway && !state.isAway()) {
            LOG.info("feed: table {} regained", table);
        }
        if (answered instanceof FeedOutcome.HistoryGone) {
            LOG.info("feed: history of table {} is gone, it is read whole", table);
        }
        // Before the rows are looked at: a row that nobody can take must not end the following.
        control.schedule(this::ask, pauseMs, TimeUnit.MILLISECONDS);
        handOverRows(call, outcome, now);
    }

    /** Begins the next call; the answer to this one counts if it comes before the next but one. */
    private void overdue(Call call) {
        if (!current.equals(Optional.of(call))) {
            return;
        }
        current = Optional.empty();
        overdue = Optional.of(call);
        long allowedMs = call.ask.timeoutMs();
        String reason = "no answer in " + allowedMs + " ms, it is awaited beside the next call";
        LOG.warn("feed: table {} lost, {}", table, reason);
        long pauseMs = state.ended(new FeedOutcome.Failed(reason), role.get(), clock.nowMs());
        control.schedule(this::ask, pauseMs, TimeUnit.MILLISECONDS);
    }

    private void endedLate(Call call, FeedOutcome answered) {
        long now = clock.nowMs();
        FeedOutcome outcome = inEra(call, answered);
        if (!(outcome instanceof FeedOutcome.Rows rows)) {
            LOG.debug("feed: table {}: overdue call ended without rows, {}", table, outcome);
            return;
        }
        state.endedLate(call.ask, rows, call.startMs, now);
        LOG.info(
                "feed: table {} regained, answer after {} ms, {} ms were allowed",
                table,
                now - call.startMs,
                call.ask.timeoutMs());
        handOverRows(call, outcome, now);
    }

    private void handOverRows(Call call, FeedOutcome outcome, long nowMs) {
        if (outcome instanceof FeedOutcome.Rows rows) {
            long asOfMs = call.ask.asOfMs(rows, call.startMs, nowMs);
            listener.rows(rows, call.ask.since(), state.removalDueMs(nowMs), asOfMs);
        }
    }

    /** A call under way; two calls are never equal. */
    private static final class Call {
        private final FeedState.Ask ask;
        private final long startMs;

        Call(FeedState.Ask ask, long startMs) {
            this.ask = ask;
            this.startMs = startMs;
        }
    }
}
