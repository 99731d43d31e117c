package org.masticweir.relay;

import java.util.concurrent.ScheduledExecutorService;
import org.masticweir.feed.FeedListener;
import org.masticweir.feed.FeedPace;
import org.masticweir.feed.TableFollower;
import org.masticweir.store.ChangeFeed;
import org.masticweir.store.Revision;
import org.masticweir.time.Clock;

/** Follows the store's tables of the catalog and of the servers; owned by the control thread. */
final class StoreFollowers {
    /**
     * A catalog change must be in force soon after the store has acknowledged it, so the call waits
     * for changes at the store.
     */
    private static final FeedPace CATALOG_PACE = FeedPace.of(3_000, 700, 50);

    /**
     * A leaving server must receive no new requests after two seconds; within this limit, one call
     * returns a series of changes.
     */
    private static final FeedPace SERVER_PACE = FeedPace.of(3_000, 700, 700);

    private final StoreReading reading;
    private final ChangeFeed store;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final TableFollower catalog;
    private final TableFollower servers;

    /**
     * Creates followers that begin with {@link #start}.
     *
     * @param changeBoundMs time after which a change of the catalog must be in force everywhere
     */
    StoreFollowers(
            DeploymentFormat format,
            ChangeFeed store,
            DeploymentState deployment,
            StoreSharing sharing,
            StoreReading reading,
            long changeBoundMs,
            ScheduledExecutorService control,
            Clock clock) {
        this.reading = reading;
        this.store = store;
        this.control = control;
        this.clock = clock;
        catalog =
                follower(
                        format.catalogRow().table(),
                        CATALOG_PACE.withMaxAge(StoreSharing.readerAgeMs(changeBoundMs)),
                        (rows, since, dueMs, asOfMs) -> {
                            if (deployment.applyCatalogRows(rows, asOfMs)) {
                                sharing.onCatalogChange();
                            }
                        });
        servers =
                follower(
                        format.serverTable(),
                        SERVER_PACE,
                        (rows, since, dueMs, asOfMs) ->
                                sharing.onServerUpdates(
                                        deployment.applyServerRows(rows, since, dueMs)));
    }

    private TableFollower follower(String table, FeedPace pace, FeedListener listener) {
        return new TableFollower(table, store, pace, listener, reading::role, control, clock);
    }

    /** Starts to read, if that is this router's part. */
    void start() {
        reading.setFollowers(catalog, servers);
    }

    /** Records that the servers' table was received up to {@code revision} through a peer. */
    void recordServersReceived(Revision revision) {
        reading.recordReceived(servers, revision);
    }
}
