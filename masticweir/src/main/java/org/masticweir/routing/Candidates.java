package org.masticweir.routing;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import org.masticweir.id.DomainId;

/**
 * The engines of one model version that may take new work, split by distance; immutable.
 *
 * @param known engines of the version in any state
 * @param local engines of the router's own domain
 * @param remote engines of other domains that have a measured delay
 * @param localMeanLoad mean share of capacity in use over {@code local}, as reported
 */
record Candidates(
        int known,
        ImmutableList<EngineView> local,
        ImmutableList<Remote> remote,
        double localMeanLoad) {
    static final Candidates NONE = new Candidates(0, ImmutableList.of(), ImmutableList.of(), 0);

    /** An engine of another domain and what a call there costs beyond a local one, in ms. */
    record Remote(EngineView engine, long extraDelayMs) {}

    static Candidates of(
            Collection<EngineView> views, DomainId own, ImmutableMap<DomainId, Long> delays) {
        ImmutableList<EngineView> usable =
                views.stream().filter(EngineView::takesNewWork).collect(toImmutableList());
        ImmutableList<EngineView> local =
                usable.stream()
                        .filter(e -> e.backEnd().domain().equals(own))
                        .collect(toImmutableList());
        ImmutableList<Remote> remote =
                usable.stream()
                        .filter(e -> !e.backEnd().domain().equals(own))
                        .filter(e -> delays.containsKey(e.backEnd().domain()))
                        .map(e -> new Remote(e, delays.get(e.backEnd().domain())))
                        .collect(toImmutableList());
        return new Candidates(views.size(), local, remote, meanLoad(local));
    }

    boolean isEmpty() {
        return local.isEmpty() && remote.isEmpty();
    }

    /** Returns all engines that may take new work, the local ones first. */
    ImmutableList<EngineView> all() {
        ImmutableList.Builder<EngineView> all = ImmutableList.builder();
        all.addAll(local);
        remote.forEach(r -> all.add(r.engine()));
        return all.build();
    }

    private static double meanLoad(ImmutableList<EngineView> views) {
        return views.stream()
                .mapToDouble(e -> share(e.load().running() + e.load().waiting(), e))
                .average()
                .orElse(0);
    }

    /** Returns {@code load} sequences as a share of what {@code engine} may hold. */
    static double share(double load, EngineView engine) {
        return load / engine.usableCapacity();
    }
}
