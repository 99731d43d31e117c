package org.masticweir.recovery;

/** Tracks one attempt's silence and its probes; not thread-safe. */
final class SilenceWatch {
    private long quietSinceMs;
    private boolean probing;
    private boolean firstTokenSeen;
    private int failed;
    private int stuck;

    /** Starts anew for an attempt begun at {@code nowMs}. */
    void begin(long nowMs) {
        firstTokenSeen = false;
        endProbes();
        quietSinceMs = nowMs;
    }

    /** Notes that the engine said something that is no token. */
    void heard(long nowMs) {
        quietSinceMs = nowMs;
    }

    /** Notes tokens; returns whether they are the attempt's first. */
    boolean tokens(long nowMs) {
        quietSinceMs = nowMs;
        failed = 0;
        stuck = 0;
        boolean first = !firstTokenSeen;
        firstTokenSeen = true;
        return first;
    }

    boolean firstTokenSeen() {
        return firstTokenSeen;
    }

    /** Returns when a silence of {@code boundMs} is over. */
    long dueAtMs(long boundMs) {
        return quietSinceMs + boundMs;
    }

    long silentForMs(long nowMs) {
        return nowMs - quietSinceMs;
    }

    /** Notes that a probe goes out; returns false when one is out already. */
    boolean startProbe() {
        boolean free = !probing;
        probing = true;
        return free;
    }

    /** Notes that the probe was answered. */
    void answered() {
        probing = false;
        failed = 0;
    }

    /** Notes an answer without progress; returns how many there were in a row. */
    int answeredWithoutProgress() {
        stuck++;
        return stuck;
    }

    /** Notes that the probe failed; returns how many did in a row. */
    int probeFailed() {
        probing = false;
        failed++;
        return failed;
    }

    /** Forgets failed probes, as tokens came while the last one was out. */
    void forgive() {
        failed = 0;
    }

    /** Ends the probes of an attempt that is left. */
    void endProbes() {
        probing = false;
        failed = 0;
        stuck = 0;
    }
}
