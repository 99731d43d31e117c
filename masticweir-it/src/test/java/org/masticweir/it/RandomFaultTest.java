package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Every promise of the brief holds under faults that a seed draws, on real processes.
 *
 * <p>Engines and routers are killed, frozen, drained and cut off, the platform is out, slow and
 * loses answers, operators race, engines leave, while callers send reports, lookups, letters and
 * bookings and come back when they are cut off. Checked are the records of callers, operators and
 * stand-ins. The property {@code masticweir.seeds} names other seeds, as in {@code
 * -Dmasticweir.seeds=17,23}, or has fresh ones drawn, as in {@code -Dmasticweir.seeds=random:10}; a
 * seed that fails is named in the failure.
 */
final class RandomFaultTest {
    private static final String SEEDS = "masticweir.seeds";
    private static final String FRESH = "random:";
    private static final ImmutableList<Long> FIXED = ImmutableList.of(1L, 2L, 3L);
    private static final int SEED_BOUND = 1_000_000;

    static Stream<Long> seeds() {
        String given = System.getProperty(SEEDS, "");
        if (given.startsWith(FRESH)) {
            int count = Integer.parseInt(given.substring(FRESH.length()));
            return ThreadLocalRandom.current().longs(count, 0, SEED_BOUND).boxed();
        }
        if (given.isEmpty()) {
            return FIXED.stream();
        }
        return Splitter.on(',').splitToStream(given).map(Long::valueOf);
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void everyPromiseHolds(long seed) {
        FaultRun run = FaultRunner.play(FaultPlan.of(seed));
        ImmutableList.Builder<String> all = ImmutableList.builder();
        StringBuilder checks = new StringBuilder("checks");
        for (PromiseCheck check : PromiseCheck.ALL) {
            ImmutableList<String> found = check.violations(run);
            checks.append(' ').append(check.name());
            checks.append(found.isEmpty() ? " held," : " VIOLATED " + found.size() + "x,");
            found.forEach(v -> all.add(check.name() + ": " + v));
        }
        System.out.println(run.line(checks.toString()));
        List<String> violations = all.build();
        assertTrue(
                violations.isEmpty(),
                () ->
                        "seed "
                                + seed
                                + " "
                                + run.plan().steps()
                                + "\n"
                                + String.join("\n", violations));
        assertTrue(
                run.traces().stream().anyMatch(t -> t.verdict().equals("COMPLETED")),
                "no call was answered");
    }

    /** The seeds that continuous integration plays would prove little if they left out a kind. */
    @Test
    void theFixedSeedsDrawEveryKindOfStep() {
        ImmutableSet<FaultStep.Kind> drawn =
                FIXED.stream()
                        .flatMap(s -> FaultPlan.of(s).steps().stream())
                        .map(FaultStep::kind)
                        .collect(ImmutableSet.toImmutableSet());
        assertEquals(EnumSet.allOf(FaultStep.Kind.class), drawn);
    }
}
