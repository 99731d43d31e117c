package org.masticweir.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what a load will ask for. */
class LoadPlanTest {
    private static LoadPlan plan(Mix mix, long seed, String tag) {
        return LoadPlan.draw(LoadShape.of(mix, 100, 20, seed, 1), tag);
    }

    private static List<String> work(LoadPlan plan) {
        return plan.calls().stream()
                .map(c -> c.atMs() + c.request().team() + c.profile().name())
                .toList();
    }

    private static List<Integer> lengths(LoadPlan plan) {
        return plan.calls().stream()
                .map(c -> c.request().maxTokens() * 10_000 + c.request().prompt().length())
                .toList();
    }

    /** The times of the calls. */
    @Nested
    class Arrivals {
        @Test
        void comeAtTheRateAskedFor() {
            ImmutableLongArray times = new PoissonArrivals(50).until(200_000, new Random(7));
            assertEquals(10_000, times.length(), 400);
            assertTrue(times.stream().allMatch(t -> t >= 0 && t < 200_000));
        }

        @Test
        void haveGapsAsIrregularAsAPoissonProcess() {
            ImmutableLongArray times = new PoissonArrivals(10).until(500_000, new Random(7));
            long longGaps = 0;
            for (int i = 1; i < times.length(); i++) {
                longGaps += times.get(i) - times.get(i - 1) > 200 ? 1 : 0;
            }
            // A gap is over twice the mean with probability e^-2, 13.5 in 100.
            assertEquals(0.135, (double) longGaps / times.length(), 0.02);
        }
    }

    @Test
    void burstsComeBesideTheOtherCalls() {
        Burst burst = Burst.parse("training,lookups,4000,2000,50");
        LoadShape shape = new LoadShape(Mix.SPAARSTRAAL, 10, 5, 1, 1, 0, ImmutableList.of(burst));
        List<PlannedCall> calls = LoadPlan.draw(shape, "burst").calls();
        List<String> others = work(LoadPlan.draw(LoadShape.of(Mix.SPAARSTRAAL, 10, 5, 1, 1), "n"));
        assertEquals(100, calls.size() - others.size(), 30);
        assertTrue(
                calls.stream()
                        .map(PlannedCall::atMs)
                        .toList()
                        .equals(calls.stream().map(PlannedCall::atMs).sorted().toList()));
    }

    /** What a seed decides and what it does not. */
    @Nested
    class Seeds {
        @Test
        void giveTheSameWorkInEveryRun() {
            LoadPlan a = plan(Mix.SPAARSTRAAL, 3, "a");
            LoadPlan b = plan(Mix.SPAARSTRAAL, 3, "b");
            assertEquals(work(a), work(b));
            assertEquals(lengths(a), lengths(b));
        }

        @Test
        void giveOtherWorkWhenTheyDiffer() {
            assertNotEquals(
                    work(plan(Mix.SPAARSTRAAL, 3, "a")), work(plan(Mix.SPAARSTRAAL, 4, "a")));
        }

        @Test
        void doNotLetRunsShareKeysOrPrompts() {
            PlannedCall a = plan(Mix.TUBERCOLO, 3, "a").calls().get(0);
            PlannedCall b = plan(Mix.TUBERCOLO, 3, "b").calls().get(0);
            assertNotEquals(a.requestId(), b.requestId());
            assertNotEquals(a.request().prompt(), b.request().prompt());
        }
    }

    @ParameterizedTest
    @EnumSource(Mix.class)
    void drawsTenTeamsOfWhichFewAreLargeAndLongTails(Mix mix) {
        LoadPlan plan = plan(mix, 1, "t");
        var byTeam =
                plan.calls().stream()
                        .collect(
                                Collectors.groupingBy(
                                        c -> c.request().team(), Collectors.counting()));
        assertEquals(10, byTeam.size());
        assertTrue(byTeam.values().stream().filter(n -> n > plan.calls().size() / 7).count() <= 3);
        int[] reports =
                plan.calls().stream()
                        .filter(c -> c.profile().name().endsWith("reports"))
                        .mapToInt(c -> c.request().maxTokens())
                        .sorted()
                        .toArray();
        assertTrue(reports[reports.length * 95 / 100] > 2 * reports[reports.length / 2]);
    }

    @Test
    void sharesPromptPrefixesWithinARun() {
        long templates =
                plan(Mix.SPAARSTRAAL, 1, "t").calls().stream()
                        .filter(c -> c.profile().name().equals("reports"))
                        .map(c -> c.request().prompt().subArray(0, 256))
                        .distinct()
                        .count();
        assertEquals(4, templates);
    }
}
