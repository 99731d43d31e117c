package org.masticweir.control;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.Set;

/**
 * What is to change at one engine; versions in neither set are left as they are; immutable.
 *
 * <p>An engine that says it leaves gets no further order: it may have said so before the instance
 * list does, and an order back to serving would give it new work.
 *
 * @param leave whether it is to take no new work
 */
public record EngineTarget(boolean leave, Set<ModelVersion> load, Set<ModelVersion> unload) {
    public EngineTarget {
        load = ImmutableSet.copyOf(load);
        unload = ImmutableSet.copyOf(unload);
    }

    public static EngineTarget of(boolean leave, Set<ModelVersion> load, Set<ModelVersion> unload) {
        return new EngineTarget(leave, load, unload);
    }

    boolean isNothing() {
        return !leave && load.isEmpty() && unload.isEmpty();
    }

    /**
     * Returns the first order that brings an engine with {@code holdings} nearer to this.
     *
     * <p>An engine that is to leave is told so first, as that is what must happen within seconds.
     * New versions are loaded before old ones are unloaded, so that an engine is never left empty
     * between two versions.
     */
    Optional<Order> firstOrder(EngineHoldings holdings, long fencing) {
        if (holdings.role() == EngineRole.LEAVING) {
            return Optional.empty();
        }
        if (leave) {
            return Optional.of(Order.about(fencing, EngineRole.LEAVING));
        }
        for (ModelVersion missing : Sets.difference(load, holdings.models())) {
            return Optional.of(Order.about(fencing, OrderKind.LOAD, missing));
        }
        for (ModelVersion extra : Sets.intersection(unload, holdings.models())) {
            return Optional.of(Order.about(fencing, OrderKind.UNLOAD, extra));
        }
        return Optional.empty();
    }
}
