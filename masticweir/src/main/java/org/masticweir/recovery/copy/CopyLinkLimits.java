package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long the exchanges between routers may take, and how much one frame holds.
 *
 * @param askTimeoutMs after which a command, a question or a subscription counts as unanswered
 * @param holdMs how long an owner without news holds a read before it says so
 * @param batchTokens tokens of one frame, beyond which appends wait for the next
 * @param framesPerS frames of appends a second to all holders together, beyond which they wait to
 *     share one
 */
public record CopyLinkLimits(long askTimeoutMs, long holdMs, int batchTokens, int framesPerS) {
    private static final long ASK_TIMEOUT_MS = 500;
    private static final long HOLD_MS = 500;
    private static final int BATCH_TOKENS = 50_000;
    private static final int FRAMES_PER_S = 8_000;
    private static final long MAX_PACE_MS = 10;
    private static final long MS_PER_S = 1_000;

    public CopyLinkLimits {
        checkArgument(askTimeoutMs > 0, "copy_ask_timeout_ms %s", askTimeoutMs);
        checkArgument(holdMs > 0, "copy_hold_ms %s", holdMs);
        checkArgument(batchTokens > 0, "copy_batch_tokens %s", batchTokens);
        checkArgument(framesPerS > 0, "copy_frames_per_s %s", framesPerS);
    }

    public static CopyLinkLimits defaults() {
        return new CopyLinkLimits(ASK_TIMEOUT_MS, HOLD_MS, BATCH_TOKENS, FRAMES_PER_S);
    }

    public CopyLinkLimits withFramesPerS(int other) {
        return new CopyLinkLimits(askTimeoutMs, holdMs, batchTokens, other);
    }

    /**
     * Returns the least time between the beginnings of two frames of appends to one holder.
     *
     * <p>A few holders answer as fast as they can. Many get so few appends each in one round trip
     * that nearly every token would be a frame of its own.
     */
    long paceMs(int holders) {
        return Math.min(MAX_PACE_MS, MS_PER_S * holders / framesPerS);
    }
}
