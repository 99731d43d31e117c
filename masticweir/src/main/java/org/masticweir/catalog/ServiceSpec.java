package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * A service as it is declared; immutable.
 *
 * @param maxConnections connections that one of its servers takes from all callers together
 * @param healthPath path at which each of its servers says whether it is healthy; empty if none
 * @param engine set if its servers are model engines
 */
public record ServiceSpec(
        ServiceName name, int maxConnections, String healthPath, Optional<EngineSpec> engine) {
    public ServiceSpec {
        checkNotNull(name, "name");
        checkArgument(maxConnections >= 1, "connections %s", maxConnections);
        checkNotNull(healthPath, "healthPath");
        checkNotNull(engine, "engine");
    }
}
