package org.masticweir.recovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.error.ErrorCode;

/** One request under thousands of interleavings of what engines and links do. */
class RecoveryPropertyTest {
    private static final int MAX_CHOICE = 100_000;
    private static final int MIN_STEPS = 1;
    private static final int MAX_STEPS = 300;
    private static final int RUNS = 600;

    @Provide
    Arbitrary<List<Integer>> scripts() {
        return Arbitraries.integers()
                .between(0, MAX_CHOICE)
                .withDistribution(RandomDistribution.uniform())
                .list()
                .ofMinSize(MIN_STEPS)
                .ofMaxSize(MAX_STEPS);
    }

    /**
     * A family reads a report with a sentence missing, doubled, or from another computation; or
     * gets a letter twice; or waits for ever. Engines die, pause, refuse and echo wrongly, links
     * break before and after a send, and what is on its way comes late, twice or in any order. The
     * cause would be a frame, an answer or a probe that is taken for one of the current attempt.
     */
    @Property(tries = 20_000, seed = "20261202")
    void answerIsWholeOrGivenUpOnceWithTrueVerdict(
            @ForAll RecoveryWorld.Origin origin,
            @ForAll boolean idempotent,
            @ForAll boolean allowReset,
            @ForAll RecoveryPreset preset,
            @ForAll("scripts") List<Integer> script) {
        RecoveryWorld world =
                new RecoveryWorld(new RecoveryWorld.Plan(origin, idempotent, allowReset, preset));
        script.forEach(world::step);
        world.finish();
    }

    /**
     * The world above is hard enough: all outcomes occur, and reading frames plainly fails in it.
     */
    @Example
    void worldShowsAllOutcomesAndBreaksPlainReader() {
        Map<ErrorCode, Integer> errors = new EnumMap<>(ErrorCode.class);
        int finished = 0;
        int resets = 0;
        int plainFailures = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            RecoveryWorld world = run(new Random(seed));
            finished += world.finished() ? 1 : 0;
            resets += world.resets();
            plainFailures += world.plainReaderFails() ? 1 : 0;
            world.errorCode().ifPresent(code -> errors.merge(code, 1, Integer::sum));
        }
        String seen = finished + " finished, " + resets + " resets, " + errors;
        assertTrue(finished > RUNS / 20, seen);
        assertTrue(resets > RUNS / 50, seen);
        assertTrue(plainFailures > RUNS / 4, plainFailures + " plain failures");
        for (ErrorCode code :
                List.of(
                        ErrorCode.ENGINE_LOST,
                        ErrorCode.NO_ENGINE,
                        ErrorCode.CANCELLED,
                        ErrorCode.DEADLINE_EXCEEDED)) {
            assertTrue(errors.getOrDefault(code, 0) > 0, seen);
        }
    }

    private static RecoveryWorld run(Random random) {
        RecoveryWorld.Origin[] origins = RecoveryWorld.Origin.values();
        RecoveryWorld.Plan plan =
                new RecoveryWorld.Plan(
                        origins[random.nextInt(origins.length)],
                        random.nextBoolean(),
                        random.nextBoolean(),
                        RecoveryPreset.PROMPT);
        RecoveryWorld world = new RecoveryWorld(plan);
        for (int i = 0; i < MAX_STEPS; i++) {
            world.step(random.nextInt(MAX_CHOICE));
        }
        world.finish();
        return world;
    }
}
