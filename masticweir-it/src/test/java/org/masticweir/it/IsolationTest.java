package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** Domains are cut off and go on serving; healing neither reverts, doubles nor floods. */
@ExtendWith(SharedDomainBed.class)
final class IsolationTest {
    private static final long ISOLATED_MS = 2_400;
    private static final long EVERY_MS = 150;
    private static final long COUNTED_MS = 2_000;
    private static final long LINKED_BOUND_MS = 12_000;

    /** How much more traffic the time after a healing may see than quiet times. */
    private static final int FLOOD_FACTOR = 3;

    private static final long FLOOD_SLACK_CALLS = 10;
    private static final long FLOOD_SLACK_BYTES = 4_000;

    private final DomainBed bed;

    IsolationTest(DomainBed bed) {
        this.bed = bed;
    }

    private BackEndProcess engineOf(DomainRouter router) {
        return bed.engines().stream()
                .filter(e -> e.domain().equals(router.domain()))
                .findFirst()
                .orElseThrow();
    }

    /** Sends lookups and a report at {@code router} for a while; all must be answered whole. */
    private ImmutableList<CallRequest> serveFor(DomainRouter router, long ms) {
        ImmutableList.Builder<RunningCall> calls = ImmutableList.builder();
        long startMs = RevisionWatch.nowMs();
        long endMs = startMs + ms;
        calls.add(bed.submit(router, Requests.report(100)));
        while (RevisionWatch.nowMs() < endMs) {
            calls.add(bed.submit(router, Requests.lookup(10)));
            Await.elapse(EVERY_MS);
        }
        ImmutableList<RunningCall> sent = calls.build();
        for (RunningCall call : sent) {
            CallRecord record = call.record();
            long atMs = record.startedAtMs() - startMs;
            String what = call.request().key() + " sent after " + atMs + " ms: ";
            assertEquals(CallRecord.Outcome.COMPLETED, record.outcome(), () -> what + record);
            bed.check().whole(call);
        }
        return sent.stream().map(RunningCall::request).collect(ImmutableList.toImmutableList());
    }

    private void assertOneAttemptEach(Iterable<CallRequest> requests) {
        for (CallRequest request : requests) {
            assertEquals(1, bed.runsOf(request).size(), () -> "attempts at " + request.key());
        }
    }

    /** Heals, and checks that the next seconds see no more control traffic than is due. */
    private void healWithoutFlood(String what, ControlTraffic quiet) {
        long base = bed.operators(bed.routerA()).revision();
        try (RevisionWatch watch = RevisionWatch.over(bed, bed.routers())) {
            ControlTraffic before = ControlTraffic.of(bed);
            long sinceMs = RevisionWatch.nowMs();
            bed.proxy().passAll();
            Await.until("in touch", LINKED_BOUND_MS, this::inTouch);
            long inTouchMs = RevisionWatch.nowMs() - sinceMs;
            Await.elapse(Math.max(0, COUNTED_MS - inTouchMs));
            ControlTraffic after = ControlTraffic.of(bed).minus(before);
            System.out.printf(
                    "isolation: %s, in touch %d ms after healing, quiet %s, healed %s%n",
                    what, inTouchMs, quiet, after);
            long calls = FLOOD_FACTOR * quiet.platformCalls() + FLOOD_SLACK_CALLS;
            assertTrue(after.platformCalls() <= calls, () -> "platform calls " + after);
            long asked = FLOOD_FACTOR * quiet.platformBytesUp() + FLOOD_SLACK_BYTES;
            assertTrue(after.platformBytesUp() <= asked, () -> "bytes to the platform " + after);
            long bytes = FLOOD_FACTOR * quiet.peerBytes() + FLOOD_SLACK_BYTES;
            assertTrue(after.peerBytes() <= bytes, () -> "bytes between routers " + after);
            for (DomainRouter router : bed.routers()) {
                assertEquals(base, bed.operators(router).revision());
            }
        }
    }

    private boolean inTouch() {
        return bed.operators(bed.routerA()).stateOf("r2").equals("serving")
                && bed.operators(bed.routerB()).stateOf("r1").equals("serving");
    }

    private ControlTraffic quiet() {
        ControlTraffic before = ControlTraffic.of(bed);
        Await.elapse(COUNTED_MS);
        return ControlTraffic.of(bed).minus(before);
    }

    /**
     * No domain reaches the platform for a while.
     *
     * <p>All callers are served by what the routers know; when the platform is back it is not
     * flooded. The cause is a partition between the platform and everything else.
     */
    @Nested
    final class WithoutPlatform {
        @Test
        void callersAreServedAndThePlatformIsNotFlooded() {
            ControlTraffic quiet = quiet();
            bed.routers().forEach(r -> bed.toPlatform(r, "cut"));
            for (DomainRouter router : bed.routers()) {
                assertOneAttemptEach(serveFor(router, ISOLATED_MS / 2));
            }
            healWithoutFlood("without platform", quiet);
        }
    }

    /**
     * The domains' routers lose each other for a while.
     *
     * <p>Each domain's callers are served, copies or not; healed, the routers meet again and
     * requests that ran across the healing are neither doubled nor cut. The cause is a partition
     * between the domains.
     */
    @Nested
    final class WithoutTheOtherDomain {
        @Test
        void callersAreServedOnBothSides() {
            ControlTraffic quiet = quiet();
            bed.betweenDomains("cut");
            for (DomainRouter router : bed.routers()) {
                assertOneAttemptEach(serveFor(router, ISOLATED_MS / 2));
            }
            healWithoutFlood("without the other domain", quiet);
        }

        @Test
        void aReportUnderWayWhileItHealsRunsOnce() {
            bed.betweenDomains("cut");
            Await.until("apart", LINKED_BOUND_MS, () -> !inTouch());
            RunningCall across = bed.submit(bed.routerA(), Requests.report(300)).awaitTokens(5);
            bed.proxy().passAll();
            bed.check().whole(across);
            assertOneAttemptEach(ImmutableList.of(across.request()));
        }
    }

    /**
     * One domain is alone: no platform, no other router, no engine of the other domain.
     *
     * <p>Its callers are served by its own engine. Healed, it holds what it held, and nothing runs
     * twice. The cause is a partition around one domain.
     */
    @Nested
    final class Alone {
        @Test
        void domainA() {
            alone(bed.routerA(), bed.routerB());
        }

        @Test
        void domainB() {
            alone(bed.routerB(), bed.routerA());
        }

        @Test
        void soonAfterItsEngineCameBack() {
            BackEndProcess engine = engineOf(bed.routerB());
            engine.process().kill();
            Await.until(
                    "loss seen",
                    LINKED_BOUND_MS,
                    () -> !bed.operators(bed.routerB()).engineState(engine.id()).equals("live"));
            engine.restartIfDead();
            bed.awaitHealed();
            alone(bed.routerB(), bed.routerA());
        }

        private void alone(DomainRouter router, DomainRouter other) {
            ControlTraffic quiet = quiet();
            bed.betweenDomains("cut");
            bed.toPlatform(router, "cut");
            bed.proxy().set(engineOf(other).id(), "cut");
            ImmutableList<CallRequest> served = serveFor(router, ISOLATED_MS);
            assertOneAttemptEach(served);
            for (CallRequest request : served) {
                assertEquals(1, bed.runsOn(engineOf(router), request), "served at home");
            }
            healWithoutFlood("domain " + router.domain() + " alone", quiet);
        }
    }
}
