package org.masticweir.relay;

/**
 * Tracks the revision of the store up to which this router has received every server update; not
 * thread-safe.
 *
 * <p>Prevents sending requests to a leaving server for good after a message between routers was
 * lost or reordered. Each message contains the revision after which its updates follow; if that
 * revision is greater than the tracked one, updates are missing and are requested.
 */
final class UpdateProgress {
    /**
     * Revision before all updates; a message that starts at this revision lists all present
     * servers.
     */
    static final long BEFORE_FIRST_UPDATE = -1;

    private long completeTo = BEFORE_FIRST_UPDATE;
    private long newestUpdate = BEFORE_FIRST_UPDATE;

    /**
     * Records a reading of the store at {@code revision} whose newest row was written at {@code
     * newestRevision}.
     */
    void recordReading(long revision, long newestRevision) {
        completeTo = Math.max(completeTo, revision);
        newestUpdate = Math.max(newestUpdate, newestRevision);
    }

    /**
     * Records all updates after {@code after} up to {@code upTo}; returns whether no earlier update
     * is missing.
     *
     * @param newestRevision revision of the newest of these updates; {@code after} if there are
     *     none
     */
    boolean recordUpdates(long afterRevision, long upToRevision, long newestRevision) {
        newestUpdate = Math.max(newestUpdate, newestRevision);
        if (afterRevision > completeTo) {
            return false;
        }
        completeTo = Math.max(completeTo, upToRevision);
        return true;
    }

    /**
     * Returns the revision up to which all updates have been received; {@link #BEFORE_FIRST_UPDATE}
     * before the first.
     */
    long completeTo() {
        return completeTo;
    }

    /** Returns the revision of the newest update for which all earlier ones have been received. */
    long newestUpdate() {
        return Math.min(newestUpdate, completeTo);
    }
}
