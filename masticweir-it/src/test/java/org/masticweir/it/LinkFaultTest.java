package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.standin.StandInControl.RunGeneration;

/** Links between routers, engines and the platform fail while the processes live. */
@ExtendWith(SharedTestBed.class)
final class LinkFaultTest {
    private static final long RESUME_BOUND_MS = 2_000;

    /** Enough tokens for a router to know an engine's pace. */
    private static final int PACE_KNOWN = 80;

    private static final int TOKENS = 240;

    private final TestBed bed;

    LinkFaultTest(TestBed bed) {
        this.bed = bed;
    }

    /** Breaks the link of a report's engine mid-generation; returns that engine. */
    private BackEndProcess breakUnder(RunningCall call, Consumer<BackEndProcess> fault) {
        call.awaitTokens(PACE_KNOWN);
        BackEndProcess engine = bed.engineOf(call.request());
        fault.accept(engine);
        return engine;
    }

    private void assertWholeInTime(RunningCall call) {
        bed.check().whole(call);
        CallRecord record = call.record();
        assertTrue(
                record.longestGapMs() <= RESUME_BOUND_MS,
                () -> "longest gap " + record.longestGapMs() + " ms");
    }

    /**
     * A report goes on without computing a token again when only its connection broke.
     *
     * <p>The connection is reset, the next one is let through, the router reads the same stream
     * again from its engine. The cause is a middlebox that dropped its state.
     */
    @Nested
    final class ConnectionReset {
        @Test
        void theSameEngineIsReadAgain() {
            RunningCall call = bed.submit(Requests.report(TOKENS));
            BackEndProcess engine = breakUnder(call, e -> bed.proxy().reset(e.id()));
            assertWholeInTime(call);
            ImmutableList<RunGeneration> runs = bed.runsOf(call.request());
            assertEquals(1, runs.size(), () -> "runs " + runs);
            assertEquals(runs, bed.runsOn(engine, call.request()));
            assertEquals(TOKENS, runs.get(0).produced(), "tokens computed");
        }

        @Test
        void aStreamThatTheEngineDropsIsReadAgain() {
            RunningCall call = bed.submit(Requests.report(TOKENS));
            breakUnder(call, e -> bed.fault(e, "{\"drop_streams\":true}"));
            assertWholeInTime(call);
            assertEquals(1, bed.runsOf(call.request()).size(), "runs");
        }
    }

    /**
     * A report moves to another engine when its own can't be reached any more.
     *
     * <p>The connection is reset, new ones are reset as well, the engine goes on unseen, another
     * one resumes the generation. The cause is a cut link while the engine lives.
     */
    @Nested
    final class LinkCut {
        @Test
        void theReportIsMoved() {
            RunningCall call = bed.submit(Requests.report(TOKENS));
            BackEndProcess engine = breakUnder(call, e -> bed.proxy().set(e.id(), "cut"));
            assertWholeInTime(call);
            assertNotEquals(engine, bed.engineOf(call.request()), "moved");
        }

        @Test
        void nothingIsRepeatedWhenTheLinkReturnsMeanwhile() {
            RunningCall call = bed.submit(Requests.report(2 * TOKENS));
            BackEndProcess engine = breakUnder(call, e -> bed.proxy().set(e.id(), "cut"));
            call.awaitTokens(TOKENS);
            bed.proxy().set(engine.id(), "pass");
            assertWholeInTime(call);
        }
    }

    /**
     * A report goes on though its engine's bytes stop arriving on an open connection.
     *
     * <p>Bytes of the engine are held back, bytes towards it pass, its probe gets no answer either,
     * the report moves. The cause is a link that lost one direction.
     */
    @Nested
    final class LinkStalledOneWay {
        @Test
        void theTokensStayWhole() {
            RunningCall call = bed.submit(Requests.report(TOKENS));
            breakUnder(call, e -> bed.proxy().set(e.id(), "stall_down"));
            assertWholeInTime(call);
        }

        @Test
        void theTokensStayWholeWhenHeldBackOnesArriveLate() {
            RunningCall call = bed.submit(Requests.report(2 * TOKENS));
            BackEndProcess engine = breakUnder(call, e -> bed.proxy().set(e.id(), "stall_down"));
            call.awaitTokens(TOKENS);
            bed.proxy().set(engine.id(), "pass");
            assertWholeInTime(call);
        }

        @Test
        void theTokensStayWholeWhenTheOtherDirectionStalls() {
            RunningCall call = bed.submit(Requests.report(TOKENS));
            breakUnder(call, e -> bed.proxy().set(e.id(), "stall_up"));
            bed.check().whole(call);
        }
    }

    /**
     * Reports under way and new lookups are served while the platform is away.
     *
     * <p>A report streams, the platform closes every connection for some seconds, lookups come to
     * both routers, the platform returns. The cause is an outage of the table service.
     */
    @Nested
    final class PlatformOutage {
        private static final long OUTAGE_MS = 4_000;

        @Test
        void nothingInProgressIsHarmedAndNewRequestsAreServed() {
            RunningCall report = bed.submit(Requests.report(300)).awaitTokens(PACE_KNOWN);
            bed.platformOutage(OUTAGE_MS);
            for (RouterProcess router : bed.routers()) {
                bed.check().whole(bed.submit(router, Requests.lookup(40)));
            }
            assertWholeInTime(report);
        }

        @Test
        void anEngineLostMeanwhileIsReplaced() {
            RunningCall report = bed.submit(Requests.report(300)).awaitTokens(PACE_KNOWN);
            bed.platformOutage(OUTAGE_MS);
            bed.engineOf(report.request()).process().kill();
            assertWholeInTime(report);
        }

        @Test
        void routersCutOffFromThePlatformServeOn() {
            for (RouterProcess router : bed.routers()) {
                bed.proxy().set(RouterLauncher.platformRoute(router.id()), "stall");
            }
            Await.elapse(OUTAGE_MS / 2);
            for (RouterProcess router : bed.routers()) {
                bed.check().whole(bed.submit(router, Requests.lookup(40)));
            }
        }
    }

    /**
     * An answer is whole though its router froze for a while.
     *
     * <p>The report streams, the router's process is stopped for a second, it runs again with all
     * its timers overdue. The cause is a paused virtual machine.
     */
    @Nested
    final class RouterPaused {
        private static final long PAUSE_MS = 1_000;

        @Test
        void theAnswerIsWhole() {
            RunningCall call = bed.submit(Requests.report(TOKENS)).awaitTokens(PACE_KNOWN);
            bed.router().process().pause();
            try {
                Await.elapse(PAUSE_MS);
            } finally {
                bed.router().process().resume();
            }
            bed.check().whole(call);
        }
    }
}
