package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.masticweir.recovery.copy.KeyLinks;

/** Shows on the metrics page how the questions for keys' owners ended. */
final class KeyGauges {
    private KeyGauges() {}

    /** Registers {@code keys_asked}, {@code keys_joined}, {@code keys_alone}, {@code keys_held}. */
    static void register(MetricRegistry metrics, KeyLinks keys) {
        checkNotNull(metrics, "metrics");
        checkNotNull(keys, "keys");
        metrics.register("keys_asked", (Gauge<Long>) keys::asked);
        metrics.register("keys_joined", (Gauge<Long>) keys::joined);
        metrics.register("keys_alone", (Gauge<Long>) keys::alone);
        metrics.register("keys_held", (Gauge<Integer>) keys::held);
    }
}
