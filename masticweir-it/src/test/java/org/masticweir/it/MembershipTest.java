package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** Routers and engines come, go and leave. */
@ExtendWith(SharedDomainBed.class)
final class MembershipTest {
    private final DomainBed bed;
    private final OperatorPort a;

    MembershipTest(DomainBed bed) {
        this.bed = bed;
        a = bed.operators(bed.routerA());
    }

    /**
     * A router dies and its replacement comes up under the same id.
     *
     * <p>Its peer stops counting on it within the bound on silence, and counts on the replacement
     * once that says a higher incarnation. The cause is a machine that is replaced.
     */
    @Nested
    final class RouterKilled {
        /** Silence after which a router of another domain is suspect, and a tick. */
        private static final long SUSPECT_BOUND_MS = 3_200;

        private static final long BACK_BOUND_MS = 10_000;

        @Test
        void peersStopCountingOnItAndTakeItsReplacement() {
            assertEquals("serving", a.stateOf("r2"));
            bed.routerB().process().kill();
            long sinceMs = RevisionWatch.nowMs();
            Await.until(
                    "r2 not serving", SUSPECT_BOUND_MS, () -> !a.stateOf("r2").equals("serving"));
            System.out.printf(
                    "membership: killed router not counted on after %d ms%n",
                    RevisionWatch.nowMs() - sinceMs);
            bed.check().whole(bed.submit(bed.routerA(), Requests.report(30)));
            bed.routerB().start();
            bed.awaitServing(bed.routerB());
            long upMs = RevisionWatch.nowMs();
            Await.until("r2 serving", BACK_BOUND_MS, () -> a.stateOf("r2").equals("serving"));
            System.out.printf(
                    "membership: restarted router counted on after %d ms%n",
                    RevisionWatch.nowMs() - upMs);
            assertEquals(a.revision(), bed.operators(bed.routerB()).revision());
            bed.check().whole(bed.submit(bed.routerB(), Requests.report(30)));
        }
    }

    /**
     * An engine leaves while it computes a long report.
     *
     * <p>After three seconds no router gives it anything new, and its report goes on to its end
     * there, in one attempt. The cause is a planned replacement, told by the instance list or by
     * the engine itself, whichever comes first.
     */
    @Nested
    final class EngineLeaves {
        /** The brief's few seconds. */
        private static final long LEAVE_BOUND_MS = 3_000;

        private static final long WATCHED_MS = 1_000;
        private static final long EVERY_MS = 100;
        private static final int LONG_REPORT = 600;

        @Test
        void byTheInstanceList() {
            leaves("list", e -> bed.instances().put(bed.entryOf(e), "leaving"));
        }

        @Test
        void byItsOwnWordThoughTheListLags() {
            bed.platformFault("{\"list_lag_ms\":60000}");
            leaves("own word", e -> bed.order(e, "{\"fencing\":1,\"kind\":\"leave\"}"));
        }

        private void leaves(String source, Consumer<BackEndProcess> leave) {
            BackEndProcess engine = bed.engines().get(0);
            RunningCall report = bed.submit(bed.routerA(), Requests.report(LONG_REPORT));
            report.awaitTokens(20);
            assertEquals(1, bed.runsOn(engine, report.request()), "report runs on e1");
            long sinceMs = RevisionWatch.nowMs();
            leave.accept(engine);
            long lastMs = 0;
            while (RevisionWatch.nowMs() - sinceMs < LEAVE_BOUND_MS + WATCHED_MS) {
                long atMs = RevisionWatch.nowMs() - sinceMs;
                if (runsOn(engine)) {
                    lastMs = atMs;
                }
                Await.elapse(EVERY_MS);
            }
            System.out.printf("leaving: by %s, last new work sent after %d ms%n", source, lastMs);
            long lastSentMs = lastMs;
            assertTrue(lastSentMs < LEAVE_BOUND_MS, () -> "new work after " + lastSentMs + " ms");
            assertFalse(report.ended(), "the report outlives the bound");
            bed.check().whole(report);
            assertEquals(1, bed.runsOf(report.request()).size(), "attempts at the report");
            assertEquals(1, bed.runsOn(engine, report.request()));
            // An engine that left does not come back; the bed starts another at its address.
            engine.process().kill();
        }

        /** Sends a lookup by each router; tells whether the engine got one of them. */
        private boolean runsOn(BackEndProcess engine) {
            ImmutableList<RunningCall> calls =
                    bed.routers().stream()
                            .map(r -> bed.submit(r, Requests.lookup(2)))
                            .collect(ImmutableList.toImmutableList());
            calls.forEach(bed.check()::whole);
            return calls.stream().anyMatch(c -> bed.runsOn(engine, c.request()) > 0);
        }
    }

    /**
     * A router is told to leave with reports under way.
     *
     * <p>The balancer hears at once, what it still sends is taken while it lags, later requests are
     * refused as not run, all reports end whole, then the process ends with code 0. The cause is a
     * new version being rolled out.
     */
    @Nested
    final class RouterToldToLeave {
        private static final long AT_ONCE_MS = 500;
        private static final long EXIT_BOUND_MS = 15_000;
        private static final int LONG_REPORT = 500;

        @Test
        void nothingIsCutOffAndLateRequestsAreNotRun() {
            DomainRouter router = bed.addRouter("r5", "a");
            router.start();
            bed.awaitServing(router);
            ImmutableList<RunningCall> reports =
                    ImmutableList.of(
                            bed.submit(router, Requests.report(LONG_REPORT)),
                            bed.submit(router, Requests.report(LONG_REPORT)));
            reports.forEach(r -> r.awaitTokens(5));
            long sinceMs = RevisionWatch.nowMs();
            CompletableFuture<Integer> exit = router.process().terminate();
            Await.until("not ready", AT_ONCE_MS, () -> bed.ready(router) == 503);
            RunningCall sentByLaggingBalancer = bed.submit(router, Requests.lookup(5));
            bed.check().whole(sentByLaggingBalancer);
            long lagLeftMs = sinceMs + DomainRouter.BALANCER_LAG_MS - RevisionWatch.nowMs();
            assertTrue(lagLeftMs > 0, "the lookup came within the balancer's lag");
            Await.elapse(lagLeftMs + AT_ONCE_MS);
            assertRefused(router);
            assertFalse(exit.isDone(), "the process waits for its reports");
            reports.forEach(bed.check()::whole);
            assertEquals(0, Await.get("exit", exit, EXIT_BOUND_MS));
        }

        private void assertRefused(DomainRouter router) {
            CallRequest late = Requests.lookup(5);
            CallRecord record = bed.submitFirst(router, late).record();
            assertEquals("SHUTTING_DOWN", record.code(), record::toString);
            assertEquals("NOT_RUN", record.verdict());
            assertEquals(0, bed.runsOf(late).size(), "runs of the late request");
        }

        @Test
        void peersHearItThoughTheListLags() {
            DomainRouter router = bed.addRouter("r6", "a");
            router.start();
            bed.awaitServing(router);
            Await.until("r6 serving", EXIT_BOUND_MS, () -> a.stateOf("r6").equals("serving"));
            bed.platformFault("{\"list_lag_ms\":60000}");
            long sinceMs = RevisionWatch.nowMs();
            CompletableFuture<Integer> exit = router.process().terminate();
            Await.until("r6 draining", AT_ONCE_MS, () -> a.stateOf("r6").equals("draining"));
            System.out.printf(
                    "membership: leaving router known to a peer after %d ms%n",
                    RevisionWatch.nowMs() - sinceMs);
            assertEquals(0, Await.get("exit", exit, EXIT_BOUND_MS));
            assertNotEquals("serving", a.stateOf("r6"));
        }
    }
}
