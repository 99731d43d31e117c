package org.masticweir.control;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.masticweir.config.BackEndKind;
import org.masticweir.config.Deployment;
import org.masticweir.config.EngineGroup;
import org.masticweir.config.Model;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/**
 * Compares what the engines of a failure domain hold with what the deployment declares.
 *
 * <p>A version is unloaded once nothing has declared it for {@link OrderSettings#unloadAfterMs}, so
 * that generations pinned to it have ended, and only from an engine that holds all it should, while
 * some engine serves the model's declared version. Pure; owned by the control thread.
 */
final class DomainPlan {
    private final long unloadAfterMs;
    private final Map<ModelVersion, Long> undeclaredSinceMs = new HashMap<>();
    private ImmutableSet<WeightLoad> missing = ImmutableSet.of();
    private Map<ModelId, Integer> replicas = Map.of();
    private Set<EngineId> incomplete = Set.of();
    private Set<ModelId> unserved = Set.of();
    private long nowMs;

    private DomainPlan(long unloadAfterMs) {
        this.unloadAfterMs = unloadAfterMs;
    }

    /** Returns a plan that waits {@code unloadAfterMs} from its own first look. */
    static DomainPlan unloadingAfter(long unloadAfterMs) {
        return new DomainPlan(unloadAfterMs);
    }

    /** Takes the deployment and the engines as they stand now. */
    void update(Deployment deployment, List<ManagedEngine> engines, long atMs) {
        nowMs = atMs;
        replicas = new HashMap<>();
        ImmutableSet.Builder<WeightLoad> absent = ImmutableSet.builder();
        for (ManagedEngine engine : engines) {
            if (engine.isServing()) {
                for (ModelVersion version : declaredFor(deployment, engine)) {
                    replicas.merge(version.model(), 1, Integer::sum);
                    if (!engine.holds(version)) {
                        absent.add(new WeightLoad(engine.id(), version));
                    }
                }
            }
        }
        missing = absent.build();
        incomplete = missing.stream().map(WeightLoad::engine).collect(toImmutableSet());
        Set<ModelVersion> declared = declared(deployment);
        unserved = unserved(Sets.filter(declared, v -> replicas.containsKey(v.model())), engines);
        noteUndeclared(declared, engines);
    }

    /** Returns the loads that bring every serving engine to what is declared for it. */
    Set<WeightLoad> missing() {
        return missing;
    }

    /** Returns how many serving engines are meant to hold each model. */
    Map<ModelId, Integer> replicas() {
        return replicas;
    }

    /** Returns the versions that {@code engine} may give up now. */
    Set<ModelVersion> unloadableOf(ManagedEngine engine) {
        if (!engine.isServing() || incomplete.contains(engine.id())) {
            return Set.of();
        }
        return engine.holdings().orElseThrow().models().stream()
                .filter(v -> isDrained(v) && !unserved.contains(v.model()))
                .collect(toImmutableSet());
    }

    private boolean isDrained(ModelVersion version) {
        Long since = undeclaredSinceMs.get(version);
        return since != null && nowMs - since >= unloadAfterMs;
    }

    private void noteUndeclared(Set<ModelVersion> declared, List<ManagedEngine> engines) {
        Set<ModelVersion> undeclared = new HashSet<>();
        engines.forEach(e -> e.holdings().ifPresent(h -> undeclared.addAll(h.models())));
        undeclared.removeAll(declared);
        // A version that no engine shows for a moment may be on one that does not answer just now:
        // its time goes on, and only being declared again ends it.
        undeclaredSinceMs.keySet().removeAll(declared);
        undeclared.forEach(v -> undeclaredSinceMs.putIfAbsent(v, nowMs));
    }

    private static Set<ModelId> unserved(Set<ModelVersion> needed, List<ManagedEngine> engines) {
        return needed.stream()
                .filter(v -> engines.stream().noneMatch(e -> e.isServing() && e.holds(v)))
                .map(ModelVersion::model)
                .collect(toImmutableSet());
    }

    private static Set<ModelVersion> declared(Deployment deployment) {
        return versions(deployment.models().values().stream());
    }

    private static Set<ModelVersion> declaredFor(Deployment deployment, ManagedEngine engine) {
        return deployment
                .group(engine.group())
                .map(EngineGroup::models)
                .map(ids -> versions(ids.stream().flatMap(id -> deployment.model(id).stream())))
                .orElse(Set.of());
    }

    private static Set<ModelVersion> versions(Stream<Model> models) {
        return models.filter(m -> m.kind() == BackEndKind.ENGINE)
                .map(ModelVersion::declaredBy)
                .collect(toImmutableSet());
    }
}
