package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/**
 * Keeps the loads of weights that {@link WeightLoads} let start, until their engines hold them.
 *
 * <p>Pure; owned by the control thread. One object serves one time of holding the lease.
 */
final class LoadGrants {
    /** How far a load has come. */
    enum Phase {
        GRANTED(true),
        /** The store was asked; its answer, which always comes, moves the load on. */
        FETCHING(true),
        FETCHED(true),
        /** The fetch may be under way, started here or by a former holder. */
        IN_DOUBT(false);

        private final boolean ordered;

        Phase(boolean ordered) {
            this.ordered = ordered;
        }
    }

    private record Grant(Phase phase, long endsAtMs) {}

    private final LoadSettings settings;
    private final WeightLoads loads;
    private final Map<WeightLoad, Grant> grants = new HashMap<>();

    private LoadGrants(LoadSettings settings, long nowMs) {
        this.settings = checkNotNull(settings, "settings");
        loads =
                WeightLoads.afterTakeover(
                        settings.perSecond(), settings.burst(), settings.replicasPerLoad(), nowMs);
    }

    static LoadGrants afterTakeover(LoadSettings settings, long nowMs) {
        return new LoadGrants(settings, nowMs);
    }

    /** Counts a load that a former holder may have left under way. */
    void resumed(WeightLoad load, long nowMs) {
        loads.resumed(load);
        put(load, Phase.IN_DOUBT, nowMs);
    }

    /** Ends what is held or too old, and starts what is missing and may start now. */
    void update(Set<WeightLoad> missing, Map<ModelId, Integer> replicas, long nowMs) {
        for (WeightLoad load : ImmutableSet.copyOf(grants.keySet())) {
            Grant grant = grants.get(load);
            boolean over = !missing.contains(load) || nowMs >= grant.endsAtMs();
            if (over && grant.phase() != Phase.FETCHING) {
                grants.remove(load);
                loads.ended(load);
            }
        }
        loads.retainWaiting(missing);
        missing.forEach(loads::want);
        loads.start(replicas, nowMs).forEach(load -> put(load, Phase.GRANTED, nowMs));
    }

    /** Returns the versions that {@code engine} may be ordered to load now. */
    Set<ModelVersion> orderedOf(EngineId engine) {
        ImmutableSet.Builder<ModelVersion> versions = ImmutableSet.builder();
        grants.forEach(
                (load, grant) -> {
                    if (load.engine().equals(engine) && grant.phase().ordered) {
                        versions.add(load.model());
                    }
                });
        return versions.build();
    }

    /** Tells whether a load to {@code engine} may be under way and nobody here waits for it. */
    boolean isInDoubt(EngineId engine) {
        return grants.entrySet().stream()
                .anyMatch(
                        e ->
                                e.getKey().engine().equals(engine)
                                        && e.getValue().phase() == Phase.IN_DOUBT);
    }

    Optional<Phase> phaseOf(WeightLoad load) {
        return Optional.ofNullable(grants.get(load)).map(Grant::phase);
    }

    int size() {
        return grants.size();
    }

    void fetching(WeightLoad load, long nowMs) {
        put(load, Phase.FETCHING, nowMs);
    }

    void fetched(WeightLoad load, long nowMs) {
        put(load, Phase.FETCHED, nowMs);
    }

    /** The fetch may be under way: its place stays taken for the longest time one takes. */
    void inDoubt(WeightLoad load, long nowMs) {
        put(load, Phase.IN_DOUBT, nowMs);
    }

    /** Takes the store's refusal. */
    void limited(WeightLoad load, long retryAfterMs, long nowMs) {
        grants.remove(load);
        loads.limited(load, retryAfterMs, nowMs);
    }

    private void put(WeightLoad load, Phase phase, long nowMs) {
        grants.put(load, new Grant(phase, nowMs + settings.timeoutMs()));
    }
}
