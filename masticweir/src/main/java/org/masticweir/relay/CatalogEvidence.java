package org.masticweir.relay;

/**
 * What this router knows of the catalog in force; immutable, so that the traffic thread may read
 * what the control thread has written.
 *
 * @param version the version that this router holds; 0 if none
 * @param confirmedMs time at which that version was last known to be the newest; {@link
 *     #NEVER_MS} if it never was
 * @param newestReported the newest version that peers have reported; 0 if none
 */
record CatalogEvidence(long version, long confirmedMs, long newestReported) {
    static final long NEVER_MS = Long.MIN_VALUE / 2;

    private static final CatalogEvidence NONE = new CatalogEvidence(0, NEVER_MS, 0);

    /** Returns the evidence of a router that holds no catalog. */
    static CatalogEvidence none() {
        return NONE;
    }

    /** Returns the time since the version was last known to be the newest, in ms. */
    long ageMs(long nowMs) {
        return nowMs - confirmedMs;
    }

    /** Returns whether the version was ever known to be the newest. */
    boolean isConfirmed() {
        return confirmedMs != NEVER_MS;
    }

    /** Returns what a denial rests on, for the log. */
    String describe(long nowMs) {
        String age = isConfirmed() ? ageMs(nowMs) + " ms old" : "never confirmed";
        return "version " + version + ", " + age + ", newest reported " + newestReported;
    }
}
