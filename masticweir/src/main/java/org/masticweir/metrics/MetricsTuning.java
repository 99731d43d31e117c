package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the metrics show and for how long.
 *
 * @param maxTeamsShown teams with metrics of their own, in order of first use; the rest share
 *     {@code other}
 * @param windowMs histograms hold the values of the last one to two windows of this length
 */
public record MetricsTuning(int maxTeamsShown, long windowMs) {
    private static final MetricsTuning DEFAULTS = new MetricsTuning(20, 60_000);

    public MetricsTuning {
        checkArgument(maxTeamsShown >= 1, "max_teams_shown %s below 1", maxTeamsShown);
        checkArgument(windowMs >= 1, "window %s ms", windowMs);
    }

    public static MetricsTuning defaults() {
        return DEFAULTS;
    }
}
