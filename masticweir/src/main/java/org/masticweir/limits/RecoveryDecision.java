package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.ErrorCode;
import org.masticweir.id.GenerationId;

/** The decision on a recovery; immutable. */
public sealed interface RecoveryDecision {
    /** Returns the generation that was decided on. */
    GenerationId generation();

    /** The generation may be sent to another engine now. */
    record Start(GenerationId generation) implements RecoveryDecision {
        public Start {
            checkNotNull(generation, "generation");
        }
    }

    /** The generation waits; a later {@link RecoveryAdmissionController#tick} decides. */
    record Wait(GenerationId generation) implements RecoveryDecision {
        public Wait {
            checkNotNull(generation, "generation");
        }
    }

    /** The generation can't be recovered in time. */
    record GiveUp(GenerationId generation, ErrorCode code) implements RecoveryDecision {
        public GiveUp {
            checkNotNull(generation, "generation");
            checkNotNull(code, "code");
        }
    }
}
