package org.masticweir.limits;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticweir.limits.OverloadReplay.Profile;
import org.masticweir.limits.OverloadReplay.Tally;
import org.masticweir.settings.DaemonSettings;

/** Replays the mix of the Spaarstraal example at one and two times the load, on and off. */
class OverloadTest {
    private static final ImmutableList<Profile> LONG =
            ImmutableList.of(OverloadReplay.REPORTS, OverloadReplay.LETTERS);
    private static final ImmutableList<Profile> ALL =
            ImmutableList.of(
                    OverloadReplay.REPORTS,
                    OverloadReplay.LETTERS,
                    OverloadReplay.LOOKUPS,
                    OverloadReplay.CONFIRMATIONS);

    /** Requests a second that two engines serve within target. */
    private static final double LONG_RATE = 7.5;

    private static final double ALL_RATE = 20;

    private static List<OverloadReplay> replay(
            ImmutableList<Profile> mix, double load, String... lines) {
        double rate = (mix.equals(ALL) ? ALL_RATE : LONG_RATE) * load;
        return OverloadReplay.runs(mix, 2, limitSettings(lines), rate, 0);
    }

    private static LimitSettings limitSettings(String... lines) {
        return LimitSettings.of(
                DaemonSettings.parse(
                                "r.ini",
                                LimitTuningTest.MINIMAL_SETTINGS + String.join("\n", lines))
                        .limits());
    }

    private static Tally of(List<OverloadReplay> runs, Profile profile) {
        return OverloadReplay.sum(runs, r -> r.of(profile));
    }

    /** Prints and returns a replay, a line for each class. */
    private static List<OverloadReplay> replayAndPrint(
            ImmutableList<Profile> mix, double load, String... lines) {
        List<OverloadReplay> replay = replay(mix, load, lines);
        System.out.printf("%.1fx %s%n", load, String.join(", ", lines));
        mix.forEach(p -> System.out.printf("  %s %s%n", p.workClass().id(), of(replay, p)));
        return replay;
    }

    private static void assertGoodputKept(
            List<OverloadReplay> once, List<OverloadReplay> twice, ImmutableList<Profile> mix) {
        for (Profile p : mix) {
            Tally at1 = of(once, p);
            Tally at2 = of(twice, p);
            assertTrue(at2.inTarget >= 0.9 * at1.inTarget, p + ": " + at1 + ", " + at2);
        }
    }

    /** Goodput of each class at twice the load. */
    @Nested
    class TwiceTheLoad {
        /*
         * Families wait for letters that never come, while reports are served as ever. Reports
         * arrive at more than the engines can take; each free place goes to one of them, and all
         * letters are refused. Cause: the class with the shorter target always went first.
         */
        @Test
        void lettersKeepTheirShareBesideReports() {
            List<OverloadReplay> once = replayAndPrint(LONG, 1);
            List<OverloadReplay> twice = replayAndPrint(LONG, 2);
            assertGoodputKept(once, twice, LONG);
            assertTrue(of(twice, OverloadReplay.LETTERS).share() >= 0.98);
        }

        /*
         * Advisers wait at the door for a lookup while reports queue for the same engines. All
         * places are taken for seconds, and those that come free are too few for a burst of
         * lookups. Cause: no place is left for work that can't wait for one.
         */
        @Test
        void lookupsAndConfirmationsAreInTimeWhereReportsQueue() {
            List<OverloadReplay> once = replayAndPrint(ALL, 1);
            List<OverloadReplay> twice = replayAndPrint(ALL, 2);
            List<OverloadReplay> off =
                    replayAndPrint(ALL, 2, "headroom_percent = 0", "overcommit_percent = 0");
            assertGoodputKept(once, twice, ALL);
            assertTrue(of(twice, OverloadReplay.LOOKUPS).share() >= 0.95);
            assertTrue(of(twice, OverloadReplay.CONFIRMATIONS).share() >= 0.95);
            assertTrue(of(off, OverloadReplay.LOOKUPS).share() < 0.8);
        }

        /*
         * Callers hear only after seconds that they should come back later. What can't be served
         * in time waits until its target has passed. Cause: nothing predicts the wait.
         */
        @Test
        void lateRequestsAreRefusedEarly() {
            Tally on = of(replay(LONG, 2), OverloadReplay.REPORTS);
            Tally off =
                    of(
                            replayAndPrint(LONG, 2, "predicted_refusal = false"),
                            OverloadReplay.REPORTS);
            assertTrue(2 * on.refusedAfterMs / on.refused < off.refusedAfterMs / off.refused);
            assertTrue(on.late < off.late, on + ", " + off);
            assertTrue(on.inTarget > off.inTarget, on + ", " + off);
        }
    }

    /** Each mechanism against the same without it. */
    @Nested
    class Mechanisms {
        /** Returns the least part of a class's goodput at 1x that is left at {@code load}. */
        private double minGoodputKept(ImmutableList<Profile> mix, double load, String... lines) {
            List<OverloadReplay> once = replay(mix, 1);
            List<OverloadReplay> more = replayAndPrint(mix, load, lines);
            return mix.stream()
                    .mapToDouble(p -> (double) of(more, p).inTarget / of(once, p).inTarget)
                    .min()
                    .orElseThrow();
        }

        @ParameterizedTest
        @ValueSource(doubles = {1.5, 2})
        void classSharesKeepEachClass(double load) {
            double on = minGoodputKept(ALL, load);
            double off = minGoodputKept(ALL, load, "class_shares = false");
            assertTrue(on >= 0.9 && off < 0.9, on + " with, " + off + " without");
        }

        @ParameterizedTest
        @ValueSource(strings = {"headroom_percent = 0", "overcommit_percent = 0"})
        void headroomAndOvercommitKeepLookupsInTime(String off) {
            double on = of(replay(ALL, 2), OverloadReplay.LOOKUPS).share();
            double without = of(replayAndPrint(ALL, 2, off), OverloadReplay.LOOKUPS).share();
            assertTrue(on >= 0.95 && without <= on - 0.03, on + " with, " + without + " without");
        }

        @ParameterizedTest
        @ValueSource(doubles = {1.5, 2})
        void queueDeadlinesKeepReports(double load) {
            double on = minGoodputKept(LONG, load);
            double off =
                    minGoodputKept(
                            LONG, load, "predicted_refusal = false", "queue_deadlines = false");
            assertTrue(on >= 0.9 && off < 0.5, on + " with, " + off + " without");
        }
    }

    /** A large team's burst beside the teams that ask for little. */
    @Nested
    class Burst {
        /*
         * Reports of small teams are refused whenever the large one submits its season's work:
         * more than twice what the engines take. Cause: teams are served in the order of arrival.
         */
        @Test
        void smallTeamsKeepTheirTargets() {
            Tally fair = burst();
            Tally off = burst("fair_shares = false");
            assertTrue(fair.share() >= 0.95, fair.toString());
            assertTrue(off.share() < 0.7, off.toString());
            assertTrue(fair.late <= 1, fair.toString());
        }

        /*
         * With more routers the same burst costs small teams their targets again: each router sees
         * an eighth of it, which is hardly above the large team's share there. Cause: the routers
         * don't know of each other's part.
         */
        @Test
        void usageExchangeKeepsTargetsWithEightRouters() {
            Tally on = burst(new OverloadReplay.Fleet(8, true));
            Tally off = burst(new OverloadReplay.Fleet(8, false));
            assertTrue(on.share() >= 0.9, on.toString());
            assertTrue(off.share() <= on.share() - 0.05, on + ", " + off);
        }

        private Tally burst(String... lines) {
            return burst(OverloadReplay.Fleet.TWO, lines);
        }

        private Tally burst(OverloadReplay.Fleet fleet, String... lines) {
            double rate = LONG_RATE * 0.6;
            List<OverloadReplay> runs =
                    OverloadReplay.runs(LONG, 2, fleet, limitSettings(lines), rate, LONG_RATE * 2);
            Tally small = OverloadReplay.sum(runs, r -> r.ofSmallTeams(OverloadReplay.REPORTS));
            System.out.printf("burst %s %s%n  %s%n", fleet, String.join(", ", lines), small);
            return small;
        }
    }
}
