package org.masticweir.serving;

/** Times one request's first token, gaps and resumptions; owned by the request's thread. */
final class ResumeTimer {
    private static final long NEVER = -1;

    private final long acceptedAtMs;
    private long attemptAtMs;
    private long lastTokenAtMs = NEVER;
    private boolean lost;
    private boolean moved;
    private int recomputed;

    ResumeTimer(long acceptedAtMs) {
        this.acceptedAtMs = acceptedAtMs;
        attemptAtMs = acceptedAtMs;
    }

    /** Notes that an attempt was sent to an engine, with {@code context} tokens to prefill. */
    void sent(long nowMs, int context, boolean recovering) {
        attemptAtMs = nowMs;
        if (recovering) {
            lost = true;
            moved = true;
            recomputed += context;
        }
    }

    /** Notes that the same engine's stream is read again. */
    void rereading(long nowMs) {
        attemptAtMs = nowMs;
        lost = true;
    }

    /** Notes a frame of tokens and tells what it shows. */
    Progress tokens(long nowMs) {
        Progress progress = progressAt(nowMs);
        lastTokenAtMs = nowMs;
        lost = false;
        moved = false;
        recomputed = 0;
        return progress;
    }

    private Progress progressAt(long nowMs) {
        if (lastTokenAtMs == NEVER) {
            return new Progress.First(nowMs - acceptedAtMs, nowMs - attemptAtMs);
        }
        long gap = nowMs - lastTokenAtMs;
        return lost ? new Progress.Resumed(gap, moved, recomputed) : new Progress.Next(gap);
    }

    /** What a frame of tokens shows. */
    sealed interface Progress {
        /** The first tokens of the answer. */
        record First(long sinceAcceptedMs, long sinceSentMs) implements Progress {}

        /** The next tokens of an undisturbed stream. */
        record Next(long gapMs) implements Progress {}

        /** The first tokens after a loss. */
        record Resumed(long gapMs, boolean moved, int recomputed) implements Progress {}
    }
}
