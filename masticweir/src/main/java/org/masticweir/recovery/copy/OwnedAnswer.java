package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.generation.AnswerLog;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;

/** A request that this router owns, as other routers may read it. */
public record OwnedAnswer(
        CopyEpoch epoch, RequestSpec spec, GenerationSpec generation, AnswerLog log) {
    public OwnedAnswer {
        checkNotNull(epoch, "epoch");
        checkNotNull(spec, "spec");
        checkNotNull(generation, "generation");
        checkNotNull(log, "log");
    }
}
