package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import org.masticweir.id.EngineId;

/**
 * A change of an engine's state, for the log and the next snapshot; immutable.
 *
 * @param gapMs the engine's token gap when it changed, in ms; 0 when unknown
 * @param limitMs the gap that its peers allow, in ms; 0 when unknown
 */
public record HealthChange(EngineId engine, EngineState state, double gapMs, double limitMs) {
    public HealthChange {
        checkNotNull(engine, "engine");
        checkNotNull(state, "state");
    }

    static HealthChange to(EngineId engine, EngineState state) {
        return new HealthChange(engine, state, 0, 0);
    }

    /** Returns the line to log, with its figures when the change follows from any. */
    public String logLine() {
        String name = Ascii.toLowerCase(state.name());
        return limitMs > 0
                ? "routing: engine %s %s, gap %.0f ms over %.0f ms"
                        .formatted(engine, name, gapMs, limitMs)
                : "routing: engine %s %s".formatted(engine, name);
    }
}
