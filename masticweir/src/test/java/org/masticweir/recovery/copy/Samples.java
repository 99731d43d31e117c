package org.masticweir.recovery.copy;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/** The values that the tests of this package share. */
final class Samples {
    static final RouterId A = RouterId.of("router-a");
    static final RouterId B = RouterId.of("router-b");
    static final RouterId H1 = RouterId.of("holder-1");
    static final RouterId H2 = RouterId.of("holder-2");
    static final RouterId H3 = RouterId.of("holder-3");
    static final RequestId REQUEST = RequestId.of("request-1");
    static final CopyEpoch FIRST = CopyEpoch.first(A);
    static final HolderRanking RANKING = (request, owner, n) -> ImmutableList.of(H1, H2, H3);

    private Samples() {}

    static RequestSpec spec(RequestId id) {
        return new RequestSpec(
                id,
                TeamId.of("team"),
                WorkClassId.of("reports"),
                ModelId.of("report"),
                true,
                ImmutableIntArray.of(11, 12),
                "",
                200,
                false);
    }

    static GenerationSpec generation(RequestId id, int number) {
        return new GenerationSpec(GenerationId.of(id, number), "3", "", 42);
    }

    static GenerationCopy fresh(CopyEpoch epoch) {
        return GenerationCopy.fresh(epoch, spec(REQUEST), generation(REQUEST, 1));
    }

    static GenerationCopy copy(CopyEpoch epoch, int... tokens) {
        GenerationCopy f = fresh(epoch);
        return new GenerationCopy(
                epoch,
                f.spec(),
                f.generation(),
                Optional.empty(),
                ImmutableIntArray.copyOf(tokens),
                Optional.empty(),
                0);
    }

    static CopyCommand.Append append(CopyEpoch epoch, int from, int... tokens) {
        return new CopyCommand.Append(
                REQUEST,
                epoch,
                1,
                from,
                ImmutableIntArray.copyOf(tokens),
                Optional.empty(),
                Optional.empty());
    }

    static Placement placement(int attempt, String engine) {
        AttemptId id = AttemptId.of(GenerationId.of(REQUEST, 1), attempt);
        return new Placement(id, EngineId.of(engine));
    }

    static int[] tokens(int from, int to) {
        return IntStream.range(from, to).map(i -> 1000 + i).toArray();
    }

    static ImmutableIntArray slice(List<Integer> all, int from, int to) {
        return ImmutableIntArray.copyOf(all.subList(from, to));
    }
}
