package org.masticweir.relay;

/** The newest version of the catalog that peers have reported; not thread-safe, reads no clock. */
final class AwaitedCatalog {
    private long version;
    private long firstReportMs;
    private long lastReportMs = CatalogEvidence.NEVER_MS;
    private long confirmedMs = CatalogEvidence.NEVER_MS;

    /** Records that a peer holds version {@code reported}. */
    void recordReport(long reported, long nowMs) {
        if (reported > version) {
            version = reported;
            firstReportMs = nowMs;
            confirmedMs = CatalogEvidence.NEVER_MS;
        }
        if (reported == version) {
            lastReportMs = nowMs;
        }
    }

    /** Records that the store held no version newer than {@code confirmed} at {@code asOfMs}. */
    void recordConfirmation(long confirmed, long asOfMs) {
        if (confirmed == version) {
            confirmedMs = Math.max(confirmedMs, asOfMs);
        }
    }

    /** Returns the newest version reported by a peer; 0 if none. */
    long version() {
        return version;
    }

    /** Returns the time at which the newest version was last reported. */
    long lastReportMs() {
        return lastReportMs;
    }

    /** Returns the latest time at which {@code held} is known to have been the newest. */
    long confirmedMs(long held) {
        return held == version ? confirmedMs : CatalogEvidence.NEVER_MS;
    }

    /**
     * Returns the time since the newest version was first reported, in ms; 0 if that version is not
     * newer than {@code held}.
     */
    long waitedMs(long held, long nowMs) {
        return version > held ? nowMs - firstReportMs : 0;
    }
}
