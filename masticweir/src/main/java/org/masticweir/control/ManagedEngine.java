package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.masticweir.id.EngineId;

/**
 * One engine of the failure domain as the router knows it; immutable.
 *
 * @param group name of the declared group it belongs to
 * @param holdings what it last said it holds; empty while it never answered
 * @param leaving whether the instance list says that it leaves
 */
public record ManagedEngine(
        EngineId id,
        InetSocketAddress address,
        String group,
        Optional<EngineHoldings> holdings,
        boolean leaving) {
    public ManagedEngine {
        checkNotNull(id, "id");
        checkNotNull(address, "address");
        checkNotNull(group, "group");
        checkNotNull(holdings, "holdings");
    }

    boolean holds(ModelVersion version) {
        return holdings.map(h -> h.models().contains(version)).orElse(false);
    }

    /** Tells whether it answers and takes new work. */
    boolean isServing() {
        return !leaving && holdings.map(h -> h.role() == EngineRole.SERVING).orElse(false);
    }
}
