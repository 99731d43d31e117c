package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;

/** Routers are told to leave. */
@ExtendWith(SharedTestBed.class)
final class RouterShutdownTest {
    private static final long EXIT_BOUND_MS = 15_000;

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
        @Test
        void theStreamInProgressIsNotCutOff() {
            RouterProcess router = bed.addRouter("r3", "a");
            RunningCall report = bed.submit(router, Requests.report(300)).awaitTokens(50);
            CompletableFuture<Integer> exit = router.process().terminate();
            bed.check().whole(report);
            Await.get("exit of the router", exit, EXIT_BOUND_MS);
        }

        @Test
        void newRequestsAreRefusedAsNotRunMeanwhile() {
            RouterProcess router = bed.addRouter("r4", "b");
            RunningCall report = bed.submit(router, Requests.report(300)).awaitTokens(50);
            CompletableFuture<Integer> exit = router.process().terminate();
            RunningCall late = bed.submit(router, Requests.lookup(5));
            CallRecord record = late.record();
            boolean refused =
                    record.outcome() == CallRecord.Outcome.ERROR
                            && record.verdict().equals("NOT_RUN");
            boolean connected = record.status() != 0;
            boolean whole = record.outcome() == CallRecord.Outcome.COMPLETED;
            assertTrue(refused || whole || !connected, () -> "late request " + record);
            if (!whole) {
                assertEquals(0, bed.runsOf(late.request()).size(), "runs of the late request");
            }
            bed.check().whole(report);
            Await.get("exit of the router", exit, EXIT_BOUND_MS);
        }
    }
}
