package org.masticweir.relay;

/**
 * The newest version of the catalog that peers have named and this router does not hold; not
 * thread-safe, reads no clock.
 */
final class AwaitedCatalog {
    private long version;
    private long firstReportMs;
    private long lastReportMs;

    /** Takes note that a peer holds {@code newer}. */
    void recordReport(long newer, long nowMs) {
        if (newer > version) {
            version = newer;
            firstReportMs = nowMs;
        }
        if (newer == version) {
            lastReportMs = nowMs;
        }
    }

    /** Returns the newest version heard of; 0 if none. */
    long version() {
        return version;
    }

    /** Returns for how long a version newer than {@code held} has been awaited, in ms, or 0. */
    long waitedMs(long held, long nowMs) {
        return version > held ? nowMs - firstReportMs : 0;
    }

    /**
     * Returns whether peers have named a version newer than {@code held} in the last {@code ms}.
     */
    boolean isAwaited(long held, long nowMs, long windowMs) {
        return version > held && nowMs - lastReportMs <= windowMs;
    }
}
