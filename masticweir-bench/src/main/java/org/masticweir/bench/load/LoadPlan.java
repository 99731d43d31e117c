package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.Comparator;
import java.util.Random;
import org.masticweir.bench.caller.CallRequest;

/**
 * All calls of a load, drawn from a seed before it starts; immutable.
 *
 * <p>Two plans of one seed ask for the same work at the same times; the run's tag keeps their
 * idempotency keys and the token ids of their prompts apart.
 */
public final class LoadPlan {
    private static final long MS_PER_S = 1000;

    private final LoadShape shape;
    private final ImmutableList<PlannedCall> calls;

    private LoadPlan(LoadShape shape, ImmutableList<PlannedCall> calls) {
        this.shape = shape;
        this.calls = calls;
    }

    /** Draws the calls of {@code shape}; {@code tag} is unique to the run. */
    public static LoadPlan draw(LoadShape shape, String tag) {
        checkNotNull(shape, "shape");
        checkArgument(!tag.isEmpty(), "no tag");
        return new LoadPlan(shape, new Drawing(shape, tag).calls());
    }

    /** The sources of chance of one plan; not thread-safe. */
    private static final class Drawing {
        private final LoadShape shape;
        private final String tag;
        private final Random random;
        private final Random content;
        private final ImmutableList<ClassProfile> profiles;
        private final WeightedChoice<ClassProfile> classes;
        private final WeightedChoice<TeamShare> teams;

        Drawing(LoadShape shape, String tag) {
            this.shape = shape;
            this.tag = tag;
            random = new Random(shape.seed());
            content = new Random(tag.hashCode());
            profiles =
                    shape.mix().classes().stream()
                            .map(c -> c.scaled(shape.scaleTokens()))
                            .collect(ImmutableList.toImmutableList());
            classes = WeightedChoice.of(profiles, ClassProfile::weight);
            teams = WeightedChoice.of(shape.mix().teams(), TeamShare::share);
        }

        ImmutableList<PlannedCall> calls() {
            long endMs = Math.round(shape.seconds() * MS_PER_S);
            ImmutableLongArray times = new PoissonArrivals(shape.ratePerS()).until(endMs, random);
            ImmutableList.Builder<PlannedCall> calls = ImmutableList.builder();
            for (int i = 0; i < times.length(); i++) {
                ClassProfile profile = classes.draw(random);
                CallRequest request = request(profile, tag + "-" + i);
                calls.add(new PlannedCall(times.get(i), profile, request));
            }
            shape.bursts().forEach(b -> add(b, calls));
            return calls.build().stream()
                    .sorted(Comparator.comparingLong(PlannedCall::atMs))
                    .collect(ImmutableList.toImmutableList());
        }

        private void add(Burst burst, ImmutableList.Builder<PlannedCall> calls) {
            ClassProfile profile =
                    profiles.stream()
                            .filter(p -> p.name().equals(burst.workClass()))
                            .findFirst()
                            .orElseThrow();
            ImmutableLongArray times =
                    new PoissonArrivals(burst.ratePerS()).until(burst.forMs(), random);
            for (int i = 0; i < times.length(); i++) {
                String key = tag + "-" + burst.team() + burst.fromMs() + "-" + i;
                CallRequest request = request(profile, burst.team(), key);
                calls.add(new PlannedCall(burst.fromMs() + times.get(i), profile, request));
            }
        }

        private CallRequest request(ClassProfile profile, String key) {
            return request(profile, teams.draw(random).team(), key);
        }

        private CallRequest request(ClassProfile profile, String team, String key) {
            return new CallRequest(
                    team,
                    team + "-secret",
                    profile.name(),
                    profile.model(),
                    key,
                    profile.idempotent(),
                    profile.drawPrompt(random, content, tag.hashCode()),
                    "",
                    profile.output().draw(random));
        }
    }

    LoadShape shape() {
        return shape;
    }

    /** Returns the calls in order of arrival. */
    ImmutableList<PlannedCall> calls() {
        return calls;
    }
}
