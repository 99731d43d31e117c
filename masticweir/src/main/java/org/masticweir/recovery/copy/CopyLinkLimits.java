package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long the exchanges between routers may take, and how much one frame holds.
 *
 * @param askTimeoutMs after which a command, a question or a subscription counts as unanswered
 * @param holdMs how long an owner without news holds a read before it says so
 * @param batchTokens tokens of one frame, beyond which appends wait for the next
 */
public record CopyLinkLimits(long askTimeoutMs, long holdMs, int batchTokens) {
    private static final long ASK_TIMEOUT_MS = 500;
    private static final long HOLD_MS = 500;
    private static final int BATCH_TOKENS = 50_000;

    public CopyLinkLimits {
        checkArgument(askTimeoutMs > 0, "copy_ask_timeout_ms %s", askTimeoutMs);
        checkArgument(holdMs > 0, "copy_hold_ms %s", holdMs);
        checkArgument(batchTokens > 0, "copy_batch_tokens %s", batchTokens);
    }

    public static CopyLinkLimits defaults() {
        return new CopyLinkLimits(ASK_TIMEOUT_MS, HOLD_MS, BATCH_TOKENS);
    }
}
