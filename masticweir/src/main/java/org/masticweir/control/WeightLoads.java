package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticweir.id.ModelId;

/**
 * Decides when each wanted load of weights may start.
 *
 * <p>A token bucket keeps the rate of the weight store, and of each model only a part of the
 * replicas loads at once, so that the others go on serving. A holder that takes over starts with an
 * empty bucket: whatever the former one spent last, both together stay within the rate. Loads the
 * former holder left under way must be told by {@link #resumed}. Not thread-safe: owned by the
 * control thread.
 */
public final class WeightLoads {
    private static final double MS_PER_SECOND = 1_000;

    private final double perMs;
    private final double burst;
    private final int replicasPerLoad;
    private final Set<WeightLoad> waiting = new LinkedHashSet<>();
    private final Set<WeightLoad> loading = new HashSet<>();
    private double tokens;
    private long filledAtMs;
    private long limitedUntilMs = Long.MIN_VALUE;

    private WeightLoads(double perSecond, double burst, int replicasPerLoad, long nowMs) {
        checkArgument(perSecond > 0, "loads per second %s", perSecond);
        checkArgument(burst >= 1, "burst %s", burst);
        checkArgument(replicasPerLoad >= 2, "replicas per load %s", replicasPerLoad);
        perMs = perSecond / MS_PER_SECOND;
        this.burst = burst;
        this.replicasPerLoad = replicasPerLoad;
        filledAtMs = nowMs;
    }

    /**
     * Returns the state of a holder who has just taken over, with an empty bucket.
     *
     * @param replicasPerLoad one load at once is allowed for each so many replicas of a model
     */
    public static WeightLoads afterTakeover(
            double perSecond, double burst, int replicasPerLoad, long nowMs) {
        return new WeightLoads(perSecond, burst, replicasPerLoad, nowMs);
    }

    /** Asks for a load; one that waits or is under way is not doubled. */
    public void want(WeightLoad load) {
        if (!loading.contains(checkNotNull(load, "load"))) {
            waiting.add(load);
        }
    }

    /** Drops the waiting loads that are not {@code wanted} any more. */
    public void retainWaiting(Set<WeightLoad> wanted) {
        waiting.retainAll(wanted);
    }

    /** Counts a load that a former holder left under way. */
    public void resumed(WeightLoad load) {
        waiting.remove(load);
        loading.add(load);
    }

    /**
     * Returns the loads that start now.
     *
     * @param replicas number of live engines meant to hold each model; one alone may load, as there
     *     is no other to wait for
     */
    public List<WeightLoad> start(Map<ModelId, Integer> replicas, long nowMs) {
        fill(nowMs);
        ImmutableList.Builder<WeightLoad> started = ImmutableList.builder();
        Iterator<WeightLoad> it = waiting.iterator();
        while (it.hasNext() && tokens >= 1 && nowMs >= limitedUntilMs) {
            WeightLoad next = it.next();
            ModelId model = next.model().model();
            if (loadingOf(model) < mostAtOnce(replicas.getOrDefault(model, 1))) {
                it.remove();
                loading.add(next);
                tokens--;
                started.add(next);
            }
        }
        return started.build();
    }

    /** Takes the end of a load, good or bad; whoever still needs it asks again. */
    public void ended(WeightLoad load) {
        loading.remove(load);
    }

    /** Takes the store's refusal: the load waits again, and all others for so long. */
    public void limited(WeightLoad load, long retryAfterMs, long nowMs) {
        loading.remove(load);
        waiting.add(load);
        limitedUntilMs = Math.max(limitedUntilMs, nowMs + retryAfterMs);
        tokens = 0;
    }

    private int mostAtOnce(int replicas) {
        return Math.max(1, replicas / replicasPerLoad);
    }

    private long loadingOf(ModelId model) {
        return loading.stream().filter(l -> l.model().model().equals(model)).count();
    }

    private void fill(long nowMs) {
        tokens = Math.min(burst, tokens + Math.max(0, nowMs - filledAtMs) * perMs);
        filledAtMs = Math.max(filledAtMs, nowMs);
    }
}
