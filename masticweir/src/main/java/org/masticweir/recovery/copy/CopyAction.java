package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.generation.AnswerEnd;
import org.masticweir.id.RouterId;

/** What the adapter of one owned request is to do next, in the order given. */
public sealed interface CopyAction {
    /** Send the command; answer with {@code Answered} of this number, or {@code HolderLost}. */
    record SendToHolder(RouterId holder, long number, CopyCommand command) implements CopyAction {
        public SendToHolder {
            checkNotNull(holder, "holder");
            checkNotNull(command, "command");
        }
    }

    /** The router owns the request: send its first attempt, or go on with it. */
    record Start() implements CopyAction {}

    /** Another router owns the request; nothing was sent here. Read the answer from there. */
    record Join(CopyEpoch epoch) implements CopyAction {
        public Join {
            checkNotNull(epoch, "epoch");
        }
    }

    /** Let callers see all tokens below {@code index} of generation {@code generation}. */
    record ReleaseTo(int generation, int index) implements CopyAction {}

    /** Let callers see the end; every token was released before. */
    record ReleaseEnd(AnswerEnd end) implements CopyAction {
        public ReleaseEnd {
            checkNotNull(end, "end");
        }
    }

    /** Tokens are released without a copy from now on, or no longer. */
    record Unprotected(boolean now) implements CopyAction {}

    /**
     * The request was taken over under {@code by}.
     *
     * <p>Close the engine's stream without cancelling the generation, which the new owner reads,
     * and end the callers here with SUPERSEDED. No action follows.
     */
    record Fenced(CopyEpoch by) implements CopyAction {
        public Fenced {
            checkNotNull(by, "by");
        }
    }

    /** Feed a {@code Tick} at {@code atMs}; replaces an earlier wake-up. */
    record WakeAt(long atMs) implements CopyAction {}
}
