package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.masticweir.id.EngineId;

/** The standing of every engine watched, as of one moment; immutable. */
public record HealthView(Map<EngineId, Standing> standings) {
    public HealthView {
        standings = ImmutableMap.copyOf(checkNotNull(standings, "standings"));
    }

    /** Returns the standing of {@code engine}; good for one that is not watched yet. */
    public Standing of(EngineId engine) {
        return standings.getOrDefault(checkNotNull(engine, "engine"), Standing.GOOD);
    }
}
