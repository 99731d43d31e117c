package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The faults and the calls of one run, drawn from a seed; the same seed draws the same; immutable.
 *
 * <p>Steps overlap freely, but at most two routers and two engines are struck at a time, so that
 * callers have a router to go to, and no two steps strike the same process at once. The cuts
 * between domains are drawn apart, so that a seed draws the other steps that it drew before there
 * were any.
 */
final class FaultPlan {
    /** Time over which calls are made. */
    static final long LOAD_MS = 7_500;

    static final int ROUTERS = 4;
    static final int ENGINES = 4;

    private static final int STEPS = 11;
    private static final int TRIES = 40;
    private static final int FIRST_MS = 600;
    private static final int LAST_MS = 6_000;
    private static final int LAST_END_MS = 9_000;
    private static final int AT_ONCE = 2;
    private static final int MODES = 5;
    private static final int CALL_EVERY_MS = 120;
    private static final int DUPLICATE_ONE_IN = 6;

    private final long seed;
    private final ImmutableList<FaultStep> steps;
    private final ImmutableList<PlannedCall> calls;

    /** What a call asks for. */
    enum Work {
        REPORT(100, 260),
        LOOKUP(5, 25),
        LETTER(30, 140),
        SERVICE(1, 2);

        private final int least;
        private final int most;

        Work(int least, int most) {
            this.least = least;
            this.most = most;
        }

        /** Returns the count of tokens of one such call. */
        int tokens(Random random) {
            return least + random.nextInt(most - least);
        }
    }

    /**
     * One call.
     *
     * @param router number of the router that it is first sent to
     * @param twin number of the router that gets the same key at the same moment, or -1
     */
    record PlannedCall(long atMs, Work work, int tokens, int router, int twin) {
        PlannedCall {
            checkNotNull(work, "work");
        }
    }

    private FaultPlan(long seed, List<FaultStep> steps, List<PlannedCall> calls) {
        this.seed = seed;
        this.steps = ImmutableList.copyOf(steps);
        this.calls = ImmutableList.copyOf(calls);
    }

    static FaultPlan of(long seed) {
        Random random = new Random(seed);
        List<FaultStep> steps = withCutsOfDomains(drawSteps(random), new Random(~seed));
        return new FaultPlan(seed, steps, drawCalls(random));
    }

    long seed() {
        return seed;
    }

    /** Returns the steps, the earliest first. */
    ImmutableList<FaultStep> steps() {
        return steps;
    }

    /** Returns the calls, the earliest first. */
    ImmutableList<PlannedCall> calls() {
        return calls;
    }

    private static List<FaultStep> drawSteps(Random random) {
        List<FaultStep.Kind> kinds =
                new ArrayList<>(
                        Arrays.stream(FaultStep.Kind.values())
                                .filter(k -> !k.cutsDomains())
                                .toList());
        Collections.shuffle(kinds, random);
        List<FaultStep> steps = new ArrayList<>();
        for (FaultStep.Kind kind : kinds.subList(0, STEPS)) {
            place(kind, steps, random);
        }
        place(FaultStep.Kind.RACE_OF_OPERATORS, steps, random);
        return steps;
    }

    /** Adds the cuts between domains, which every plan has; drawn apart from all the rest. */
    private static List<FaultStep> withCutsOfDomains(List<FaultStep> steps, Random random) {
        Arrays.stream(FaultStep.Kind.values())
                .filter(FaultStep.Kind::cutsDomains)
                .forEach(k -> place(k, steps, random));
        steps.sort(Comparator.comparingLong(FaultStep::atMs));
        return steps;
    }

    /** Adds a step of {@code kind} where it fits, or none. */
    private static void place(FaultStep.Kind kind, List<FaultStep> steps, Random random) {
        for (int i = 0; i < TRIES; i++) {
            FaultStep step = draw(kind, random);
            if (fits(step, steps)) {
                steps.add(step);
                return;
            }
        }
    }

    private static FaultStep draw(FaultStep.Kind kind, Random random) {
        int forMs = kind.leastMs() + random.nextInt(kind.mostMs() - kind.leastMs());
        int lastMs = Math.min(LAST_MS, LAST_END_MS - forMs);
        long atMs = FIRST_MS + random.nextInt(lastMs - FIRST_MS);
        int target = random.nextInt(targets(kind.strikes()));
        int other = random.nextInt(MODES);
        return new FaultStep(atMs, kind, target, other, forMs);
    }

    private static int targets(FaultStep.Strikes strikes) {
        return switch (strikes) {
            case ENGINE -> ENGINES;
            case ROUTER, PEER_LINK -> ROUTERS;
            case DOMAIN, SERVICE -> 2;
            case PLATFORM, OPERATORS -> 1;
        };
    }

    private static boolean fits(FaultStep step, List<FaultStep> steps) {
        List<FaultStep> together = steps.stream().filter(step::overlaps).toList();
        long struck =
                together.stream().filter(s -> s.kind().strikes() == step.kind().strikes()).count();
        return struck < AT_ONCE && together.stream().noneMatch(step::strikesLike);
    }

    private static List<PlannedCall> drawCalls(Random random) {
        List<PlannedCall> calls = new ArrayList<>();
        for (long atMs = 0; atMs < LOAD_MS; atMs += 1 + random.nextInt(2 * CALL_EVERY_MS)) {
            Work work = Work.values()[random.nextInt(Work.values().length)];
            int router = random.nextInt(ROUTERS);
            boolean twice = random.nextInt(DUPLICATE_ONE_IN) == 0;
            int twin = twice ? (router + 1 + random.nextInt(ROUTERS - 1)) % ROUTERS : -1;
            calls.add(new PlannedCall(atMs, work, work.tokens(random), router, twin));
        }
        return calls;
    }
}
