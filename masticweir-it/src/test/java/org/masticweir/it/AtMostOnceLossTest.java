package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** Non-idempotent requests run at most once though their router, engine or service is lost. */
@ExtendWith(FleetPerClass.class)
final class AtMostOnceLossTest {
    private static final int TOKENS = 160;

    /** Enough tokens for a router to know an engine's pace. */
    private static final int PACE_KNOWN = 60;

    /** For how long after a loss or an outage no further run may show. */
    private static final long WATCH_MS = 1_500;

    /** The same after answers that nothing disturbed. */
    private static final long SHORT_WATCH_MS = 500;

    private static final long STEP_BOUND_MS = 5_000;

    private final RouterFleet fleet;
    private final TestBed bed;
    private final Runs runs;

    AtMostOnceLossTest(RouterFleet fleet) {
        this.fleet = fleet;
        bed = fleet.bed();
        runs = new Runs(bed);
    }

    /**
     * A request whose router dies before its claim arrives runs once, through another router.
     *
     * <p>The router's claim is held back on its way to the platform, the router is killed, the
     * caller submits again elsewhere and is served; then the held bytes may arrive. The cause is a
     * slow link and a power cut. It covers a claim that lands after its router's death.
     */
    @Nested
    final class RouterKilledBeforeItsClaimArrives {
        @Test
        void theBookingRunsOnce() {
            assertOneRun(Requests.confirmation(false));
        }

        @Test
        void theLetterRunsOnce() {
            assertOneRun(Letters.followUp(PACE_KNOWN));
        }

        private void assertOneRun(CallRequest request) {
            String route = RouterLauncher.platformRoute(fleet.first().id());
            bed.proxy().set(route, "stall_up");
            fleet.submit(fleet.first(), request);
            Await.until("request taken", STEP_BOUND_MS, () -> known(fleet.first(), request));
            fleet.first().kill();
            CallRecord again = fleet.submit(fleet.third(), request).record();
            assertTrue(completed(again), () -> "answer " + again);
            bed.proxy().set(route, "pass");
            Await.holds("one run", WATCH_MS, () -> runs.count(request) == 1);
        }
    }

    /**
     * A request whose router dies between its claim and its send is not run by another router.
     *
     * <p>The platform applies the claim, its answer is held on its way, the router is killed, the
     * caller submits again elsewhere and hears that the request may have run. The cause is a slow
     * link and a power cut. It covers the claim whose owner can't be asked any more.
     */
    @Nested
    final class RouterKilledBetweenClaimAndSend {
        @Test
        void theBookingIsNotRun() {
            assertNoRun(Requests.confirmation(false));
        }

        @Test
        void theLetterIsNotRun() {
            assertNoRun(Letters.followUp(PACE_KNOWN));
        }

        private void assertNoRun(CallRequest request) {
            Set<String> before = bed.table().claims();
            String route = RouterLauncher.platformRoute(fleet.first().id());
            bed.proxy().set(route, "stall_down");
            fleet.submit(fleet.first(), request);
            Await.until(
                    "claim written",
                    STEP_BOUND_MS,
                    () -> !before.containsAll(bed.table().claims()));
            fleet.first().kill();
            bed.proxy().set(route, "pass");
            CallRecord again = fleet.submit(fleet.third(), request).record();
            assertEquals("MAY_HAVE_RUN", again.verdict(), () -> "answer " + again);
            Await.holds("no run", WATCH_MS, () -> runs.count(request) == 0);
        }
    }

    /**
     * A booking that was sent when its router died is not sent again.
     *
     * <p>The service is frozen with the call on its way, the router is killed, the caller submits
     * again elsewhere and hears that it may have run; then the service wakes. The cause is a rack's
     * switch that stalls while an instance is replaced.
     */
    @Nested
    final class RouterKilledAfterTheSend {
        private static final String PAUSED = "{\"pause_ms\":1500}";

        @Test
        void theBookingRunsAtMostOnce() {
            CallRequest request = Requests.confirmation(false);
            bed.services().forEach(s -> bed.fault(s, PAUSED));
            fleet.submit(fleet.first(), request);
            Await.until("request sent", STEP_BOUND_MS, () -> placed(fleet.first(), request));
            fleet.first().kill();
            CallRecord again = fleet.submit(fleet.third(), request).record();
            assertEquals("MAY_HAVE_RUN", again.verdict(), () -> "answer " + again);
            Await.holds("at most one run", 2 * WATCH_MS, () -> runs.count(request) <= 1);
        }
    }

    /**
     * A follow-up letter under way goes on through another router, and is written once.
     *
     * <p>The letter streams, its router is killed, the caller comes back by id or by the same key;
     * the next router follows the engine's stream. With the engine gone too it ends as may have
     * run. The cause is a power cut of an instance or of a rack.
     */
    @Nested
    final class RouterKilledUnderALetter {
        @Test
        void itIsFollowedById() {
            RunningCall call = begin();
            fleet.first().kill();
            ReturnedCall.of(fleet, call, fleet.second()).assertWhole(fleet);
            assertEquals(1, bed.runsOf(call.request()).size(), "runs");
        }

        @Test
        void itIsFollowedByTheSameKey() {
            RunningCall call = begin();
            fleet.first().kill();
            bed.check().whole(fleet.submit(fleet.third(), call.request()));
            assertEquals(1, bed.runsOf(call.request()).size(), "runs");
        }

        @Test
        void withItsEngineGoneItMayHaveRunAndIsNotWrittenAgain() {
            RunningCall call = begin();
            BackEndProcess engine = bed.engineOf(call.request());
            fleet.first().kill();
            engine.process().kill();
            CallRecord rest = ReturnedCall.of(fleet, call, fleet.second()).after().record();
            assertEquals("MAY_HAVE_RUN", rest.verdict(), () -> "answer " + rest);
            CallRecord again = fleet.submit(fleet.third(), call.request()).record();
            assertEquals("MAY_HAVE_RUN", again.verdict(), () -> "answer " + again);
            Await.holds("no run elsewhere", WATCH_MS, () -> runs.count(call.request()) == 0);
        }
    }

    /**
     * A follow-up letter outlasts a short pause of its engine, and a long one ends it.
     *
     * <p>The engine freezes under the letter with its connections open. If it wakes in time the
     * letter goes on; else the caller hears that it may have run, and no other engine writes it.
     * The cause is a stopped virtual machine.
     */
    @Nested
    final class EnginePausedUnderALetter {
        @Test
        void aShortPauseIsWaitedOut() {
            RunningCall call = begin();
            bed.fault(bed.engineOf(call.request()), "{\"pause_ms\":1500}");
            bed.check().whole(call);
            assertEquals(1, bed.runsOf(call.request()).size(), "runs");
        }

        @Test
        void aLongPauseEndsItWithoutASecondRun() {
            RunningCall call = begin();
            bed.fault(bed.engineOf(call.request()), "{\"pause_ms\":8000}");
            CallRecord record = call.record();
            assertEquals(CallRecord.Outcome.ERROR, record.outcome(), () -> "answer " + record);
            assertEquals("MAY_HAVE_RUN", record.verdict());
            CallRecord again = fleet.submit(fleet.third(), call.request()).record();
            assertEquals("MAY_HAVE_RUN", again.verdict(), () -> "answer " + again);
            assertEquals(0, othersRuns(call.request(), 1), "runs beside the first");
        }

        private int othersRuns(CallRequest request, int own) {
            bed.engines().forEach(e -> bed.fault(e, e.kind().noFault()));
            return runs.count(request) - own;
        }
    }

    /**
     * A booking whose answer the service lost is not made again.
     *
     * <p>The service runs the call and closes the connection, the caller hears that it may have
     * run, and hears so again at another router. The cause is a service that dies after the work.
     */
    @Nested
    final class ServiceLosesItsAnswer {
        @Test
        void theBookingRunsOnce() {
            CallRequest request = Requests.confirmation(false);
            bed.services().forEach(s -> bed.fault(s, "{\"lose_answers\":1}"));
            CallRecord record = fleet.submit(fleet.first(), request).record();
            assertEquals("MAY_HAVE_RUN", record.verdict(), () -> "answer " + record);
            CallRecord again = fleet.submit(fleet.third(), request).record();
            assertEquals("MAY_HAVE_RUN", again.verdict(), () -> "answer " + again);
            Await.holds("one run", SHORT_WATCH_MS, () -> runs.count(request) == 1);
        }
    }

    private RunningCall begin() {
        return fleet.submit(fleet.first(), Letters.followUp(TOKENS)).awaitTokens(PACE_KNOWN);
    }

    private boolean known(FleetRouter router, CallRequest request) {
        return !fleet.shownAt(router, request).isMissingNode();
    }

    private boolean placed(FleetRouter router, CallRequest request) {
        return !fleet.shownAt(router, request).path("engine").asText().isEmpty();
    }

    private static boolean completed(CallRecord record) {
        return record.outcome() == CallRecord.Outcome.COMPLETED;
    }
}
