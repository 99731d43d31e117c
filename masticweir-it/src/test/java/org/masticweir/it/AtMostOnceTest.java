package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.time.Clock;

/** Non-idempotent requests run at most once while all routers live and the platform fails. */
@ExtendWith(FleetPerClass.class)
final class AtMostOnceTest {
    private static final Clock CLOCK = Clock.system();
    private static final int TOKENS = 60;

    /** So long that it runs while its caller goes elsewhere. */
    private static final int LONG_LETTER = 300;

    /** For how long after a loss or an outage no further run may show. */
    private static final long WATCH_MS = 2_000;

    /** The same after answers that nothing disturbed. */
    private static final long SHORT_WATCH_MS = 500;

    private final RouterFleet fleet;
    private final TestBed bed;
    private final Runs runs;

    AtMostOnceTest(RouterFleet fleet) {
        this.fleet = fleet;
        bed = fleet.bed();
        runs = new Runs(bed);
    }

    /**
     * A letter or booking submitted twice at one moment is made once.
     *
     * <p>Both submissions reach a router of their own, both routers try to claim the key, one of
     * them wins. The cause is a client that sends twice through the balancer.
     */
    @Nested
    final class DoubleSubmission {
        @Test
        void ofABookingRunsOnce() {
            assertOneRun(Requests.confirmation(false), fleet.first(), fleet.second());
        }

        @Test
        void ofABookingInTwoDomainsRunsOnce() {
            assertOneRun(Requests.confirmation(false), fleet.first(), fleet.third());
        }

        @Test
        void ofALetterInTwoDomainsRunsOnce() {
            assertOneRun(Letters.followUp(TOKENS), fleet.first(), fleet.third());
        }

        private void assertOneRun(CallRequest request, FleetRouter one, FleetRouter two) {
            RunningCall first = fleet.submit(one, request);
            RunningCall second = fleet.submit(two, request);
            ImmutableList<CallRecord> records = ImmutableList.of(first.record(), second.record());
            long whole = records.stream().filter(AtMostOnceTest::completed).count();
            assertTrue(whole >= 1, () -> "one of them completes: " + records);
            for (CallRecord record : records) {
                assertTrue(
                        completed(record) || record.verdict().equals("MAY_HAVE_RUN"),
                        () -> "answer " + record);
            }
            Await.holds("one run", SHORT_WATCH_MS, () -> runs.count(request) == 1);
        }
    }

    /**
     * A letter or booking is made once though the platform's answer to its claim is lost.
     *
     * <p>The router claims the key, the table applies it and closes the connection, the router
     * finds its own claim and runs the request. The cause is a connection lost after the commit.
     */
    @Nested
    final class ClaimAppliedAndItsAnswerLost {
        @Test
        void theBookingRunsOnce() {
            assertOneRun(Requests.confirmation(false));
        }

        @Test
        void theLetterRunsOnce() {
            assertOneRun(Letters.followUp(TOKENS));
        }

        private void assertOneRun(CallRequest request) {
            long lost = platformCount("lost_answers");
            fleet.platformFault("{\"lose_answers\":1,\"lose_answers_table\":\"claims\"}");
            CallRecord record = fleet.submit(fleet.first(), request).record();
            assertTrue(completed(record), () -> "answer " + record);
            assertEquals(lost + 1, platformCount("lost_answers"), "answers lost");
            Await.holds("one run", SHORT_WATCH_MS, () -> runs.count(request) == 1);
        }
    }

    /**
     * While the platform is out, a caller hears at once that nothing was run, and that is so.
     *
     * <p>The platform takes no call, the request is refused with the time to come back, the
     * platform returns, still nothing runs; submitted again, the request runs once. The cause is a
     * long outage of the table service.
     */
    @Nested
    final class PlatformOut {
        private static final long OUTAGE_MS = 60_000;
        private static final long AT_ONCE_MS = 1_500;

        @Test
        void theBookingIsRefusedAndNeverRuns() {
            assertRefusedAndNeverRun(Requests.confirmation(false));
        }

        @Test
        void theLetterIsRefusedAndNeverRuns() {
            assertRefusedAndNeverRun(Letters.followUp(TOKENS));
        }

        private void assertRefusedAndNeverRun(CallRequest request) {
            bed.platformOutage(OUTAGE_MS);
            try {
                assertRefusedAtOnce(request);
            } finally {
                // An outage that outlives a failed check would fail the tests after this one.
                bed.platformOutage(0);
            }
            Await.holds("no run", WATCH_MS, () -> runs.count(request) == 0);
            CallRecord again = fleet.submit(fleet.first(), request).record();
            assertTrue(completed(again), () -> "answer " + again);
            assertEquals(1, runs.count(request), "runs");
        }

        private void assertRefusedAtOnce(CallRequest request) {
            CallerHttp caller = new CallerHttp(fleet.first().callers());
            long submittedAtMs = CLOCK.nowMs();
            CallerHttp.Answer refusal = caller.submitFirstWhole(request);
            long tookMs = CLOCK.nowMs() - submittedAtMs;
            assertEquals("NOT_RUN", refusal.verdict(), () -> "answer " + refusal);
            assertEquals("PLATFORM_UNAVAILABLE", refusal.code());
            assertTrue(refusal.retryAfterMs() > 0, () -> "answer " + refusal);
            assertTrue(tookMs <= AT_ONCE_MS, () -> "refused after " + tookMs + " ms");
        }
    }

    /**
     * An adviser whose program was cut off is not told that a letter was not run, which was.
     *
     * <p>A letter goes to one router, which claims and sends it; the connection drops; the program
     * submits the key at a router of another domain, which is cut off from the others and from the
     * platform and can't ask whose claim it is. Told NOT_RUN, the adviser writes the letter by hand
     * and the household gets two.
     */
    @Nested
    final class AskedAgainInAnotherDomainWhilePlatformIsOut {
        private static final long OUTAGE_MS = 60_000;

        @Test
        void theLetterThatRunsIsNotSaidToBeNotRun() {
            CallRequest request = Letters.followUp(LONG_LETTER);
            try (SocketCaller adviser = SocketCaller.connect(fleet.first().callers())) {
                adviser.submit(request);
                Await.until("runs", WATCH_MS, () -> runs.count(request) == 1);
            }
            fleet.cutPeers();
            bed.platformOutage(OUTAGE_MS);
            CallerHttp.Answer again = new CallerHttp(fleet.third().callers()).submitWhole(request);
            bed.platformOutage(0);
            fleet.passPeers();
            assertEquals("PLATFORM_UNAVAILABLE", again.code(), () -> "answer " + again);
            assertEquals("MAY_HAVE_RUN", again.verdict(), () -> "answer " + again);
            assertEquals("NOT_SENT", again.submission(), () -> "answer " + again);
            assertTrue(again.retryAfterMs() > 0, () -> "answer " + again);
            Await.holds("one run", SHORT_WATCH_MS, () -> runs.count(request) == 1);
        }

        @Test
        void theKeyThatNobodyElseSubmittedIsAnsweredAloneAndLaterRunsOnce() {
            CallRequest request = Letters.followUp(TOKENS);
            CallerHttp caller = new CallerHttp(fleet.third().callers());
            bed.platformOutage(OUTAGE_MS);
            assertEquals("NOT_RUN", caller.submitFirstWhole(request).verdict());
            assertEquals("MAY_HAVE_RUN", caller.submitWhole(request).verdict());
            bed.platformOutage(0);
            Await.holds("no run", WATCH_MS, () -> runs.count(request) == 0);
            Await.until(
                    "answered once the platform is back",
                    WATCH_MS,
                    () -> caller.submitWhole(request).verdict().equals("COMPLETED"));
            assertEquals(1, runs.count(request), "runs");
        }
    }

    /**
     * Whoever asks again for what is done gets the same answer.
     *
     * <p>The request completes, its caller submits the key again at the same router and at others,
     * and gets the stored answer. The cause is a client that lost its answer after the end.
     */
    @Nested
    final class CompletedAndAskedAgain {
        private static final long STORED_BOUND_MS = 5_000;

        @Test
        void theBookingIsAnsweredFromTheStore() {
            CallRequest request = Requests.confirmation(false);
            CallerHttp.Answer done = new CallerHttp(fleet.first().callers()).submitWhole(request);
            assertEquals("COMPLETED", done.verdict(), () -> "answer " + done);
            assertSameAnswerAt(fleet.first(), request, done);
            assertSameAnswerAt(fleet.second(), request, done);
            assertSameAnswerAt(fleet.third(), request, done);
            assertEquals(1, runs.count(request), "runs");
        }

        @Test
        void theLetterIsAnsweredFromTheStore() {
            CallRequest request = Letters.followUp(TOKENS);
            CallerHttp.Answer done = new CallerHttp(fleet.first().callers()).submitWhole(request);
            assertEquals("COMPLETED", done.verdict(), () -> "answer " + done);
            assertEquals(TOKENS, done.json().path("tokens").size(), "tokens");
            assertSameAnswerAt(fleet.first(), request, done);
            assertSameAnswerAt(fleet.second(), request, done);
            assertSameAnswerAt(fleet.third(), request, done);
            assertEquals(1, runs.count(request), "runs");
        }

        @Test
        void soIsALetterWhoseRouterIsGone() {
            CallRequest request = Letters.followUp(TOKENS);
            CallerHttp.Answer done = new CallerHttp(fleet.first().callers()).submitWhole(request);
            assertSameAnswerAt(fleet.third(), request, done);
            fleet.first().kill();
            assertSameAnswerAt(fleet.second(), request, done);
            assertEquals(1, runs.count(request), "runs");
        }

        /**
         * Until the answer is stored, another router may only say that the request may have run.
         */
        private void assertSameAnswerAt(
                FleetRouter router, CallRequest request, CallerHttp.Answer done) {
            CallerHttp caller = new CallerHttp(router.callers());
            Await.until(
                    "the stored answer at " + router,
                    STORED_BOUND_MS,
                    () -> {
                        CallerHttp.Answer again = caller.submitWhole(request);
                        if (again.verdict().equals("MAY_HAVE_RUN")) {
                            return false;
                        }
                        assertEquals(done.json().path("result"), again.json().path("result"));
                        assertEquals(done.json().path("tokens"), again.json().path("tokens"));
                        assertEquals("COMPLETED", again.verdict(), () -> "answer " + again);
                        return true;
                    });
        }
    }

    private long platformCount(String what) {
        return bed.control().records(bed.platform()).path(what).asLong();
    }

    private static boolean completed(CallRecord record) {
        return record.outcome() == CallRecord.Outcome.COMPLETED;
    }
}
