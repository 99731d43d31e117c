package org.masticweir.claims;

/** A token bucket for this router's transactions; owned by the control thread. */
final class WriteBudget {
    private static final double MS_PER_SECOND = 1_000;

    private final double tokensPerMs;
    private final double burst;
    private double tokens;
    private long filledAtMs;

    WriteBudget(double perSecond, double burst, long nowMs) {
        this.tokensPerMs = perSecond / MS_PER_SECOND;
        this.burst = burst;
        tokens = burst;
        filledAtMs = nowMs;
    }

    boolean hasToken(long nowMs) {
        fill(nowMs);
        return tokens >= 1;
    }

    void spend() {
        tokens--;
    }

    /** Returns the time at which a token becomes available if no token is spent until then. */
    long nextTokenMs(long nowMs) {
        fill(nowMs);
        return tokens >= 1 ? nowMs : nowMs + (long) Math.ceil((1 - tokens) / tokensPerMs);
    }

    /** Returns how long {@code writes} more transactions take. */
    long durationMs(long writes) {
        return (long) Math.ceil(writes / tokensPerMs);
    }

    private void fill(long nowMs) {
        tokens = Math.min(burst, tokens + Math.max(0, nowMs - filledAtMs) * tokensPerMs);
        filledAtMs = Math.max(filledAtMs, nowMs);
    }
}
