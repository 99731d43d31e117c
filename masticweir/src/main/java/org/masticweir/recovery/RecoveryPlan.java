package org.masticweir.recovery;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.config.RecoveryPreset;
import org.masticweir.id.GenerationId;

/**
 * The fixed facts that one request's recovery follows.
 *
 * @param idempotent whether the request may be sent to a second engine after an ambiguous send
 * @param allowReset whether the caller accepts a new generation after tokens were released
 * @param deadlineAtMs when the request is given up, on the clock of the machine's events
 * @param maxAttempts attempts in a row without a new token before it is given up
 * @param noEngineWaitMs how long a generation under way waits for room on any engine
 */
public record RecoveryPlan(
        GenerationId generation,
        boolean idempotent,
        boolean allowReset,
        RecoveryPreset preset,
        long deadlineAtMs,
        int maxAttempts,
        long noEngineWaitMs) {
    public RecoveryPlan {
        checkNotNull(generation, "generation");
        checkNotNull(preset, "preset");
        checkArgument(maxAttempts >= 1, "max attempts %s", maxAttempts);
        checkArgument(noEngineWaitMs >= 0, "no engine wait %s ms", noEngineWaitMs);
    }
}
