package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.time.Clock;

/** Routers are killed under long answers, whose callers come back through another router. */
@ExtendWith(FleetPerClass.class)
final class RouterLossTest {
    private static final Clock CLOCK = Clock.system();

    /** The longest that a caller may wait for its next token when its router is lost. */
    private static final long RETURN_BOUND_MS = 2_000;

    /** Enough tokens for a router to know an engine's pace. */
    private static final int PACE_KNOWN = 60;

    private final RouterFleet fleet;
    private final TestBed bed;
    private final Runs runs;

    RouterLossTest(RouterFleet fleet) {
        this.fleet = fleet;
        bed = fleet.bed();
        runs = new Runs(bed);
    }

    /**
     * A report goes on through another router from the very next token.
     *
     * <p>The report streams, its router's process is killed, the caller asks another router for the
     * rest by request id and last event. The cause is a power cut of the router's instance.
     */
    @Nested
    final class RouterKilledUnderAReport {
        private static final int LATENCY_RUNS = 4;

        @Test
        void theRouterWithTheCopyGoesOn() {
            RunningCall call = begin(Requests.report(160));
            fleet.first().kill();
            ReturnedCall.of(fleet, call, fleet.second()).assertWhole(fleet);
            runs.assertBegunOnce(call.request());
        }

        @Test
        void aRouterWithoutTheCopyGoesOn() {
            RunningCall call = begin(Requests.report(160));
            fleet.first().kill();
            ReturnedCall.of(fleet, call, fleet.third()).assertWhole(fleet);
            runs.assertBegunOnce(call.request());
        }

        @Test
        void theCallerWaitsLittle() {
            long[] waitsMs = new long[LATENCY_RUNS];
            for (int i = 0; i < LATENCY_RUNS; i++) {
                RunningCall call = begin(Requests.report(110));
                long killedAtMs = CLOCK.nowMs();
                fleet.first().kill();
                FleetRouter next = i % 2 == 0 ? fleet.second() : fleet.third();
                ReturnedCall returned = ReturnedCall.of(fleet, call, next);
                returned.assertWhole(fleet);
                waitsMs[i] = returned.firstTokenAtMs() - killedAtMs;
                fleet.heal();
            }
            System.out.println(
                    "resume latency after a router's loss, ms: " + Arrays.toString(waitsMs));
            long longestMs = Arrays.stream(waitsMs).max().orElseThrow();
            assertTrue(longestMs <= RETURN_BOUND_MS, () -> "longest wait " + longestMs + " ms");
        }
    }

    /**
     * A report that is submitted again after its router's loss is not generated anew.
     *
     * <p>The report streams, its router is killed, the caller posts the same key to another router
     * and reads the answer from its first token. The cause is a client that knows only how to
     * submit.
     */
    @Nested
    final class SameKeyPostedAfterTheLoss {
        @Test
        void theRouterWithTheCopyGivesTheSameGeneration() {
            assertSameGenerationAt(fleet.second());
        }

        @Test
        void aRouterWithoutTheCopyGivesTheSameGeneration() {
            assertSameGenerationAt(fleet.third());
        }

        private void assertSameGenerationAt(FleetRouter router) {
            RunningCall call = begin(Requests.report(160));
            fleet.first().kill();
            CallRecord before = call.record();
            RunningCall again = fleet.submit(router, call.request());
            bed.check().whole(again);
            assertEquals(before.generation(), again.record().generation(), "generation");
            bed.check().beginning(call.request(), before);
            runs.assertBegunOnce(call.request());
        }
    }

    /**
     * A letter goes on though no router has its tokens.
     *
     * <p>The letter's class keeps only where it runs. Its router is killed, the next one reads the
     * engine's stream again from the start. The cause is a power cut of the router's instance.
     */
    @Nested
    final class RouterKilledUnderALetter {
        @Test
        void theEnginesStreamIsReadAgain() {
            RunningCall call = begin(Letters.draft(160));
            fleet.first().kill();
            ReturnedCall.of(fleet, call, fleet.second()).assertWhole(fleet);
            assertEquals(1, bed.runsOf(call.request()).size(), "attempts that engines ran");
        }

        @Test
        void soItIsFromARouterWithoutTheCopy() {
            RunningCall call = begin(Letters.draft(160));
            fleet.first().kill();
            ReturnedCall.of(fleet, call, fleet.third()).assertWhole(fleet);
            assertEquals(1, bed.runsOf(call.request()).size(), "attempts that engines ran");
        }
    }

    /**
     * A lookup whose router is lost ends with a clear answer, and can be made again.
     *
     * <p>The lookup's class keeps no copy. Its router is killed, the caller asks another one for
     * the rest and hears that nobody knows the request; submitted again, it is answered whole. The
     * cause is a power cut of the router's instance.
     */
    @Nested
    final class RouterKilledUnderALookup {
        @Test
        void theCallerIsToldAndMayAskAgain() {
            RunningCall call = begin(Requests.lookup(160));
            fleet.first().kill();
            CallRecord rest = ReturnedCall.of(fleet, call, fleet.second()).after().record();
            assertEquals(CallRecord.Outcome.ERROR, rest.outcome());
            assertEquals("NOT_FOUND", rest.code());
            assertEquals("MAY_HAVE_RUN", rest.verdict());
            RunningCall again = fleet.submit(fleet.second(), call.request());
            runs.assertWhole(again.request(), again.record());
        }
    }

    /**
     * A report survives its router and its engine; a letter ends without a foreign token.
     *
     * <p>Router and engine are killed at one moment, the caller comes back through another router.
     * The report's tokens are at a peer and go on elsewhere; of the letter only the engine had
     * them. The cause is a rack that loses power.
     */
    @Nested
    final class RouterAndEngineKilledTogether {
        @Test
        void theReportIsWholeAndOfOneGeneration() {
            RunningCall call = begin(Requests.report(160));
            killRouterAndEngineOf(call.request());
            ReturnedCall.of(fleet, call, fleet.second()).assertWhole(fleet);
        }

        @Test
        void theLetterEndsWithAFinalErrorAndIsNotStitchedTogether() {
            RunningCall call = begin(Letters.draft(160));
            CallRequest request = call.request();
            killRouterAndEngineOf(request);
            CallRecord before = call.record();
            CallRecord rest =
                    ReturnedCall.from(fleet, request, before, fleet.second()).after().record();
            assertEquals(CallRecord.Outcome.ERROR, rest.outcome(), () -> "outcome of " + rest);
            assertEquals("MAY_HAVE_RUN", rest.verdict());
            assertEquals(0, rest.tokens().length(), "tokens after those of the lost generation");
        }

        @Test
        void theLetterSubmittedAgainIsWholeAndOfANewGeneration() {
            RunningCall call = begin(Letters.draft(160));
            killRouterAndEngineOf(call.request());
            CallRecord before = call.record();
            RunningCall again = fleet.submit(fleet.second(), call.request());
            bed.check().whole(again);
            assertFalse(before.generation() == again.record().generation(), "a new generation");
        }

        private void killRouterAndEngineOf(CallRequest request) {
            BackEndProcess engine = bed.engineOf(request);
            fleet.first().kill();
            engine.process().kill();
        }
    }

    /**
     * A report outlives the router that holds its copy and then the one that serves it.
     *
     * <p>The holder is killed, the report goes on and is copied to the third router; then the
     * serving router is killed and the caller comes back through the third. The cause is one
     * instance after the other being lost.
     */
    @Nested
    final class HolderKilledThenOwner {
        @Test
        void theReportIsWhole() {
            RunningCall call = begin(Requests.report(280));
            fleet.second().kill();
            call.awaitTokens(2 * PACE_KNOWN);
            fleet.first().kill();
            ReturnedCall.of(fleet, call, fleet.third()).assertWhole(fleet);
            runs.assertBegunOnce(call.request());
        }

        @Test
        void withoutASecondLossTheCallerNoticesNothing() {
            RunningCall call = begin(Requests.report(160));
            fleet.second().kill();
            bed.check().whole(call);
            long gapMs = call.record().longestGapMs();
            assertTrue(gapMs <= RETURN_BOUND_MS, () -> "longest gap " + gapMs + " ms");
        }
    }

    private RunningCall begin(CallRequest request) {
        return fleet.submit(fleet.first(), request).awaitTokens(PACE_KNOWN);
    }
}
