package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.function.Supplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.time.Clock;

/** Engines and services refuse work, lose answers or leave. */
@ExtendWith(SharedTestBed.class)
final class RefusalTest {
    /** Sends of one request that the router allows, whatever its budget. */
    private static final int MAX_SENDS = 3;

    private static final long REFUSE_MS = 1_500;

    /** How long after a refusal a late run would still be looked for. */
    private static final long WATCH_MS = 3_000;

    /** A final word that comes at once comes within this. */
    private static final long AT_ONCE_MS = 1_000;

    private static final String RUN = "COMPLETED";

    private final TestBed bed;
    private final Clock clock = Clock.system();

    RefusalTest(TestBed bed) {
        this.bed = bed;
    }

    private void refuse(ImmutableList<BackEndProcess> backEnds) {
        backEnds.forEach(b -> bed.fault(b, "{\"refuse_ms\":" + REFUSE_MS + "}"));
    }

    /** Submits {@code request} and checks that its final word comes at once. */
    private CallerHttp.Answer answerAtOnce(CallRequest request) {
        CallerHttp caller = new CallerHttp(bed.router().callers());
        return answerAtOnce(() -> caller.submitFirstWhole(request));
    }

    /** Submits {@code request} once more and checks that its final word comes at once. */
    private CallerHttp.Answer answerAgainAtOnce(CallRequest request) {
        CallerHttp caller = new CallerHttp(bed.router().callers());
        return answerAtOnce(() -> caller.submitWhole(request));
    }

    private CallerHttp.Answer answerAtOnce(Supplier<CallerHttp.Answer> call) {
        long startMs = clock.nowMs();
        CallerHttp.Answer answer = call.get();
        long tookMs = clock.nowMs() - startMs;
        assertTrue(tookMs <= AT_ONCE_MS, () -> "the final word took " + tookMs + " ms");
        return answer;
    }

    private static void assertSaysWhenToReturn(CallerHttp.Answer answer) {
        assertTrue(answer.retryAfterMs() > 0, () -> "retry_after_ms in " + answer.json());
        long seconds = (answer.retryAfterMs() + 999) / 1_000;
        assertEquals(seconds, answer.retryAfterS().orElse(-1), "Retry-After");
    }

    /** Returns how often the services ran {@code request}. */
    private long callsOf(CallRequest request) {
        return bed.services().stream().mapToLong(s -> bed.callsOn(s, request)).sum();
    }

    /**
     * A caller is told at once that its request was not run, and when to come back.
     *
     * <p>Every engine refuses before it admits, the router has none left to ask, the caller gets
     * one final error. Later no engine runs it. The cause is engines that are all full.
     */
    @Nested
    final class AllEnginesRefuse {
        @Test
        void theCallerGetsAFinalErrorAtOnceAndNothingRan() {
            refuse(bed.engines());
            CallRequest request = Requests.lookup(20);
            CallerHttp.Answer answer = answerAtOnce(request);
            assertEquals("NOT_RUN", answer.verdict(), () -> answer.json().toString());
            assertEquals(503, answer.status(), () -> answer.json().toString());
            assertSaysWhenToReturn(answer);
            Await.holds("not run later", WATCH_MS, () -> bed.runsOf(request).isEmpty());
        }

        @Test
        void aCallerOfAStreamGetsTheSame() {
            refuse(bed.engines());
            CallRequest request = Requests.lookup(20);
            CallRecord record = bed.submitFirst(bed.router(), request).record();
            assertEquals(CallRecord.Outcome.ERROR, record.outcome());
            assertEquals("NOT_RUN", record.verdict());
            assertTrue(record.retryAfterMs() > 0, "told when to return");
            assertTrue(record.endedAtMs() - record.startedAtMs() <= AT_ONCE_MS, "at once");
            assertTrue(bed.runsOf(request).isEmpty(), "nothing ran");
        }

        @Test
        void aCallerThatComesBackUnderTheSameKeyIsServed() {
            refuse(bed.engines());
            CallRequest request = Requests.lookup(20);
            assertEquals("NOT_RUN", answerAtOnce(request).verdict());
            Await.elapse(REFUSE_MS + TestBed.LIST_LAG_MS);
            bed.check().whole(bed.submit(request));
        }

        /** A caller that comes back may have submitted the key at any router before. */
        @Test
        void aCallerThatComesBackHearsOnlyThatThisSubmissionWasNotSent() {
            refuse(bed.engines());
            CallRequest request = Requests.lookup(20);
            assertEquals("NOT_RUN", answerAtOnce(request).verdict());
            CallerHttp.Answer again = answerAgainAtOnce(request);
            assertEquals("MAY_HAVE_RUN", again.verdict(), () -> again.json().toString());
            assertEquals("NOT_SENT", again.submission(), () -> again.json().toString());
            assertSaysWhenToReturn(again);
            Await.holds("not run later", WATCH_MS, () -> bed.runsOf(request).isEmpty());
        }

        /** Through the second router, whose budget of retries no other test here has spent. */
        @Test
        void refusalsOfTwoEnginesAreNotSeenByTheCaller() {
            refuse(bed.engines().subList(0, MAX_SENDS - 1));
            bed.check().whole(bed.submit(bed.routers().get(1), Requests.lookup(20)));
        }
    }

    /**
     * A confirmation that may not be repeated is never sent twice.
     *
     * <p>The service runs the call and closes the connection without an answer, the router can't
     * know it ran, the caller hears so at once. The cause is a crash after the effect.
     */
    @Nested
    final class ServiceLosesAnswers {
        /** Calls within which the losing service surely gets one. */
        private static final int MOST_CALLS = 50;

        @Test
        void aNonIdempotentCallMayHaveRunAndRanOnce() {
            bed.services().forEach(s -> bed.fault(s, "{\"lose_answers\":1}"));
            CallRequest request = Requests.confirmation(false);
            CallerHttp.Answer answer = answerAtOnce(request);
            assertEquals("MAY_HAVE_RUN", answer.verdict(), () -> answer.json().toString());
            assertEquals(1, callsOf(request), "calls");
            Await.holds("no second call", WATCH_MS, () -> callsOf(request) == 1);
        }

        @Test
        void aSecondSubmissionUnderTheKeyDoesNotRunItAgain() {
            bed.services().forEach(s -> bed.fault(s, "{\"lose_answers\":1}"));
            CallRequest request = Requests.confirmation(false);
            assertEquals("MAY_HAVE_RUN", answerAtOnce(request).verdict());
            assertEquals("MAY_HAVE_RUN", answerAgainAtOnce(request).verdict());
            assertEquals(1, callsOf(request), "calls");
        }

        @Test
        void anIdempotentCallIsRetriedElsewhere() {
            BackEndProcess losing = bed.services().get(0);
            bed.fault(losing, "{\"lose_answers\":1}");
            CallRequest request = Requests.confirmation(true);
            CallerHttp.Answer answer = answerAtOnce(request);
            for (int i = 0; i < MOST_CALLS && bed.callsOn(losing, request) == 0; i++) {
                assertEquals(RUN, answer.verdict());
                request = Requests.confirmation(true);
                answer = answerAtOnce(request);
            }
            assertEquals(RUN, answer.verdict(), answer.json().toString());
            assertEquals(2, callsOf(request), "calls");
        }
    }

    /**
     * A confirmation that every service refuses was not run, and is not run later either.
     *
     * <p>Both instances refuse before they run it, the caller gets one final error, then the
     * instances take work again. The cause is services that are all full.
     */
    @Nested
    final class ServicesRefuse {
        @Test
        void theCallerHearsNotRunAndNothingRunsLater() {
            refuse(bed.services());
            CallRequest request = Requests.confirmation(false);
            CallerHttp.Answer answer = answerAtOnce(request);
            assertEquals("NOT_RUN", answer.verdict(), () -> answer.json().toString());
            assertSaysWhenToReturn(answer);
            Await.holds("not run later", WATCH_MS, () -> callsOf(request) == 0);
        }

        @Test
        void aCallerThatComesBackUnderTheSameKeyIsServedOnce() {
            refuse(bed.services());
            CallRequest request = Requests.confirmation(false);
            assertEquals("NOT_RUN", answerAtOnce(request).verdict());
            Await.elapse(REFUSE_MS + TestBed.LIST_LAG_MS);
            CallerHttp.Answer answer = answerAgainAtOnce(request);
            assertEquals(RUN, answer.verdict(), () -> answer.json().toString());
            assertEquals(1, callsOf(request), "calls");
        }
    }

    /**
     * An engine told to leave finishes its reports and gets no new ones.
     *
     * <p>A report streams, its engine goes on the list as leaving, three seconds pass, lookups come
     * to both routers. The cause is an operator who takes a server out.
     */
    @Nested
    final class LeavingEngine {
        private static final long LEAVE_MS = 3_000;
        private static final int LOOKUPS = 8;

        @Test
        void itGetsNothingNewWhileItsStreamGoesOn() {
            RunningCall report = bed.submit(Requests.report(500)).awaitTokens(20);
            BackEndProcess leaving = bed.engineOf(report.request());
            bed.announce(leaving, "leaving");
            Await.elapse(LEAVE_MS);
            assertTrue(!report.ended(), "the report runs on while the engine leaves");
            for (RouterProcess router : bed.routers()) {
                for (int i = 0; i < LOOKUPS; i++) {
                    RunningCall lookup = bed.submit(router, Requests.lookup(5));
                    bed.check().whole(lookup);
                    assertTrue(bed.runsOn(leaving, lookup.request()).isEmpty(), router.id());
                }
            }
            bed.check().whole(report);
            assertEquals(
                    bed.runsOf(report.request()),
                    bed.runsOn(leaving, report.request()),
                    "ran there alone");
        }
    }
}
