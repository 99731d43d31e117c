package org.masticweir.relay;

import java.util.OptionalLong;

/**
 * What this router knows of the catalog in force, and since when; immutable, so that the traffic
 * thread may read what the control thread has written.
 *
 * <p>Prevents a request from being denied by an older version: a route or key that this router does
 * not know may have been added since the store was last read. The age is asked for when the request
 * is denied, and counts from a moment at which the store held no newer version, not from the
 * arrival of the confirmation.
 *
 * @param version the version that this router holds; 0 if none
 * @param confirmedMs a time at which that version was the newest in the store; {@link #NEVER_MS} if
 *     none is known
 * @param newestReported the newest version that peers have reported; 0 if none
 * @param reportedMs time of the last report of that version
 * @param boundMs time after which a change must be in force everywhere
 */
record CatalogEvidence(
        long version, long confirmedMs, long newestReported, long reportedMs, long boundMs) {
    static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** Returns the evidence of a router that holds no catalog. */
    static CatalogEvidence none(long boundMs) {
        return new CatalogEvidence(0, NEVER_MS, 0, NEVER_MS, boundMs);
    }

    /** Returns whether the version was ever known to be the newest. */
    boolean isConfirmed() {
        return confirmedMs != NEVER_MS;
    }

    /** Returns the age of the confirmation that the version is the newest, in ms; empty if none. */
    OptionalLong ageMs(long nowMs) {
        return isConfirmed()
                ? OptionalLong.of(Math.max(0, nowMs - confirmedMs))
                : OptionalLong.empty();
    }

    /**
     * Returns whether a request may be denied because {@code decidingVersion} does not allow it. A
     * change that this version lacks was then acknowledged within the bound, or not at all.
     */
    boolean permitsDenial(long decidingVersion, long nowMs) {
        boolean isNewerReported = newestReported > version && reportedMs >= confirmedMs;
        return decidingVersion == version
                && isConfirmed()
                && !isNewerReported
                && nowMs - confirmedMs <= boundMs;
    }

    /** Returns what a denial rests on, for the log. */
    String describe(long nowMs) {
        OptionalLong age = ageMs(nowMs);
        String confirmed = age.isPresent() ? age.getAsLong() + " ms old" : "never confirmed";
        return "version " + version + ", " + confirmed + ", newest reported " + newestReported;
    }
}
