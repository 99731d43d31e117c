package org.masticweir.callers;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on what a caller can make a router hold.
 *
 * @param maxBodyBytes longest request body
 * @param maxHeaderBytes longest request head
 * @param stallMs how long a caller may take no byte of its answer
 * @param maxTokens most tokens that a request may ask for
 */
public record CallerLimits(int maxBodyBytes, int maxHeaderBytes, long stallMs, int maxTokens) {
    public CallerLimits {
        checkArgument(maxBodyBytes > 0, "body bytes %s", maxBodyBytes);
        checkArgument(maxHeaderBytes > 0, "header bytes %s", maxHeaderBytes);
        checkArgument(stallMs > 0, "stall %s ms", stallMs);
        checkArgument(maxTokens > 0, "tokens %s", maxTokens);
    }
}
