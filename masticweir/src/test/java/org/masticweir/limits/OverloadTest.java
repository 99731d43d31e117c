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

/**
 * Replays the request mix of the Spaarstraal example at one and two times the load, with and
 * without each mechanism.
 */
class OverloadTest {
    private static final ImmutableList<Profile> LONG_PROFILES =
            ImmutableList.of(OverloadReplay.REPORTS, OverloadReplay.LETTERS);
    private static final ImmutableList<Profile> ALL_PROFILES =
            ImmutableList.of(
                    OverloadReplay.REPORTS,
                    OverloadReplay.LETTERS,
                    OverloadReplay.LOOKUPS,
                    OverloadReplay.CONFIRMATIONS);

    /** Requests a second that two engines serve within target. */
    private static final double LONG_REQUESTS_PER_S = 7.5;

    private static final double ALL_REQUESTS_PER_S = 20;

    private static List<OverloadReplay> replay(
            ImmutableList<Profile> mix, double load, String... lines) {
        double rate = (mix.equals(ALL_PROFILES) ? ALL_REQUESTS_PER_S : LONG_REQUESTS_PER_S) * load;
        return OverloadReplay.runs(mix, 2, limitSettings(lines), rate, 0);
    }

    private static LimitSettings limitSettings(String... lines) {
        return LimitSettings.of(
                DaemonSettings.parse(
                                "r.ini",
                                LimitTuningTest.MINIMAL_SETTINGS + String.join("\n", lines))
                        .limits());
    }

    private static Tally resultsOf(List<OverloadReplay> runs, Profile profile) {
        return OverloadReplay.sum(runs, r -> r.of(profile));
    }

    /** Prints and returns a replay, one line for each class. */
    private static List<OverloadReplay> replayAndPrint(
            ImmutableList<Profile> mix, double load, String... lines) {
        List<OverloadReplay> replay = replay(mix, load, lines);
        System.out.printf("%.1fx %s%n", load, String.join(", ", lines));
        mix.forEach(p -> System.out.printf("  %s %s%n", p.workClass().id(), resultsOf(replay, p)));
        return replay;
    }

    private static void assertGoodputKept(
            List<OverloadReplay> once, List<OverloadReplay> twice, ImmutableList<Profile> mix) {
        for (Profile p : mix) {
            Tally at1 = resultsOf(once, p);
            Tally at2 = resultsOf(twice, p);
            assertTrue(at2.inTarget >= 0.9 * at1.inTarget, p + ": " + at1 + ", " + at2);
        }
    }

    /** Goodput of each class at twice the load. */
    @Nested
    class TwiceTheLoad {
        /*
         * Guards against starvation of letters by reports. Reports arrive at a higher rate than the
         * engines can serve; if the class with the shorter target is always served first, each free
         * slot goes to a report and all letters are refused.
         */
        @Test
        void lettersKeepTheirShareBesideReports() {
            List<OverloadReplay> once = replayAndPrint(LONG_PROFILES, 1);
            List<OverloadReplay> twice = replayAndPrint(LONG_PROFILES, 2);
            assertGoodputKept(once, twice, LONG_PROFILES);
            assertTrue(resultsOf(twice, OverloadReplay.LETTERS).share() >= 0.98);
        }

        /*
         * Guards against late lookups while reports queue for the same engines. Without reserved
         * slots all slots are occupied for seconds, and too few become free for a burst of lookups.
         */
        @Test
        void lookupsAndConfirmationsAreInTimeWhereReportsQueue() {
            List<OverloadReplay> once = replayAndPrint(ALL_PROFILES, 1);
            List<OverloadReplay> twice = replayAndPrint(ALL_PROFILES, 2);
            List<OverloadReplay> off =
                    replayAndPrint(
                            ALL_PROFILES, 2, "headroom_percent = 0", "overcommit_percent = 0");
            assertGoodputKept(once, twice, ALL_PROFILES);
            assertTrue(resultsOf(twice, OverloadReplay.LOOKUPS).share() >= 0.95);
            assertTrue(resultsOf(twice, OverloadReplay.CONFIRMATIONS).share() >= 0.95);
            assertTrue(resultsOf(off, OverloadReplay.LOOKUPS).share() < 0.8);
        }

        /*
         * Guards against late refusals. Without a prediction of the wait, a request that can't be
         * served in time stays queued until its target has passed, and its caller receives the
         * refusal only after seconds.
         */
        @Test
        void lateRequestsAreRefusedEarly() {
            Tally on = resultsOf(replay(LONG_PROFILES, 2), OverloadReplay.REPORTS);
            Tally off =
                    resultsOf(
                            replayAndPrint(LONG_PROFILES, 2, "predicted_refusal = false"),
                            OverloadReplay.REPORTS);
            assertTrue(2 * on.refusedAfterMs / on.refused < off.refusedAfterMs / off.refused);
            assertTrue(on.late < off.late, on + ", " + off);
            assertTrue(on.inTarget > off.inTarget, on + ", " + off);
        }
    }

    /** Compares each mechanism with a replay without this mechanism. */
    @Nested
    class Mechanisms {
        /**
         * Returns the lowest ratio, over the classes, of the goodput at {@code load} to the goodput
         * at 1x.
         */
        private double minGoodputKept(ImmutableList<Profile> mix, double load, String... lines) {
            List<OverloadReplay> once = replay(mix, 1);
            List<OverloadReplay> more = replayAndPrint(mix, load, lines);
            return mix.stream()
                    .mapToDouble(
                            p -> (double) resultsOf(more, p).inTarget / resultsOf(once, p).inTarget)
                    .min()
                    .orElseThrow();
        }

        @ParameterizedTest
        @ValueSource(doubles = {1.5, 2})
        void classSharesKeepEachClass(double load) {
            double on = minGoodputKept(ALL_PROFILES, load);
            double off = minGoodputKept(ALL_PROFILES, load, "class_shares = false");
            assertTrue(on >= 0.9 && off < 0.9, on + " with, " + off + " without");
        }

        @ParameterizedTest
        @ValueSource(strings = {"headroom_percent = 0", "overcommit_percent = 0"})
        void headroomAndOvercommitKeepLookupsInTime(String off) {
            double on = resultsOf(replay(ALL_PROFILES, 2), OverloadReplay.LOOKUPS).share();
            double without =
                    resultsOf(replayAndPrint(ALL_PROFILES, 2, off), OverloadReplay.LOOKUPS).share();
            assertTrue(on >= 0.95 && without <= on - 0.03, on + " with, " + without + " without");
        }

        @ParameterizedTest
        @ValueSource(doubles = {1.5, 2})
        void queueDeadlinesKeepReports(double load) {
            double on = minGoodputKept(LONG_PROFILES, load);
            double off =
                    minGoodputKept(
                            LONG_PROFILES,
                            load,
                            "predicted_refusal = false",
                            "queue_deadlines = false");
            assertTrue(on >= 0.9 && off < 0.5, on + " with, " + off + " without");
        }
    }

    /** A large team's burst together with teams of low usage. */
    @Nested
    class TeamBurst {
        /*
         * Guards against refused reports of small teams while the large team submits the reports of
         * a season, at more than twice the rate that the engines can serve. This happens if teams
         * are served in order of arrival.
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
         * Guards against refused reports of small teams with more routers: each router receives an
         * eighth of the burst, which is hardly above the large team's share there. Without the
         * usage of the other routers, a router does not reduce the team's weight.
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
            double rate = LONG_REQUESTS_PER_S * 0.6;
            List<OverloadReplay> runs =
                    OverloadReplay.runs(
                            LONG_PROFILES,
                            2,
                            fleet,
                            limitSettings(lines),
                            rate,
                            LONG_REQUESTS_PER_S * 2);
            Tally small = OverloadReplay.sum(runs, r -> r.ofSmallTeams(OverloadReplay.REPORTS));
            System.out.printf("burst %s %s%n  %s%n", fleet, String.join(", ", lines), small);
            return small;
        }
    }
}
