package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.masticweir.bench.caller.CallRequest;

/**
 * All calls of a load, drawn from a seed before it starts; immutable.
 *
 * <p>Two plans of one seed differ in nothing but the run's tag, which keeps their idempotency keys
 * apart.
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
        Random random = new Random(shape.seed());
        long endMs = Math.round(shape.seconds() * MS_PER_S);
        ImmutableLongArray times = new PoissonArrivals(shape.ratePerS()).until(endMs, random);
        ImmutableList<ClassProfile> profiles =
                shape.mix().classes().stream()
                        .map(c -> c.scaled(shape.scaleTokens()))
                        .collect(ImmutableList.toImmutableList());
        WeightedChoice<ClassProfile> classes = WeightedChoice.of(profiles, ClassProfile::weight);
        WeightedChoice<TeamShare> teams = WeightedChoice.of(shape.mix().teams(), TeamShare::share);
        ImmutableList.Builder<PlannedCall> calls = ImmutableList.builder();
        for (int i = 0; i < times.length(); i++) {
            ClassProfile profile = classes.draw(random);
            String team = teams.draw(random).team();
            CallRequest request = request(profile, team, tag + "-" + i, random);
            calls.add(new PlannedCall(times.get(i), profile, request));
        }
        return new LoadPlan(shape, calls.build());
    }

    private static CallRequest request(
            ClassProfile profile, String team, String key, RandomGenerator random) {
        return new CallRequest(
                team,
                team + "-secret",
                profile.name(),
                profile.model(),
                key,
                profile.idempotent(),
                profile.drawPrompt(random),
                "",
                profile.output().draw(random));
    }

    LoadShape shape() {
        return shape;
    }

    /** Returns the calls in order of arrival. */
    ImmutableList<PlannedCall> calls() {
        return calls;
    }
}
