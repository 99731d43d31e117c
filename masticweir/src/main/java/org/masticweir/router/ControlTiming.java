package org.masticweir.router;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often the control thread looks, and how long it waits; all in ms.
 *
 * @param deadlineMs deadline of one call to the platform
 * @param stateTimeoutMs deadline of one call to a back end
 */
public record ControlTiming(
        long configPollMs,
        long instancesPollMs,
        long statePollMs,
        long deadlineMs,
        long stateTimeoutMs) {
    public ControlTiming {
        checkArgument(configPollMs > 0, "config poll %s ms", configPollMs);
        checkArgument(instancesPollMs > 0, "instances poll %s ms", instancesPollMs);
        checkArgument(statePollMs > 0, "state poll %s ms", statePollMs);
        checkArgument(deadlineMs > 0, "deadline %s ms", deadlineMs);
        checkArgument(stateTimeoutMs > 0, "state timeout %s ms", stateTimeoutMs);
    }
}
