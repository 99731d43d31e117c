package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMultiset;
import org.masticweir.id.EngineId;
import org.masticweir.routing.EngineFailure;

/** What traffic threads saw of one engine between two looks of the control thread; immutable. */
public record EngineEvents(
        EngineId engine,
        ImmutableMultiset<EngineFailure> failures,
        int goodProbes,
        int failedProbes) {
    public EngineEvents {
        checkNotNull(engine, "engine");
        checkNotNull(failures, "failures");
    }

    boolean isEmpty() {
        return failures.isEmpty() && goodProbes == 0 && failedProbes == 0;
    }
}
