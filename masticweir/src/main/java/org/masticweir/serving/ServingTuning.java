package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The daemon settings that requests follow; all times in ms.
 *
 * @param probeTimeoutMs how long a probe may take
 * @param silenceFloorMs least silence before a probe
 * @param silenceStartMs silence before a probe while nothing is known of an engine's pace
 * @param maxAttempts attempts in a row without a new token
 * @param noEngineWaitMs how long a generation under way waits for room
 * @param orphanMs how long a request goes on without a caller
 * @param retainMs how long a finished answer can be read again
 * @param maxRequests requests kept at once, finished ones included
 */
public record ServingTuning(
        long probeTimeoutMs,
        long silenceFloorMs,
        long silenceStartMs,
        int maxAttempts,
        long noEngineWaitMs,
        long orphanMs,
        long retainMs,
        int maxRequests) {
    public ServingTuning {
        checkArgument(probeTimeoutMs > 0, "probe timeout %s ms", probeTimeoutMs);
        checkArgument(silenceFloorMs > 0, "silence floor %s ms", silenceFloorMs);
        checkArgument(silenceStartMs >= silenceFloorMs, "silence start %s ms", silenceStartMs);
        checkArgument(maxAttempts >= 1, "max attempts %s", maxAttempts);
        checkArgument(maxRequests >= 1, "max requests %s", maxRequests);
    }
}
