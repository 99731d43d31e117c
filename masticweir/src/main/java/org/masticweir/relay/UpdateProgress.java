package org.masticweir.relay;

import org.masticweir.store.Revision;

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
    static final Revision BEFORE_FIRST_UPDATE = Revision.NONE;

    private Revision completeTo = BEFORE_FIRST_UPDATE;
    private Revision newestUpdate = BEFORE_FIRST_UPDATE;

    /**
     * Records a reading of the store at {@code revision} whose newest row was written at {@code
     * newestRevision}.
     */
    void recordReading(Revision revision, Revision newestRevision) {
        completeTo = Revision.max(completeTo, revision);
        newestUpdate = Revision.max(newestUpdate, newestRevision);
    }

    /**
     * Records all updates after {@code after} up to {@code upTo}; returns whether no earlier update
     * is missing.
     *
     * @param newestRevision revision of the newest of these updates; {@code after} if there are
     *     none
     */
    boolean recordUpdates(Revision afterRevision, Revision upToRevision, Revision newestRevision) {
        newestUpdate = Revision.max(newestUpdate, newestRevision);
        if (afterRevision.isAfter(completeTo)) {
            return false;
        }
        completeTo = Revision.max(completeTo, upToRevision);
        return true;
    }

    /**
     * Returns the revision up to which all updates have been received; {@link #BEFORE_FIRST_UPDATE}
     * before the first.
     */
    Revision completeTo() {
        return completeTo;
    }

    /** Returns the revision of the newest update for which all earlier ones have been received. */
    Revision newestUpdate() {
        return Revision.min(newestUpdate, completeTo);
    }
}
