package org.masticweir.serving;

import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineFailure;

/** Plays the traffic threads' part towards {@link EngineTraffic} in tests of other packages. */
public record TrafficSource(EngineTraffic traffic) {
    public void failed(EngineId engine, EngineFailure failure) {
        traffic.failed(engine, failure);
    }

    public void gaps(EngineId engine, ModelId model, int count, long ms) {
        for (int i = 0; i < count; i++) {
            traffic.pace(engine, model).gap(ms, 1);
        }
    }

    public void firstToken(EngineId engine, ModelId model, int tokens, long ms) {
        traffic.pace(engine, model).firstToken(tokens, ms);
    }
}
