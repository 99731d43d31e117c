package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** Engines die, pause and come back under long reports. */
@ExtendWith(SharedTestBed.class)
final class EngineLossTest {
    /** The longest that a caller may wait between two tokens when an engine is lost. */
    private static final long RESUME_BOUND_MS = 2_000;

    /** Enough tokens for a router to know an engine's pace. */
    private static final int PACE_KNOWN = 80;

    private final TestBed bed;

    EngineLossTest(TestBed bed) {
        this.bed = bed;
    }

    private void assertResumedInTime(RunningCall call) {
        long gapMs = call.record().longestGapMs();
        assertTrue(gapMs <= RESUME_BOUND_MS, () -> "longest gap " + gapMs + " ms");
    }

    /**
     * An adviser's report goes on after a short halt.
     *
     * <p>The report streams, its engine's process is killed at a third, another engine resumes the
     * same generation from the tokens accepted. The cause is a power cut of the engine's server.
     */
    @Nested
    final class EngineKilledMidGeneration {
        @Test
        void theAnswerIsWholeAndOfOneGeneration() {
            RunningCall call = bed.submit(Requests.report(240)).awaitTokens(PACE_KNOWN);
            BackEndProcess first = bed.engineOf(call.request());
            first.process().kill();
            bed.check().whole(call);
            assertResumedInTime(call);
            assertNotEquals(first, bed.engineOf(call.request()));
        }

        @Test
        void aCallerOfAnotherRouterIsServedMeanwhile() {
            RunningCall one = bed.submit(Requests.report(200)).awaitTokens(PACE_KNOWN);
            RunningCall other = bed.submit(bed.routers().get(1), Requests.report(200));
            bed.engineOf(one.request()).process().kill();
            bed.check().whole(one);
            bed.check().whole(other);
        }
    }

    /**
     * A report survives the loss of its engine and then of the engine that took it over.
     *
     * <p>The first engine is killed, the report resumes on a second one, that one is killed as soon
     * as it has sent some tokens, a third one ends the report. The cause is a rack going down.
     */
    @Nested
    final class TwoEnginesKilled {
        @Test
        void theAnswerIsWholeAndOfOneGeneration() {
            RunningCall call = bed.submit(Requests.report(300)).awaitTokens(PACE_KNOWN);
            BackEndProcess first = bed.engineOf(call.request());
            first.process().kill();
            call.awaitTokens(2 * PACE_KNOWN);
            BackEndProcess second = bed.engineOf(call.request());
            assertNotEquals(first, second);
            second.process().kill();
            bed.check().whole(call);
            assertResumedInTime(call);
        }
    }

    /**
     * A report has no token twice though its first engine comes back and still sends.
     *
     * <p>The engine freezes for two seconds with its connections open, the report is moved, the
     * engine wakes and goes on with the same generation. The cause is a stopped virtual machine.
     */
    @Nested
    final class EnginePausedAndBack {
        private static final long PAUSE_MS = 2_000;

        @Test
        void nothingIsRepeated() {
            RunningCall call = bed.submit(Requests.report(450)).awaitTokens(PACE_KNOWN);
            BackEndProcess first = bed.engineOf(call.request());
            bed.fault(first, "{\"pause_ms\":" + PAUSE_MS + "}");
            bed.check().whole(call);
            assertResumedInTime(call);
            assertNotEquals(first, bed.engineOf(call.request()), "moved");
        }
    }

    /**
     * A report is never continued by an engine that answers for another generation or place.
     *
     * <p>The report's engine is cut off, the engines asked to resume answer with a wrong generation
     * or begin one token late. The cause is an engine that mixes up its sequences.
     */
    @Nested
    final class WrongResume {
        @Test
        void theOneEngineThatResumesRightEndsTheReport() {
            RunningCall call = bed.submit(Requests.report(240)).awaitTokens(PACE_KNOWN);
            BackEndProcess first = bed.engineOf(call.request());
            ImmutableList<BackEndProcess> others = others(first);
            bed.fault(others.get(0), "{\"wrong_resume\":\"generation\"}");
            bed.fault(others.get(1), "{\"wrong_resume\":\"index\"}");
            first.process().kill();
            bed.check().whole(call);
        }

        @Test
        void theSameEngineAnsweringWronglyIsLeft() {
            RunningCall call = bed.submit(Requests.report(240)).awaitTokens(PACE_KNOWN);
            BackEndProcess first = bed.engineOf(call.request());
            bed.fault(first, "{\"wrong_resume\":\"generation\"}");
            bed.proxy().reset(first.id());
            bed.check().whole(call);
            assertNotEquals(first, bed.engineOf(call.request()), "moved");
        }

        @Test
        void withNoRightEngineTheCallerGetsAFinalErrorAndNoWrongToken() {
            RunningCall call = bed.submit(Requests.report(240)).awaitTokens(PACE_KNOWN);
            BackEndProcess first = bed.engineOf(call.request());
            for (BackEndProcess other : others(first)) {
                bed.fault(other, "{\"wrong_resume\":\"generation\"}");
            }
            bed.fault(first, "{\"wrong_resume\":\"index\"}");
            bed.proxy().reset(first.id());
            CallRecord record = call.record();
            assertEquals(CallRecord.Outcome.ERROR, record.outcome());
            assertEquals("MAY_HAVE_RUN", record.verdict());
            bed.check().beginning(call.request(), record);
        }

        private ImmutableList<BackEndProcess> others(BackEndProcess first) {
            return bed.engines().stream()
                    .filter(e -> e != first)
                    .collect(ImmutableList.toImmutableList());
        }
    }

    /**
     * Callers under way at once each get their own answer when their engine dies.
     *
     * <p>Many reports and lookups run, one engine is killed, all that ran on it resume elsewhere.
     * The cause is a power cut while the engine's batch is full.
     */
    @Nested
    final class ManyCallersAtOnce {
        private static final int REPORTS = 12;

        @Test
        void eachGetsTheWholeAnswerToItsOwnRequest() {
            ImmutableList.Builder<RunningCall> started = ImmutableList.builder();
            for (int i = 0; i < REPORTS; i++) {
                CallRequest request = i % 2 == 0 ? Requests.report(200) : Requests.lookup(120);
                started.add(bed.submit(bed.routers().get(i % 2), request));
            }
            ImmutableList<RunningCall> calls = started.build();
            calls.get(0).awaitTokens(PACE_KNOWN);
            BackEndProcess engine = bed.engineOf(calls.get(0).request());
            RunRecords runs = KilledEngineRuns.kill(bed, engine, calls);
            calls.forEach(new AnswerCheck(runs)::whole);
        }
    }
}
