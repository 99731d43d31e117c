package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

/** Grants uses of one rate; not thread-safe. */
final class TokenBucket {
    private static final double MS_A_SECOND = 1_000;

    private SharedRate rate;
    private double tokens;
    private long filledMs;

    /** Creates a bucket that was empty at {@code emptyMs}. */
    TokenBucket(SharedRate rate, long emptyMs) {
        this.rate = checkNotNull(rate, "rate");
        filledMs = emptyMs;
    }

    /** Drops what was saved up before {@code ms}. */
    void emptyAt(long ms) {
        tokens = 0;
        filledMs = ms;
    }

    /** Goes on with another rate; what was saved up at the former one stays, within its burst. */
    void changeTo(SharedRate next, long nowMs) {
        fill(nowMs);
        rate = checkNotNull(next, "next");
        tokens = Math.min(tokens, rate.burst());
    }

    boolean tryTake(long nowMs) {
        fill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time until there is a whole token, in ms. */
    long nextMs(long nowMs) {
        fill(nowMs);
        return (long) Math.ceil(Math.max(0, 1 - tokens) * MS_A_SECOND / rate.perSecond());
    }

    private void fill(long nowMs) {
        if (nowMs > filledMs) {
            double more = (nowMs - filledMs) * rate.perSecond() / MS_A_SECOND;
            tokens = Math.min(rate.burst(), tokens + more);
            filledMs = nowMs;
        }
    }
}
