package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ComparisonChain;
import com.google.common.primitives.ImmutableIntArray;
import java.util.Optional;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RequestId;

/**
 * All that a router needs to go on with another router's request.
 *
 * @param placement where the generation runs; empty before the first attempt
 * @param tokens the tokens copied, from index 0; empty where only the placement is copied
 * @param end how the answer ended, if it has
 * @param ageMs time since the request was accepted, so that a take-over extends no deadline
 */
public record GenerationCopy(
        CopyEpoch epoch,
        RequestSpec spec,
        GenerationSpec generation,
        Optional<Placement> placement,
        ImmutableIntArray tokens,
        Optional<AnswerEnd> end,
        long ageMs) {
    public GenerationCopy {
        checkNotNull(epoch, "epoch");
        checkNotNull(spec, "spec");
        checkNotNull(generation, "generation");
        checkNotNull(placement, "placement");
        checkNotNull(tokens, "tokens");
        checkNotNull(end, "end");
        checkArgument(ageMs >= 0, "age %s ms", ageMs);
        RequestId mine = spec.id();
        checkArgument(generation.id().request().equals(mine), "generation of another request");
    }

    /** Returns the copy of a request that no attempt was sent of. */
    public static GenerationCopy fresh(
            CopyEpoch epoch, RequestSpec spec, GenerationSpec generation) {
        return new GenerationCopy(
                epoch,
                spec,
                generation,
                Optional.empty(),
                ImmutableIntArray.of(),
                Optional.empty(),
                0);
    }

    public RequestId request() {
        return spec.id();
    }

    public GenerationCopy withEpoch(CopyEpoch other) {
        return new GenerationCopy(other, spec, generation, placement, tokens, end, ageMs);
    }

    /** Tells whether this copy knows more of the answer than {@code other}, epochs aside. */
    public boolean isAheadOf(GenerationCopy other) {
        return ComparisonChain.start()
                        .compare(generation.id().number(), other.generation.id().number())
                        .compare(tokens.length(), other.tokens.length())
                        .compareFalseFirst(end.isPresent(), other.end.isPresent())
                        .compare(attemptNumber(), other.attemptNumber())
                        .result()
                > 0;
    }

    private int attemptNumber() {
        return placement.map(p -> p.attempt().number()).orElse(0);
    }
}
