package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.metrics.MetricsPage;

/** Where the answers to operators come from; immutable, all of it is thread-safe. */
record OperatorSources(OperatorQueries queries, OperatorCommands commands, MetricsPage metrics) {
    OperatorSources {
        checkNotNull(queries, "queries");
        checkNotNull(commands, "commands");
        checkNotNull(metrics, "metrics");
    }
}
