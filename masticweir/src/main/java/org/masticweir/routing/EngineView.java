package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/**
 * One engine, serving one version of one model, as this router last heard of it; immutable.
 *
 * @param reportedAtMs when the engine took {@code load}, on this router's clock
 * @param loadShare share of the capacity that may be used, above 0 to 1; below 1 on slow return
 */
public record EngineView(
        BackEnd backEnd,
        ModelId model,
        String version,
        EngineState state,
        LoadReport load,
        long reportedAtMs,
        SpeedEstimate speed,
        CacheHints cache,
        double loadShare) {
    public EngineView {
        checkNotNull(backEnd, "backEnd");
        checkNotNull(model, "model");
        checkNotNull(version, "version");
        checkNotNull(state, "state");
        checkNotNull(load, "load");
        checkNotNull(speed, "speed");
        checkNotNull(cache, "cache");
        checkArgument(loadShare > 0 && loadShare <= 1, "load share %s outside 0 to 1", loadShare);
    }

    /** Returns a live engine of which only load and speed are known. */
    public static EngineView of(
            BackEnd backEnd,
            ModelId model,
            String version,
            LoadReport load,
            long reportedAtMs,
            SpeedEstimate speed) {
        EngineState state = backEnd.leaving() ? EngineState.LEAVING : EngineState.LIVE;
        return new EngineView(
                backEnd, model, version, state, load, reportedAtMs, speed, CacheHints.none(), 1);
    }

    /** Returns this engine in {@code newState}, with {@code share} of its capacity usable. */
    public EngineView withState(EngineState newState, double share) {
        return new EngineView(
                backEnd, model, version, newState, load, reportedAtMs, speed, cache, share);
    }

    /** Returns this engine with other hints on its cache. */
    public EngineView withCache(CacheHints hints) {
        return new EngineView(
                backEnd, model, version, state, load, reportedAtMs, speed, hints, loadShare);
    }

    public EngineId id() {
        return backEnd.id();
    }

    /** Returns the sequences that may be in the batch at once. */
    public int usableCapacity() {
        return Math.max(1, (int) (load.capacity() * loadShare));
    }

    /** Tells whether new work may go here; either source that says leaving is enough. */
    public boolean takesNewWork() {
        return state.takesNewWork() && !backEnd.leaving();
    }
}
