package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** Routers freeze past their replacement, and several routers are asked for one request. */
@ExtendWith(FleetPerClass.class)
final class RouterPauseTest {
    /** Enough tokens for a router to know an engine's pace. */
    private static final int PACE_KNOWN = 60;

    private final RouterFleet fleet;
    private final TestBed bed;
    private final Runs runs;

    RouterPauseTest(RouterFleet fleet) {
        this.fleet = fleet;
        bed = fleet.bed();
        runs = new Runs(bed);
    }

    /**
     * A router that wakes after its replacement contradicts nobody.
     *
     * <p>The router freezes with its connections open, its caller gives up and reads on through
     * another router, which takes over; then the first one wakes while the answer still streams.
     * The cause is a stopped virtual machine.
     */
    @Nested
    final class RouterPausedPastItsReplacement {
        private static final int TOKENS = 300;
        private static final int BEFORE_IT_WAKES = 150;

        @Test
        void theReportIsWholeAndTheOldCallerSeesNoOtherTokens() {
            assertNothingContradicts(Requests.report(TOKENS), fleet.second());
        }

        @Test
        void soItIsFromARouterWithoutTheCopy() {
            assertNothingContradicts(Requests.report(TOKENS), fleet.third());
        }

        @Test
        void theLetterIsWholeAndTheOldCallerSeesNoOtherTokens() {
            assertNothingContradicts(Letters.draft(TOKENS), fleet.second());
        }

        private void assertNothingContradicts(CallRequest request, FleetRouter next) {
            RunningCall old = fleet.submit(fleet.first(), request).awaitTokens(PACE_KNOWN);
            fleet.first().pause();
            RunningCall returned = fleet.readAgain(next, request, "");
            returned.awaitTokens(BEFORE_IT_WAKES);
            fleet.first().resume();
            bed.check().whole(returned);
            assertOldCallerIsNotContradicted(old.record(), returned.record(), request);
            runs.assertBegunOnce(request);
        }

        private void assertOldCallerIsNotContradicted(
                CallRecord old, CallRecord returned, CallRequest request) {
            assertEquals(returned.generation(), old.generation(), "generation of the old caller");
            bed.check().beginning(request, old);
            if (old.outcome() == CallRecord.Outcome.ERROR) {
                assertEquals("SUPERSEDED", old.code());
                assertEquals("MAY_HAVE_RUN", old.verdict());
            } else {
                assertEquals(CallRecord.Outcome.COMPLETED, old.outcome());
                bed.check().whole(request, old);
            }
        }
    }

    /**
     * Two callers of one key get the same answer, which is generated once.
     *
     * <p>Both submit at one moment, each through a router of its own; one router serves, the other
     * reads from it. The cause is a client that sends twice through the balancer.
     */
    @Nested
    final class OneKeyThroughTwoRoutersAtOnce {
        @Test
        void reportInOneDomain() {
            assertOneGeneration(Requests.report(120), fleet.first(), fleet.second());
        }

        @Test
        void reportInTwoDomains() {
            assertOneGeneration(Requests.report(120), fleet.first(), fleet.third());
        }

        @Test
        void letterInTwoDomains() {
            assertOneGeneration(Letters.draft(120), fleet.second(), fleet.third());
        }

        private void assertOneGeneration(CallRequest request, FleetRouter one, FleetRouter two) {
            RunningCall first = fleet.submit(one, request);
            RunningCall second = fleet.submit(two, request);
            bed.check().whole(first);
            bed.check().whole(second);
            assertEquals(first.record().generation(), second.record().generation(), "generation");
            runs.assertBegunOnce(request);
        }
    }

    /**
     * A second caller reads along through another router while the first router lives.
     *
     * <p>The answer streams at its router, a second caller submits the same key or reads by id at
     * another one, and both get the whole. The cause is a reader whose connection moved.
     */
    @Nested
    final class SecondCallerWhileTheRouterLives {
        /** More than failure domains are apart, so that order does not depend on luck. */
        private static final long FAR_MS = 20;

        @Test
        void bySameKeyAtTheRouterWithTheCopy() {
            RunningCall first = fleet.submit(fleet.first(), Requests.report(160));
            first.awaitTokens(PACE_KNOWN);
            assertSameAnswer(first, fleet.submit(fleet.second(), first.request()));
        }

        @Test
        void bySameKeyAtTheThirdRouter() {
            RunningCall first = fleet.submit(fleet.first(), Requests.report(160));
            first.awaitTokens(PACE_KNOWN);
            assertSameAnswer(first, fleet.submit(fleet.third(), first.request()));
        }

        @Test
        void byIdAtEitherRouter() {
            RunningCall first = fleet.submit(fleet.first(), Letters.draft(160));
            first.awaitTokens(PACE_KNOWN);
            RunningCall second = fleet.readAgain(fleet.second(), first.request(), "");
            assertSameAnswer(first, fleet.readAgain(fleet.third(), first.request(), ""));
            assertSameAnswer(first, second);
        }

        @Test
        void byIdFromTheTokenThatItsOwnReaderHas() {
            RunningCall first = fleet.submit(fleet.first(), Requests.report(160));
            first.awaitTokens(PACE_KNOWN);
            String generation = Integer.toString(generationOf(first));
            fleet.delayPeersOf(fleet.first(), FAR_MS);
            RunningCall rest =
                    fleet.readAgain(
                            fleet.third(), first.request(), generation + ":" + (PACE_KNOWN - 1));
            bed.check().whole(first);
            assertEquals(CallRecord.Outcome.COMPLETED, rest.record().outcome());
            assertEquals(first.record().tokens().subArray(PACE_KNOWN, 160), rest.record().tokens());
        }

        private int generationOf(RunningCall call) {
            return bed.runsOf(call.request()).get(0).generation();
        }

        private void assertSameAnswer(RunningCall first, RunningCall second) {
            bed.check().whole(first);
            bed.check().whole(second);
            assertEquals(first.record().generation(), second.record().generation(), "generation");
            runs.assertBegunOnce(first.request());
        }
    }
}
