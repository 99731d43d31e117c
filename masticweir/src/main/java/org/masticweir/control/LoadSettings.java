package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of the loads from the weight store.
 *
 * @param perSecond loads started at most; the domain's share of the store
 * @param burst loads that may start together after a pause
 * @param replicasPerLoad one load at once is allowed for each so many replicas of a model
 * @param timeoutMs longest time one load takes
 */
public record LoadSettings(double perSecond, double burst, int replicasPerLoad, long timeoutMs) {
    private static final LoadSettings DEFAULTS = new LoadSettings(0.5, 2, 4, 120_000);

    public LoadSettings {
        checkArgument(perSecond > 0, "loads per second %s", perSecond);
        checkArgument(burst >= 1, "burst %s", burst);
        checkArgument(replicasPerLoad >= 2, "replicas per load %s", replicasPerLoad);
        checkArgument(timeoutMs >= 1, "timeout %s ms", timeoutMs);
    }

    /** Returns these settings with another longest time of a load. */
    public LoadSettings within(long ms) {
        return new LoadSettings(perSecond, burst, replicasPerLoad, ms);
    }

    public static LoadSettings defaults() {
        return DEFAULTS;
    }
}
