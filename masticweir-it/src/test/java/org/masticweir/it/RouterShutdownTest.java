package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRequest;

/** Routers are told to leave. */
@ExtendWith(SharedTestBed.class)
final class RouterShutdownTest {
    private static final long EXIT_BOUND_MS = 15_000;
    private static final int TOKENS = 300;

    private final TestBed bed;

    RouterShutdownTest(TestBed bed) {
        this.bed = bed;
    }

    /**
     * A report in progress is whole though its router is told to leave.
     *
     * <p>The report streams, the router's process gets SIGTERM, new requests are refused, the
     * report ends, then the process exits. The cause is a new version being rolled out.
     */
    @Nested
    final class RouterToldToLeave {
        private RouterProcess router;

        @BeforeEach
        void startOneMoreRouter() {
            router = bed.addRouter("r3", "a");
        }

        @AfterEach
        void takeItOff() {
            bed.remove(router);
        }

        @Test
        void theStreamInProgressIsNotCutOff() {
            RunningCall report = bed.submit(router, Requests.report(TOKENS)).awaitTokens(50);
            CompletableFuture<Integer> exit = router.process().terminate();
            bed.check().whole(report);
            Await.get("exit of the router", exit, EXIT_BOUND_MS);
        }

        @Test
        void aRequestThatTheBalancerStillSendsIsServed() {
            RunningCall report = bed.submit(router, Requests.report(TOKENS)).awaitTokens(50);
            CompletableFuture<Integer> exit = router.process().terminate();
            bed.check().whole(bed.submit(router, Requests.lookup(5)));
            bed.check().whole(report);
            Await.get("exit of the router", exit, EXIT_BOUND_MS);
        }

        @Test
        void aRequestAfterThatIsRefusedAsNotRun() {
            RunningCall report = bed.submit(router, Requests.report(TOKENS)).awaitTokens(50);
            CompletableFuture<Integer> exit = router.process().terminate();
            Await.elapse(2 * TestBed.BALANCER_LAG_MS);
            CallRequest late = Requests.lookup(5);
            CallerHttp.Answer answer = new CallerHttp(router.callers()).submitFirstWhole(late);
            assertEquals("SHUTTING_DOWN", answer.code(), () -> answer.json().toString());
            assertEquals("NOT_RUN", answer.verdict());
            assertTrue(bed.runsOf(late).isEmpty(), "nothing ran");
            bed.check().whole(report);
            Await.get("exit of the router", exit, EXIT_BOUND_MS);
        }
    }

    /**
     * A router that is told to leave ends soon though it read for another one or held a claim.
     *
     * <p>A caller reads a report through a router that does not run it, another one gets a letter
     * that ran under a claim; both answers are whole, the router is told to leave and ends. The
     * cause of a router that stays for a minute is a part of its own that counts as a reader of an
     * answer that has ended.
     */
    @Nested
    final class RouterWithEndedAnswersToldToLeave {
        private RouterProcess router;

        @BeforeEach
        void startOneMoreRouter() {
            router = bed.addRouter("r4", "a");
        }

        @AfterEach
        void takeItOff() {
            bed.remove(router);
        }

        @Test
        void itEndsAfterReadingForAnother() {
            RunningCall report = bed.submit(Requests.report(TOKENS)).awaitTokens(50);
            RunningCall along = bed.submit(router, report.request());
            bed.check().whole(report);
            bed.check().whole(along);
            assertEnds();
        }

        @Test
        void itEndsAfterAClaimedLetter() {
            bed.check().whole(bed.submit(router, Letters.followUp(TOKENS)));
            assertEnds();
        }

        private void assertEnds() {
            Await.get("exit of the router", router.process().terminate(), EXIT_BOUND_MS);
        }
    }
}
