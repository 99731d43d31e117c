package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.id.RouterId;

/** What happened to an owned request, as far as its copy is concerned. */
public sealed interface CopyEvent {
    /** An attempt is about to be sent to an engine, or read again there. */
    record Placed(Placement placement) implements CopyEvent {
        public Placed {
            checkNotNull(placement, "placement");
        }
    }

    /** The token source now has {@code count} tokens of the current generation. */
    record Accepted(int count) implements CopyEvent {
        public Accepted {
            checkArgument(count >= 0, "count %s", count);
        }
    }

    /** All tokens before are void; the token source is empty again. */
    record NewGeneration(GenerationSpec generation) implements CopyEvent {
        public NewGeneration {
            checkNotNull(generation, "generation");
        }
    }

    /** The answer ended, with no further token. */
    record Ended(AnswerEnd end) implements CopyEvent {
        public Ended {
            checkNotNull(end, "end");
        }
    }

    /** {@code holder} answered the command of this number. */
    record Answered(RouterId holder, long number, HolderAnswer answer) implements CopyEvent {
        public Answered {
            checkNotNull(holder, "holder");
            checkNotNull(answer, "answer");
        }
    }

    /** The link to {@code holder} is down, or a command could not be sent to it. */
    record HolderLost(RouterId holder) implements CopyEvent {
        public HolderLost {
            checkNotNull(holder, "holder");
        }
    }

    /** Time passed. */
    record Tick() implements CopyEvent {}
}
