package org.masticweir.feed;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.store.ChangeFeed;
import org.masticweir.store.FeedOutcome;
import org.masticweir.time.Clock;

/**
 * Follows one table for as long as the process runs, while it is this router's part to read it;
 * confined to the control thread.
 */
public final class TableFollower {
    private static final Logger LOG = LogManager.getLogger(TableFollower.class);

    private final String table;
    private final ChangeFeed store;
    private final FeedState state;
    private final FeedListener listener;
    private final Supplier<ReadingRole> role;
    private final ScheduledExecutorService control;
    private final Clock clock;
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
    public void told(long revision, boolean storeWasLost) {
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
        FeedState.Ask next = state.next(currentRole, clock.nowMs());
        if (next instanceof FeedState.Ask.Since since) {
            store.changes(table, since.revision(), since.waitMs(), since.timeoutMs())
                    .thenAccept(outcome -> handOver(outcome, OptionalLong.of(since.revision())));
        } else if (next instanceof FeedState.Ask.All all) {
            store.readAll(table, all.timeoutMs())
                    .thenAccept(outcome -> handOver(outcome, OptionalLong.empty()));
        }
    }

    private void handOver(FeedOutcome outcome, OptionalLong since) {
        ControlThread.execute(control, () -> ended(outcome, since), "feed");
    }

    private void ended(FeedOutcome outcome, OptionalLong since) {
        long now = clock.nowMs();
        boolean wasAway = state.isAway();
        long asOfMs = outcome instanceof FeedOutcome.Rows rows ? state.asOfMs(rows, now) : now;
        long pauseMs = state.ended(outcome, role.get(), now);
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
            listener.rows(rows, since, state.removalDueMs(now), asOfMs);
        }
    }
}
