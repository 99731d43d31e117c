package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import org.masticweir.id.AttemptId;

/** One frame of an engine's stream; each names request, generation, attempt and token index. */
public sealed interface Frame {
    /** Returns the attempt that the engine says this frame belongs to. */
    AttemptId attempt();

    /** The engine's echo of an accepted attempt; {@code first} is the index it goes on from. */
    record Start(AttemptId attempt, int first) implements Frame {
        public Start {
            checkNotNull(attempt, "attempt");
            checkArgument(first >= 0, "first index %s", first);
        }
    }

    /** Tokens from {@code index} on. */
    record Tokens(AttemptId attempt, int index, ImmutableIntArray tokens) implements Frame {
        public Tokens {
            checkNotNull(attempt, "attempt");
            checkArgument(index >= 0, "index %s", index);
            checkNotNull(tokens, "tokens");
        }
    }

    /** The end of the answer; {@code index} is the count of all its tokens. */
    record End(AttemptId attempt, int index) implements Frame {
        public End {
            checkNotNull(attempt, "attempt");
            checkArgument(index >= 0, "index %s", index);
        }
    }
}
