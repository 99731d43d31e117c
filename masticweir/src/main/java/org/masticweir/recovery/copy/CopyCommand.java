package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import java.util.Optional;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.id.RequestId;

/** What an owner tells the holder of its copy; each may be repeated without harm. */
public sealed interface CopyCommand {
    RequestId request();

    CopyEpoch epoch();

    /** Open the copy of a new request, unless another router owns the request already. */
    record Open(GenerationCopy copy) implements CopyCommand {
        public Open {
            checkNotNull(copy, "copy");
        }

        @Override
        public RequestId request() {
            return copy.request();
        }

        @Override
        public CopyEpoch epoch() {
            return copy.epoch();
        }
    }

    /** Hold this whole copy, unless a higher epoch is known here. */
    record Replace(GenerationCopy copy) implements CopyCommand {
        public Replace {
            checkNotNull(copy, "copy");
        }

        @Override
        public RequestId request() {
            return copy.request();
        }

        @Override
        public CopyEpoch epoch() {
            return copy.epoch();
        }
    }

    /**
     * Add to a copy that the holder has.
     *
     * @param generation number of the generation that the tokens belong to
     * @param from index of the first token
     * @param placement the newest placement, when it changed
     * @param end how the answer ended, once it has
     */
    record Append(
            RequestId request,
            CopyEpoch epoch,
            int generation,
            int from,
            ImmutableIntArray tokens,
            Optional<Placement> placement,
            Optional<AnswerEnd> end)
            implements CopyCommand {
        public Append {
            checkNotNull(request, "request");
            checkNotNull(epoch, "epoch");
            checkArgument(generation >= 1, "generation %s", generation);
            checkArgument(from >= 0, "from %s", from);
            checkNotNull(tokens, "tokens");
            checkNotNull(placement, "placement");
            checkNotNull(end, "end");
        }
    }
}
