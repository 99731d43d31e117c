package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkNotNull;

/** A figure of one setting over its runs. */
public record MetricSpread(Metric metric, String setting, Spread spread) {
    public MetricSpread {
        checkNotNull(metric, "metric");
        checkNotNull(setting, "setting");
        checkNotNull(spread, "spread");
    }
}
