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

    /** Takes a token if there are {@code least} of them. */
    boolean tryTake(double least, long nowMs) {
        fill(nowMs);
        if (tokens < least) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Takes a token for a use that is over: if there is none, the next one is not granted. */
    void takeAnyway(long nowMs) {
        fill(nowMs);
        tokens = Math.max(-rate.burst(), tokens - 1);
    }

    /** Returns the time until there are {@code least} tokens, in ms. */
    long nextMs(double least, long nowMs) {
        fill(nowMs);
        return (long) Math.ceil(Math.max(0, least - tokens) * MS_A_SECOND / rate.perSecond());
    }

    private void fill(long nowMs) {
        if (nowMs > filledMs) {
            double more = (nowMs - filledMs) * rate.perSecond() / MS_A_SECOND;
            tokens = Math.min(rate.burst(), tokens + more);
            filledMs = nowMs;
        }
    }
}
