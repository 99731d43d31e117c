package org.masticweir.bench.copies;

/**
 * What copying cost at one size.
 *
 * @param holders routers that hold the owner's copies
 * @param framesBound the bound of frames a second
 * @param tokensPerS tokens copied a second
 * @param framesPerS frames of appends a second
 * @param bytesPerToken of those frames and their replies
 * @param ownerUsPerToken processor time of the owner's links and requests
 * @param holderUsPerToken processor time of all holders' links together
 * @param releaseP50Us from a token's arrival to its release
 * @param releaseP99Us the same
 */
record CopyPoint(
        int holders,
        int framesBound,
        double tokensPerS,
        double framesPerS,
        double bytesPerToken,
        double ownerUsPerToken,
        double holderUsPerToken,
        long releaseP50Us,
        long releaseP99Us) {
    /** Returns the names of the columns of {@link #line}. */
    static String header() {
        return "holders   bound tokens/s frames/s bytes/token owner_us/token holders_us/token"
                + " release_p50_us release_p99_us";
    }

    String line() {
        return String.format(
                "%7d %7d %8.0f %8.0f %11.1f %14.2f %16.2f %14d %14d",
                holders,
                framesBound,
                tokensPerS,
                framesPerS,
                bytesPerToken,
                ownerUsPerToken,
                holderUsPerToken,
                releaseP50Us,
                releaseP99Us);
    }
}
