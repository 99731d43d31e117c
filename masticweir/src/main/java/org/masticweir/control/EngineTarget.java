package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.Set;

/**
 * What is to change at one engine; versions in neither set are left as they are; immutable.
 *
 * <p>An engine that says it leaves, unasked, gets no further order: it may have said so before the
 * instance list does, and an order back to serving would give it new work.
 *
 * @param role the role to bring about; empty to leave the engine's own word alone
 */
public record EngineTarget(
        Optional<EngineRole> role, Set<ModelVersion> load, Set<ModelVersion> unload) {
    public EngineTarget {
        checkNotNull(role, "role");
        load = ImmutableSet.copyOf(load);
        unload = ImmutableSet.copyOf(unload);
    }

    public static EngineTarget of(boolean leave, Set<ModelVersion> load, Set<ModelVersion> unload) {
        Optional<EngineRole> role = leave ? Optional.of(EngineRole.LEAVING) : Optional.empty();
        return new EngineTarget(role, load, unload);
    }

    /** Returns the target of an engine that was ordered to leave and is wanted again. */
    static EngineTarget backToServing() {
        return new EngineTarget(Optional.of(EngineRole.SERVING), Set.of(), Set.of());
    }

    boolean isNothing() {
        return role.isEmpty() && load.isEmpty() && unload.isEmpty();
    }

    /**
     * Returns the first order that brings an engine with {@code holdings} nearer to this.
     *
     * <p>An engine that is to leave is told so first, as that is what must happen within seconds.
     * New versions are loaded before old ones are unloaded, so that an engine is never left empty
     * between two versions.
     */
    Optional<Order> firstOrder(EngineHoldings holdings, long fencing) {
        if (role.isPresent() && role.get() != holdings.role()) {
            return Optional.of(Order.about(fencing, role.get()));
        }
        if (holdings.role() == EngineRole.LEAVING) {
            return Optional.empty();
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
