package org.masticweir.feed;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.store.ChangeFeed;
import org.masticweir.store.FeedOutcome;
import org.masticweir.time.Clock;

/** Follows one table for as long as the process runs; confined to the control thread. */
public final class TableFollower {
    private static final Logger LOG = LogManager.getLogger(TableFollower.class);

    private final String table;
    private final ChangeFeed store;
    private final FeedPace pace;
    private final FeedState state;
    private final FeedListener listener;
    private final ScheduledExecutorService control;
    private final Clock clock;

    private TableFollower(
            String table,
            ChangeFeed store,
            FeedPace pace,
            FeedListener listener,
            ScheduledExecutorService control,
            Clock clock) {
        this.table = checkNotNull(table, "table");
        this.store = checkNotNull(store, "store");
        this.pace = checkNotNull(pace, "pace");
        this.listener = checkNotNull(listener, "listener");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        state = new FeedState(pace, new SplittableRandom());
    }

    /** Starts following {@code table}; {@code listener} hears of it on the control thread. */
    public static TableFollower start(
            String table,
            ChangeFeed store,
            FeedPace pace,
            FeedListener listener,
            ScheduledExecutorService control,
            Clock clock) {
        TableFollower follower = new TableFollower(table, store, pace, listener, control, clock);
        control.execute(follower::ask);
        return follower;
    }

    /** Returns how long ago the store last answered, in ms; empty if it never did. */
    public OptionalLong ageMs() {
        return state.ageMs(clock.nowMs());
    }

    private void ask() {
        FeedState.Ask next = state.next();
        if (next instanceof FeedState.Ask.Since since) {
            store.changes(table, since.revision(), pace.waitMs(), pace.timeoutMs())
                    .thenAccept(outcome -> handOver(outcome, false));
        } else {
            store.readAll(table, pace.timeoutMs()).thenAccept(outcome -> handOver(outcome, true));
        }
    }

    private void handOver(FeedOutcome outcome, boolean whole) {
        try {
            control.execute(() -> ended(outcome, whole));
        } catch (RejectedExecutionException e) {
            LOG.debug("feed: {} is no longer followed, the router has stopped", table);
        }
    }

    private void ended(FeedOutcome outcome, boolean whole) {
        long now = clock.nowMs();
        boolean wasAway = state.isAway();
        long pauseMs = state.ended(outcome, now);
        if (outcome instanceof FeedOutcome.Failed failed && !wasAway) {
            LOG.warn("feed: table {} lost, {}", table, failed.reason());
        } else if (wasAway && !state.isAway()) {
            LOG.info("feed: table {} regained", table);
        }
        if (outcome instanceof FeedOutcome.HistoryGone) {
            LOG.info("feed: history of table {} is gone, it is read whole", table);
        }
        // Before the rows are looked at: a row that nobody can take must not end the following.
        control.schedule(this::ask, pauseMs, TimeUnit.MILLISECONDS);
        if (outcome instanceof FeedOutcome.Rows rows) {
            listener.rows(rows, whole, state.removalDueMs(now));
        }
    }
}
