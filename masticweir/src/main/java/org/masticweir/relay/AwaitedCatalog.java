package org.masticweir.relay;

/**
 * The newest version of the catalog that peers have named and this router does not hold; not
 * thread-safe, reads no clock.
 */
final class AwaitedCatalog {
    private long version;
    private long firstHeardMs;
    private long lastHeardMs;

    /** Takes note that a peer holds {@code newer}. */
    void heardOf(long newer, long nowMs) {
        if (newer > version) {
            version = newer;
            firstHeardMs = nowMs;
        }
        if (newer == version) {
            lastHeardMs = nowMs;
        }
    }

    /** Returns the newest version heard of; 0 if none. */
    long version() {
        return version;
    }

    /** Returns for how long a version newer than {@code held} has been awaited, in ms, or 0. */
    long waitedMs(long held, long nowMs) {
        return version > held ? nowMs - firstHeardMs : 0;
    }

    /**
     * Returns whether peers have named a version newer than {@code held} in the last {@code ms}.
     */
    boolean isAwaited(long held, long nowMs, long ms) {
        return version > held && nowMs - lastHeardMs <= ms;
    }
}
