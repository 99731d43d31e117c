package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Whether and how much an engine may be used; immutable.
 *
 * @param loadShare share of its capacity that may be used, above 0 to 1
 */
public record Standing(EngineState state, double loadShare) {
    static final Standing GOOD = new Standing(EngineState.LIVE, 1);

    public Standing {
        checkNotNull(state, "state");
        checkArgument(loadShare > 0 && loadShare <= 1, "load share %s outside 0 to 1", loadShare);
    }

    /** Returns {@code engine} in this standing; an engine that leaves goes on leaving. */
    public EngineView applyTo(EngineView engine) {
        return engine.state() == EngineState.LEAVING ? engine : engine.withState(state, loadShare);
    }
}
