package org.masticweir.bench.path;

import java.util.Locale;

/**
 * What one load cost; immutable.
 *
 * @param routerMsPerS processor time of the router that the callers use, its compilers aside, in ms
 *     a second
 * @param peersMsPerS the same of the other routers, which hold its copies
 * @param p50Us from the engine's computing of a token to the caller's reading of it
 * @param loadAverage of the machine at the end, others' processes included
 */
public record PathPoint(
        String way,
        int streams,
        int tokens,
        double tokensPerS,
        double requestsPerS,
        long failed,
        double routerMsPerS,
        double peersMsPerS,
        long p50Us,
        long p99Us,
        double loadAverage) {
    /** Returns one line for people. */
    String line() {
        return String.format(
                Locale.ROOT,
                "%s %dx%d: %.0f tokens/s, %.1f requests/s, %d failed, router %.0f ms/s, peers %.0f"
                        + " ms/s, latency p50 %d us, p99 %d us, load average %.1f",
                way,
                streams,
                tokens,
                tokensPerS,
                requestsPerS,
                failed,
                routerMsPerS,
                peersMsPerS,
                p50Us,
                p99Us,
                loadAverage);
    }
}
