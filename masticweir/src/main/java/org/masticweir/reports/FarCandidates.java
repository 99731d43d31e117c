package org.masticweir.reports;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticweir.control.EngineRole;
import org.masticweir.control.ModelVersion;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Rendezvous;

/**
 * Chooses the engines that a router of another domain hears of.
 *
 * <p>Failure guarded against: herding. If every asker heard of the emptiest engines, all of them
 * would spill to the same few. Here each asker gets those that rendezvous hashing ranks first for
 * it among the less loaded half, so that askers get different ones and keep theirs for a while.
 */
public final class FarCandidates {
    private FarCandidates() {}

    /**
     * Returns up to {@code perModel} engines for each version of a model.
     *
     * @param readings engines that may take new work, each told in full
     */
    public static ImmutableList<EngineDigest> of(
            Collection<EngineDigest> readings, RouterId asker, int perModel) {
        Map<ModelVersion, List<EngineDigest>> byModel = new LinkedHashMap<>();
        for (EngineDigest d : readings) {
            if (d.reading().isPresent() && d.reading().get().role() == EngineRole.SERVING) {
                d.reading().get().holdings().stream()
                        .flatMap(h -> h.models().stream())
                        .forEach(v -> byModel.computeIfAbsent(v, k -> new ArrayList<>()).add(d));
            }
        }
        Set<EngineDigest> chosen = new LinkedHashSet<>();
        byModel.values().forEach(of -> chosen.addAll(some(of, asker, perModel)));
        return ImmutableList.copyOf(chosen);
    }

    /** Returns {@code n} of {@code engines} for {@code router}, the same ones each time. */
    public static ImmutableSet<EngineId> first(
            Collection<EngineId> engines, RouterId router, int n) {
        return engines.stream()
                .sorted(
                        Comparator.comparingLong(
                                        (EngineId e) -> Rendezvous.weight(e.value(), router))
                                .reversed())
                .limit(n)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static List<EngineDigest> some(List<EngineDigest> engines, RouterId asker, int n) {
        int half = Math.max(n, (engines.size() + 1) / 2);
        List<EngineDigest> lessLoaded =
                engines.stream()
                        .sorted(Comparator.comparingDouble(FarCandidates::use))
                        .limit(half)
                        .toList();
        Set<EngineId> ids = first(lessLoaded.stream().map(EngineDigest::engine).toList(), asker, n);
        return lessLoaded.stream().filter(d -> ids.contains(d.engine())).toList();
    }

    private static double use(EngineDigest d) {
        EngineReading r = d.reading().orElseThrow();
        return (double) (r.load().running() + r.load().waiting()) / r.load().capacity();
    }
}
