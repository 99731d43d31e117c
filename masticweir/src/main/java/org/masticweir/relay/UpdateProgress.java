package org.masticweir.relay;

/**
 * Tracks the revision of the store up to which this router has received every server update; not
 * thread-safe.
 *
 * <p>Prevents sending requests to a leaving server for good after a message between routers was
 * lost or reordered. Each message contains the revision after which its updates follow; if that
 * lies beyond the revision tracked here, updates are missing and are requested.
 */
final class UpdateProgress {
    /** Revision before all updates: a message that starts at it lists all present servers. */
    static final long START = -1;

    private long completeTo = START;
    private long newest = START;

    /**
     * Records a reading of the store at {@code revision} whose newest row was written at {@code
     * newestRevision}.
     */
    void recordReading(long revision, long newestRevision) {
        completeTo = Math.max(completeTo, revision);
        newest = Math.max(newest, newestRevision);
    }

    /**
     * Records all updates after {@code after} up to {@code upTo}; returns whether no earlier update
     * is missing.
     *
     * @param newestRevision revision of the newest of these updates; {@code after} if there are
     *     none
     */
    boolean recordUpdates(long after, long upTo, long newestRevision) {
        newest = Math.max(newest, newestRevision);
        if (after > completeTo) {
            return false;
        }
        completeTo = Math.max(completeTo, upTo);
        return true;
    }

    /**
     * Returns the revision up to which all updates have been received; {@link #START} before the
     * first.
     */
    long completeTo() {
        return completeTo;
    }

    /** Returns the revision of the newest update for which all earlier ones have been received. */
    long newest() {
        return Math.min(newest, completeTo);
    }
}
