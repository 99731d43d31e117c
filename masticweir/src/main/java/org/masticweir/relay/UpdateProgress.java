package org.masticweir.relay;

/**
 * Up to which revision of the store this router knows every word on servers; not thread-safe.
 *
 * <p>Failure guarded against: a message between routers is lost, or they come in another order, and
 * a server that leaves is sent requests for good. Each message says after which revision its words
 * follow; where that lies beyond what is known, words are missing and are asked for.
 */
final class UpdateProgress {
    /** What all words follow: a message that gives it lists all servers that there are. */
    static final long START = -1;

    private long completeTo = START;
    private long newest = START;

    /** Takes all that the store had at {@code revision}, the newest of it written at {@code at}. */
    void recordReading(long revision, long newestRevision) {
        completeTo = Math.max(completeTo, revision);
        newest = Math.max(newest, newestRevision);
    }

    /**
     * Takes all words after {@code after} up to {@code to}; returns whether none before is missing.
     *
     * @param newestRevision revision of the newest of these words; {@code after} if there are none
     */
    boolean recordUpdates(long after, long upTo, long newestRevision) {
        newest = Math.max(newest, newestRevision);
        if (after > completeTo) {
            return false;
        }
        completeTo = Math.max(completeTo, upTo);
        return true;
    }

    /** Returns the revision up to which all words are known; {@link #START} before the first. */
    long completeTo() {
        return completeTo;
    }

    /** Returns the revision of the newest word known with all before it. */
    long newest() {
        return Math.min(newest, completeTo);
    }
}
