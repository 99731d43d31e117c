package org.masticweir.bench.report;

/**
 * Tokens that the engines computed beyond what the answers needed.
 *
 * <p>Engines tell only the sum of their prefill, and caches lower it. The extra prefill is
 * therefore an upper bound: prompt and prefix of each attempt after a generation's first, as if no
 * cache held any of it.
 *
 * @param usefulDecodeTokens tokens of whole answers
 * @param decodeTokens tokens computed
 * @param usefulPrefillTokens prompt tokens of the requests that an engine took
 * @param prefillTokens prompt and prefix tokens computed, cached ones left out
 * @param repeatedPrefillTokens bound on the prefill of later attempts
 */
public record ExtraWork(
        long usefulDecodeTokens,
        long decodeTokens,
        long usefulPrefillTokens,
        long prefillTokens,
        long repeatedPrefillTokens) {
    /** Returns the extra decode tokens as a share of the useful ones. */
    public double decodeShare() {
        return share(Math.max(0, decodeTokens - usefulDecodeTokens), usefulDecodeTokens);
    }

    /** Returns the bound on extra prefill tokens as a share of the useful ones. */
    public double prefillShare() {
        return share(repeatedPrefillTokens, usefulPrefillTokens);
    }

    private static double share(long extra, long useful) {
        return useful == 0 ? 0 : (double) extra / useful;
    }
}
