package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import com.google.common.math.Quantiles;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/**
 * Judges which engines may take new work, from failures, probes and token gaps.
 *
 * <p>Failures guarded against: an engine that fails outright becomes suspect at once and returns
 * after good probes; an engine that still answers but is much slower than the other engines of its
 * model (a gray failure) shows as a high quantile of its token gaps and is ejected for a while.
 * Slowness is measured against the model's median, so load that slows all engines ejects none, and
 * at most a third of a model's engines is ejected, so the judge can't take down what it guards.
 *
 * <p>Not thread-safe: owned by the control thread; a {@link HealthView} may be published.
 */
public final class EngineHealth {
    /** How many times the model's median gap an engine's own gap must be to count as slow. */
    private static final double SLOW_FACTOR = 2;

    /** What a gap must exceed the median by to count as slow, so that fast models eject nobody. */
    private static final double SLOW_MARGIN_MS = 20;

    /** Gaps in an interval below which an engine is not judged. */
    private static final int MIN_GAPS = 20;

    /** Engines measured below which a median says nothing. */
    private static final int MIN_ENGINES = 3;

    /** One engine in so many may be ejected. */
    private static final int EJECTED_ONE_IN = 3;

    private final Map<EngineId, EngineTrack> tracks = new LinkedHashMap<>();

    private EngineHealth() {}

    public static EngineHealth create() {
        return new EngineHealth();
    }

    /**
     * Watches exactly these engines; ones watched before keep their state.
     *
     * <p>Engines that leave are not among them, or they would count as live in the cap.
     */
    public void watch(ImmutableSetMultimap<EngineId, ModelId> engines) {
        checkNotNull(engines, "engines");
        tracks.keySet().retainAll(engines.keySet());
        for (EngineId id : engines.keySet()) {
            ImmutableSet<ModelId> models = engines.get(id);
            tracks.merge(
                    id,
                    new EngineTrack(models),
                    (old, fresh) -> old.models.equals(models) ? old : fresh);
        }
    }

    /**
     * Takes a failure that a traffic thread saw.
     *
     * <p>Failure guarded against: in overload every engine refuses, and an engine set aside for its
     * refusals leaves the rest with more. Refusals therefore count towards the capped ejection, and
     * only other failures make an engine suspect.
     */
    public Optional<HealthChange> failed(EngineId engine, EngineFailure failure, long nowMs) {
        EngineTrack t = tracks.get(checkNotNull(engine, "engine"));
        if (t == null) {
            return Optional.empty();
        }
        boolean changed =
                checkNotNull(failure, "failure").mayBeLoad()
                        ? t.refused(nowMs) && ejectWithinCap(t, nowMs)
                        : t.suspect(failure == EngineFailure.SILENT, nowMs);
        return changed ? Optional.of(HealthChange.to(engine, t.state())) : Optional.empty();
    }

    /** Takes the outcome of a probe. */
    public Optional<HealthChange> probed(EngineId engine, boolean alive, long nowMs) {
        EngineTrack t = tracks.get(checkNotNull(engine, "engine"));
        return t != null && t.probed(alive, nowMs)
                ? Optional.of(HealthChange.to(engine, t.state()))
                : Optional.empty();
    }

    /** Judges one interval's token gaps and lets ejected engines return. */
    public ImmutableList<HealthChange> judge(List<TokenGaps.Sample> samples, long nowMs) {
        checkNotNull(samples, "samples");
        List<HealthChange> changes = new ArrayList<>();
        returnEjected(nowMs, changes);
        Map<ModelId, Double> limits = limits(samples);
        samples.stream()
                .filter(s -> s.count() >= MIN_GAPS && limits.containsKey(s.model()))
                .sorted(Comparator.comparingDouble(TokenGaps.Sample::gapMs).reversed())
                .forEach(s -> judge(s, limits.get(s.model()), nowMs, changes));
        keepOneLive(nowMs, changes);
        return ImmutableList.copyOf(changes);
    }

    /**
     * Returns the standing of all engines watched.
     *
     * <p>Failure guarded against: an engine on its slow return is spared by giving the rest of its
     * share to others. When those are lost meanwhile there are no others, and its small share,
     * taken for the model's capacity, shows as callers refused while the engine idles. Shares
     * therefore count against the largest among the live engines of a model, so that a model always
     * has an engine in full use.
     *
     * <p>Failure guarded against: a domain is alone with its only engine, one stream there falls
     * silent as the machine stalls, and for half a second all callers are refused although the
     * engine lives. An engine that only silence speaks against therefore counts as live while its
     * model has no other; a reset, a failed connect or probes that stay without answer end that.
     */
    public HealthView view(long nowMs) {
        Map<ModelId, Double> largest = largestShares(nowMs);
        ImmutableMap.Builder<EngineId, Standing> standings = ImmutableMap.builder();
        tracks.forEach((id, t) -> standings.put(id, standing(t, largest, nowMs)));
        return new HealthView(standings.buildOrThrow());
    }

    private Map<ModelId, Double> largestShares(long nowMs) {
        Map<ModelId, Double> largest = new LinkedHashMap<>();
        for (EngineTrack t : tracks.values()) {
            if (t.state() == EngineState.LIVE) {
                double share = t.standing(nowMs).loadShare();
                t.models.forEach(m -> largest.merge(m, share, Math::max));
            }
        }
        return largest;
    }

    private static Standing standing(EngineTrack t, Map<ModelId, Double> largest, long nowMs) {
        if (t.isDoubtedForSilenceOnly() && !largest.keySet().containsAll(t.models)) {
            return Standing.GOOD;
        }
        Standing own = t.standing(nowMs);
        if (t.state() != EngineState.LIVE) {
            return own;
        }
        double least = t.models.stream().mapToDouble(largest::get).min().orElse(1);
        return new Standing(own.state(), own.loadShare() / least);
    }

    private void judge(TokenGaps.Sample s, double limitMs, long nowMs, List<HealthChange> changes) {
        EngineTrack t = tracks.get(s.engine());
        if (t == null || t.state() != EngineState.LIVE) {
            return;
        }
        if (t.measured(s.gapMs() > limitMs) && ejectWithinCap(t, nowMs)) {
            changes.add(new HealthChange(s.engine(), t.state(), s.gapMs(), limitMs));
        }
    }

    private boolean ejectWithinCap(EngineTrack t, long nowMs) {
        boolean may = t.models.stream().allMatch(this::mayEject);
        if (may) {
            t.eject(nowMs);
        }
        return may;
    }

    private static Map<ModelId, Double> limits(List<TokenGaps.Sample> samples) {
        Map<ModelId, List<Double>> gaps = new LinkedHashMap<>();
        for (TokenGaps.Sample s : samples) {
            if (s.count() >= MIN_GAPS) {
                gaps.computeIfAbsent(s.model(), m -> new ArrayList<>()).add(s.gapMs());
            }
        }
        gaps.values().removeIf(g -> g.size() < MIN_ENGINES);
        Map<ModelId, Double> limits = new LinkedHashMap<>();
        gaps.forEach((model, g) -> limits.put(model, limitMs(Quantiles.median().compute(g))));
        return limits;
    }

    private static double limitMs(double medianMs) {
        return Math.max(SLOW_FACTOR * medianMs, medianMs + SLOW_MARGIN_MS);
    }

    private boolean mayEject(ModelId model) {
        long all = count(model, Set.of(EngineState.values()));
        long ejected = count(model, Set.of(EngineState.EJECTED));
        long live = count(model, Set.of(EngineState.LIVE));
        return (ejected + 1) * EJECTED_ONE_IN <= all && live > 1;
    }

    private long count(ModelId model, Set<EngineState> states) {
        return tracks.values().stream()
                .filter(t -> t.models.contains(model) && states.contains(t.state()))
                .count();
    }

    private void returnEjected(long nowMs, List<HealthChange> changes) {
        tracks.forEach(
                (id, t) -> {
                    t.settle(nowMs);
                    if (t.ejectionOver(nowMs)) {
                        t.comeBack(nowMs);
                        changes.add(HealthChange.to(id, t.state()));
                    }
                });
    }

    /**
     * Failure guarded against: the engines left after an ejection die or leave, and the model has
     * none although a slow one would answer. The one ejected longest returns at once.
     */
    private void keepOneLive(long nowMs, List<HealthChange> changes) {
        Set<ModelId> models =
                tracks.values().stream()
                        .flatMap(t -> t.models.stream())
                        .collect(ImmutableSet.toImmutableSet());
        for (ModelId model : models) {
            if (count(model, Set.of(EngineState.LIVE)) == 0) {
                tracks.entrySet().stream()
                        .filter(e -> e.getValue().models.contains(model))
                        .filter(e -> e.getValue().state() == EngineState.EJECTED)
                        .min(Comparator.comparingLong(e -> e.getValue().changedAtMs()))
                        .ifPresent(
                                e -> {
                                    e.getValue().comeBack(nowMs);
                                    changes.add(HealthChange.to(e.getKey(), EngineState.LIVE));
                                });
            }
        }
    }
}
