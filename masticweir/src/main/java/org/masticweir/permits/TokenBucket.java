package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

/** A token bucket for one rate; not thread-safe. */
final class TokenBucket {
    private static final double MS_PER_SECOND = 1_000;

    private SharedRate rate;
    private double tokens;
    private long lastRefillMs;

    /** Creates a bucket that was empty at {@code emptyMs}. */
    TokenBucket(SharedRate rate, long emptyMs) {
        this.rate = checkNotNull(rate, "rate");
        lastRefillMs = emptyMs;
    }

    /** Discards the tokens saved before {@code ms}. */
    void discardTokens(long ms) {
        tokens = 0;
        lastRefillMs = ms;
    }

    /** Changes the rate and reduces the saved tokens to at most the burst of the new rate. */
    void setRate(SharedRate newRate, long nowMs) {
        refill(nowMs);
        rate = checkNotNull(newRate, "newRate");
        tokens = Math.min(tokens, rate.burst());
    }

    /** Consumes one token and returns true if at least {@code requiredTokens} are available. */
    boolean tryConsume(double requiredTokens, long nowMs) {
        refill(nowMs);
        if (tokens < requiredTokens) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Consumes one token for a use without a permit. The balance may become negative, at most by
     * the burst, which delays the next grants.
     */
    void consumeWithoutPermit(long nowMs) {
        refill(nowMs);
        tokens = Math.max(-rate.burst(), tokens - 1);
    }

    /** Returns the time until {@code requiredTokens} are available, in ms. */
    long waitMs(double requiredTokens, long nowMs) {
        refill(nowMs);
        return (long)
                Math.ceil(Math.max(0, requiredTokens - tokens) * MS_PER_SECOND / rate.perSecond());
    }

    private void refill(long nowMs) {
        if (nowMs > lastRefillMs) {
            double added = (nowMs - lastRefillMs) * rate.perSecond() / MS_PER_SECOND;
            tokens = Math.min(rate.burst(), tokens + added);
            lastRefillMs = nowMs;
        }
    }
}
