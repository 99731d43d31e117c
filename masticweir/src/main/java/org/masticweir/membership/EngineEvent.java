package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.engine.BackEnd;
import org.masticweir.id.EngineId;

/** Something that {@link EngineMembership} decides on. */
public sealed interface EngineEvent {
    /** The instance list was read; it lags. */
    record Listed(List<BackEnd> backEnds) implements EngineEvent {
        public Listed {
            backEnds = ImmutableList.copyOf(backEnds);
        }
    }

    /** A back end answered, by itself or through the peer that asks it for the domain. */
    record Reported(EngineId engine, boolean leaving) implements EngineEvent {
        public Reported {
            checkNotNull(engine, "engine");
        }
    }

    /** An order was applied that makes a back end leave, or serve again. */
    record Ordered(EngineId engine, boolean leaving) implements EngineEvent {
        public Ordered {
            checkNotNull(engine, "engine");
        }
    }
}
