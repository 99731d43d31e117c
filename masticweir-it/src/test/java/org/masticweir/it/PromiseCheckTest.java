package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableIntArray;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.bench.caller.CallRecord.Outcome;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.it.FaultRun.Drained;
import org.masticweir.it.FaultRun.Leaving;
import org.masticweir.it.FaultRun.ProposedChange;
import org.masticweir.it.FaultRun.Struck;
import org.masticweir.standins.engine.TokenSource;

/** Each check of a promise finds the violation that it is meant for, and nothing where none is. */
final class PromiseCheckTest {
    private static final long SEED = 77;
    private static final int GENERATION = 5;
    private static final int TOKENS = 4;
    private static final long RAN_AT_MS = 150;
    private static final CallRequest REPORT =
            CallRequest.of("north", "reports", "report", "k1", ImmutableIntArray.of(1), TOKENS);
    private static final CallRequest BOOKING =
            new CallRequest(
                    "planning",
                    "planning-secret",
                    "confirmations",
                    "booking",
                    "k2",
                    false,
                    ImmutableIntArray.of(),
                    "visit",
                    1);

    private static CallPart part(int from, Outcome outcome, String verdict, int... tokens) {
        String code = outcome == Outcome.ERROR ? "OVERLOADED" : "";
        return new CallPart(
                "n1",
                from == 0,
                from,
                200,
                GENERATION,
                ImmutableIntArray.copyOf(tokens),
                0,
                outcome,
                code,
                verdict,
                "",
                100,
                200);
    }

    /** Returns the right tokens from {@code from} to below {@code to}. */
    private static int[] tokens(int from, int to) {
        return IntStream.range(from, to).map(i -> TokenSource.token(SEED, i)).toArray();
    }

    private static CallPart whole(int... tokens) {
        return part(0, Outcome.COMPLETED, "COMPLETED", tokens);
    }

    private static CallPart refused() {
        return part(0, Outcome.ERROR, "NOT_RUN");
    }

    private static CallTrace trace(FaultPlan.Work work, CallRequest request, CallPart... parts) {
        ImmutableList<CallPart> all = ImmutableList.copyOf(parts);
        return new CallTrace(work, request, all, true, ImmutableList.of(), 100, 200);
    }

    private static CallTrace report(CallPart... parts) {
        return trace(FaultPlan.Work.REPORT, REPORT, parts);
    }

    private static StandInRuns.Run runOf(CallTrace trace, String backEnd) {
        return new StandInRuns.Run(backEnd, trace.requestId(), GENERATION, 1, SEED, 0, RAN_AT_MS);
    }

    /** Returns the run of {@code trace}, which back ends recorded as {@code runs}. */
    private static FaultRun run(CallTrace trace, StandInRuns.Run... runs) {
        return run(ImmutableList.of(trace), runs);
    }

    private static FaultRun run(ImmutableList<CallTrace> traces, StandInRuns.Run... runs) {
        return new FaultRun(
                FaultPlan.of(1),
                traces,
                ImmutableList.copyOf(runs),
                ImmutableList.copyOf(runs),
                ImmutableList.of(),
                ImmutableList.of(),
                ImmutableMap.of(),
                ImmutableList.of(),
                ImmutableList.of(),
                ImmutableList.of(),
                1_000);
    }

    private static void assertFound(int count, PromiseCheck check, FaultRun run) {
        assertEquals(count, check.violations(run).size(), () -> check.violations(run).toString());
    }

    /** A caller's tokens are compared with those that its generation's seed gives. */
    @Nested
    final class Tokens {
        private void assertTokens(int violations, CallPart... parts) {
            CallTrace trace = report(parts);
            assertFound(violations, new TokensOnceCheck(), run(trace, runOf(trace, "e1")));
        }

        @Test
        void wholeInOneOrTwoParts() {
            assertTokens(0, whole(tokens(0, TOKENS)));
            CallPart rest = part(2, Outcome.COMPLETED, "COMPLETED", tokens(2, TOKENS));
            assertTokens(0, part(0, Outcome.BROKEN, "", tokens(0, 2)), rest);
        }

        @Test
        void missingRepeatedOrForeign() {
            assertTokens(1, whole(tokens(0, TOKENS - 1)));
            assertTokens(1, whole(TokenSource.token(SEED, 0), TokenSource.token(SEED, 0), 1, 2));
            assertTokens(1, part(0, Outcome.BROKEN, "", TokenSource.token(SEED + 1, 0)));
        }

        @Test
        void goesOnFromTokensThatNeverCame() {
            assertTokens(1, part(2, Outcome.COMPLETED, "COMPLETED", tokens(2, TOKENS)));
        }
    }

    /** A service's answer names the request that it belongs to. */
    @Nested
    final class OwnAnswer {
        @Test
        void anotherCallersAnswer() {
            CallTrace trace = trace(FaultPlan.Work.SERVICE, BOOKING, whole());
            assertFound(1, new OwnAnswerCheck(), run(trace));
        }

        @Test
        void seedOfTwoRequests() {
            CallTrace trace = report(whole(tokens(0, TOKENS)));
            StandInRuns.Run other =
                    new StandInRuns.Run("e2", "other", GENERATION, 1, SEED, 0, RAN_AT_MS);
            assertFound(1, new OwnAnswerCheck(), run(trace, runOf(trace, "e1"), other));
        }
    }

    /** Each call has one last word, within the bound. */
    @Nested
    final class Ending {
        @Test
        void anErrorThatIsClear() {
            assertFound(0, new EndingCheck(), run(report(refused())));
        }

        @Test
        void anErrorWithoutVerdict() {
            assertFound(1, new EndingCheck(), run(report(part(0, Outcome.ERROR, ""))));
        }

        @Test
        void noLastWordAndAConnectionThatHangs() {
            ImmutableList<String> hanging = ImmutableList.of("n1 3");
            CallTrace trace =
                    new CallTrace(
                            FaultPlan.Work.REPORT,
                            REPORT,
                            ImmutableList.of(),
                            false,
                            hanging,
                            0,
                            9);
            assertFound(2, new EndingCheck(), run(trace));
        }
    }

    /** Runs of a request are counted over all back ends. */
    @Nested
    final class CountOfRuns {
        @Test
        void saidToBeNotRunButRan() {
            CallTrace trace = report(refused());
            assertFound(0, new NotRunCheck(), run(trace));
            assertFound(1, new NotRunCheck(), run(trace, runOf(trace, "e1")));
        }

        /** Whoever submitted the key elsewhere, the one told "not run" must be able to go by it. */
        @Test
        void saidToBeNotRunButRanByAnotherSubmission() {
            CallTrace told = report(refused());
            CallTrace other = report(whole(tokens(0, TOKENS)));
            assertFound(1, new NotRunCheck(), run(ImmutableList.of(told, other), ranAt(120)));
            assertFound(1, new NotRunCheck(), run(ImmutableList.of(told, other), ranAt(900)));
        }

        @Test
        void mayRunAfterwardsOnlyIfItIsAskedForAgain() {
            CallPart again = at(300, 400, whole(tokens(0, TOKENS)));
            CallTrace trace = report(refused(), again);
            assertFound(0, new NotRunCheck(), run(ImmutableList.of(trace), ranAt(350)));
            assertFound(1, new NotRunCheck(), run(ImmutableList.of(trace), ranAt(250)));
            assertFound(1, new NotRunCheck(), run(ImmutableList.of(trace), ranAt(150)));
        }

        @Test
        void isNotHeardOnAConnectionThatItsCallerLeft() {
            CallPart elsewhere = at(150, 300, whole(tokens(0, TOKENS)));
            CallTrace trace = report(refused(), elsewhere);
            assertFound(0, new NotRunCheck(), run(ImmutableList.of(trace), ranAt(160)));
        }

        private StandInRuns.Run ranAt(long atMs) {
            String request = report(refused()).requestId();
            return new StandInRuns.Run("e1", request, GENERATION, 1, SEED, 0, atMs);
        }

        private CallPart at(long fromMs, long toMs, CallPart part) {
            return new CallPart(
                    part.router(),
                    part.submitted(),
                    part.from(),
                    part.status(),
                    part.generation(),
                    part.tokens(),
                    part.disorders(),
                    part.outcome(),
                    part.code(),
                    part.verdict(),
                    part.result(),
                    fromMs,
                    toMs);
        }

        @Test
        void aBookingThatRanTwice() {
            CallTrace trace = trace(FaultPlan.Work.SERVICE, BOOKING, whole());
            assertFound(0, new AtMostOnceCheck(), run(trace, runOf(trace, "s1")));
            FaultRun twice = run(trace, runOf(trace, "s1"), runOf(trace, "s2"));
            assertFound(1, new AtMostOnceCheck(), twice);
        }
    }

    /** Revisions go up, reach every router, and one change follows on a base. */
    @Nested
    final class Configuration {
        private FaultRun run(
                ImmutableList<RevisionLog.Seen> seen,
                ImmutableList<ProposedChange> changes,
                ImmutableList<Struck> struck) {
            return new FaultRun(
                    FaultPlan.of(1),
                    ImmutableList.of(),
                    ImmutableList.of(),
                    ImmutableList.of(),
                    seen,
                    changes,
                    ImmutableMap.of("c1", 2L),
                    struck,
                    ImmutableList.of(),
                    ImmutableList.of(),
                    1_000);
        }

        private ProposedChange change(String id, String outcome, String code) {
            return new ProposedChange(id, 1, outcome, code, 2, 100);
        }

        private RevisionLog.Seen seen(long revision, long atMs) {
            return new RevisionLog.Seen("n1", revision, atMs, atMs);
        }

        @Test
        void goesBack() {
            ImmutableList<RevisionLog.Seen> seen = ImmutableList.of(seen(2, 50), seen(1, 60));
            FaultRun run = run(seen, ImmutableList.of(), ImmutableList.of());
            assertFound(1, new ConfigurationCheck(), run);
        }

        @Test
        void comesLateUnlessTheRouterWasStruck() {
            ImmutableList<RevisionLog.Seen> seen = ImmutableList.of(seen(1, 50), seen(2, 15_000));
            ImmutableList<ProposedChange> changes = ImmutableList.of(change("c1", "accepted", ""));
            assertFound(1, new ConfigurationCheck(), run(seen, changes, ImmutableList.of()));
            ImmutableList<Struck> struck = ImmutableList.of(new Struck("n1", 90, 9_000));
            assertFound(0, new ConfigurationCheck(), run(seen, changes, struck));
        }

        @Test
        void refusedButWritten() {
            ImmutableList<ProposedChange> changes = ImmutableList.of(change("c1", "", "CONFLICT"));
            FaultRun run = run(ImmutableList.of(), changes, ImmutableList.of());
            assertFound(1, new ConfigurationCheck(), run);
        }

        @Test
        void bothOfARaceWritten() {
            ImmutableList<ProposedChange> changes =
                    ImmutableList.of(change("c1", "accepted", ""), change("c2", "accepted", ""));
            FaultRun run = run(ImmutableList.of(), changes, ImmutableList.of());
            // The second one is not in the table either.
            assertFound(2, new ConfigurationCheck(), run);
        }
    }

    /** An engine that leaves gets nothing new, a router that leaves cuts nothing off. */
    @Nested
    final class Leavers {
        private FaultRun run(CallTrace trace, ImmutableList<Leaving> left, Drained drained) {
            return new FaultRun(
                    FaultPlan.of(1),
                    ImmutableList.of(trace),
                    ImmutableList.of(),
                    ImmutableList.of(),
                    ImmutableList.of(),
                    ImmutableList.of(),
                    ImmutableMap.of(),
                    ImmutableList.of(),
                    left,
                    ImmutableList.of(drained),
                    1_000);
        }

        @Test
        void anEngineGetsNewWork() {
            CallTrace trace = report(whole(tokens(0, TOKENS)));
            ImmutableSet<StandInRuns.Run> late = ImmutableSet.of(runOf(trace, "e1"));
            Leaving leaving = new Leaving("e1", ImmutableSet.of(), late);
            FaultRun run = run(trace, ImmutableList.of(leaving), new Drained("n1", 0, 10, ""));
            assertFound(1, new LeavingCheck(), run);
        }

        @Test
        void aRouterCutsOffItsCaller() {
            CallTrace trace = report(part(0, Outcome.BROKEN, "", tokens(0, 2)));
            Drained drained = new Drained("n1", 150, 300, "");
            assertFound(1, new DrainCheck(), run(trace, ImmutableList.of(), drained));
            Drained other = new Drained("n2", 150, 300, "");
            assertFound(0, new DrainCheck(), run(trace, ImmutableList.of(), other));
        }

        @Test
        void aRouterDoesNotEnd() {
            CallTrace trace = report(whole(tokens(0, TOKENS)));
            Drained drained = new Drained("n1", 150, 300, "k9");
            assertFound(1, new DrainCheck(), run(trace, ImmutableList.of(), drained));
        }
    }
}
