package org.masticweir.relay;

/**
 * The newest version of the catalog that peers have reported and this router has not received yet;
 * not thread-safe, reads no clock.
 */
final class AwaitedCatalog {
    private long version;
    private long firstReportMs;
    private long lastReportMs;

    /** Records that a peer stores the catalog version {@code newer}. */
    void recordReport(long newer, long nowMs) {
        if (newer > version) {
            version = newer;
            firstReportMs = nowMs;
        }
        if (newer == version) {
            lastReportMs = nowMs;
        }
    }

    /** Returns the newest version reported by a peer; 0 if none. */
    long version() {
        return version;
    }

    /**
     * Returns the time since the newest version was first reported, in ms; 0 if that version is not
     * newer than {@code held}.
     */
    long waitedMs(long held, long nowMs) {
        return version > held ? nowMs - firstReportMs : 0;
    }

    /**
     * Returns whether a version newer than {@code held} was reported within the last {@code ms}.
     */
    boolean isAwaited(long held, long nowMs, long windowMs) {
        return version > held && nowMs - lastReportMs <= windowMs;
    }
}
