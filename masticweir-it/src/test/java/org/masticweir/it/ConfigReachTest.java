package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.it.OperatorPort.Answer;
import org.masticweir.it.OperatorPort.Change;

/** How a change reaches domains that are cut off and routers that were away. */
@ExtendWith(SharedDomainBed.class)
final class ConfigReachTest {
    /** Longest time in which a domain in touch follows, and one that is healed catches up. */
    private static final long FOLLOW_BOUND_MS = 3_000;

    private static final long HEALED_BOUND_MS = 10_000;
    private static final long STEADY_MS = 2_000;

    private final DomainBed bed;
    private final OperatorPort a;
    private final OperatorPort b;

    ConfigReachTest(DomainBed bed) {
        this.bed = bed;
        a = bed.operators(bed.routerA());
        b = bed.operators(bed.routerB());
    }

    private static Change change(long base, String id, int target) {
        return new Change(base, id, Documents.withLookupTarget(target));
    }

    private void cutOffB() {
        bed.betweenDomains("cut");
        bed.toPlatform(bed.routerB(), "cut");
    }

    private Answer applyPending(Change change) {
        Answer answer = a.apply(change);
        assertEquals("pending", answer.outcome(), answer::toString);
        assertTrue(answer.heldIn("a"), answer::toString);
        assertFalse(answer.heldIn("b"), answer::toString);
        return answer;
    }

    private void assertSteady(long revision) {
        Await.holds(
                "revision " + revision + " everywhere",
                STEADY_MS,
                () -> a.revision() == revision && b.revision() == revision);
    }

    /**
     * A domain that does not reach the platform follows a change all the same.
     *
     * <p>Domain b loses the platform, an operator changes a target at domain a, b takes it from its
     * peer and the answer says that both hold it. The cause is a partition to the platform only.
     */
    @Nested
    final class CutOffFromThePlatform {
        @Test
        void itFollowsByItsPeers() {
            bed.toPlatform(bed.routerB(), "cut");
            Await.until(
                    "cut seen",
                    FOLLOW_BOUND_MS,
                    () -> b.status().path("platform").asText().equals("unreachable"));
            long base = a.revision();
            try (RevisionWatch watch = RevisionWatch.over(bed, bed.routers())) {
                long sinceMs = RevisionWatch.nowMs();
                Answer answer = a.apply(change(base, "by-peers", 600));
                assertEquals("accepted", answer.outcome(), answer::toString);
                assertTrue(answer.heldIn("b"), answer::toString);
                for (DomainRouter router : bed.routers()) {
                    watch.report("b without platform", router, base + 1, sinceMs, FOLLOW_BOUND_MS);
                }
            }
        }
    }

    /**
     * A domain is cut off from everything while a target changes.
     *
     * <p>The operator is told that the change is pending and that b lacks it; b goes on serving by
     * what it has; healed, it takes the change and nobody goes back. The cause is a partition.
     */
    @Nested
    final class CutOffFromEverything {
        @Test
        void theChangeIsPendingAndArrivesOnHealing() {
            long base = a.revision();
            cutOffB();
            try (RevisionWatch watch = RevisionWatch.over(bed, bed.routers())) {
                applyPending(change(base, "cut-off", 610));
                assertEquals(base, b.revision());
                bed.check().whole(bed.submit(bed.routerB(), Requests.lookup(20)));
                bed.proxy().passAll();
                long sinceMs = RevisionWatch.nowMs();
                watch.report("b healed", bed.routerB(), base + 1, sinceMs, HEALED_BOUND_MS);
                assertSteady(base + 1);
            }
            Answer again = a.apply(change(base, "cut-off", 610));
            assertEquals("accepted", again.outcome(), again::toString);
        }
    }

    /**
     * A router that was cut off holds an old revision and meets its peers again.
     *
     * <p>It still lacks the platform, tells its old revision and takes the new one; nobody goes
     * back to the old one, and a change on the old one's base is a conflict. The cause is a
     * partition that heals in part.
     */
    @Nested
    final class StalePeer {
        @Test
        void nobodyGoesBack() {
            long base = a.revision();
            cutOffB();
            try (RevisionWatch watch = RevisionWatch.over(bed, bed.routers())) {
                applyPending(change(base, "stale-peer", 620));
                Answer atB = b.apply(change(base, "stale-base", 621));
                assertEquals("PLATFORM_UNAVAILABLE", atB.code(), atB::toString);
                bed.betweenDomains("pass");
                long sinceMs = RevisionWatch.nowMs();
                watch.report("b meets peers", bed.routerB(), base + 1, sinceMs, HEALED_BOUND_MS);
                assertSteady(base + 1);
                bed.proxy().passAll();
                Answer late = b.apply(change(base, "stale-base", 621));
                assertEquals("CONFLICT", late.code(), late::toString);
                String message = late.json().path("message").asText();
                assertTrue(message.contains("stale-peer"), message);
            }
        }
    }

    /**
     * A router is stopped while three changes are accepted and wakes afterwards.
     *
     * <p>Each change is answered pending, since the stopped domain is silent; on waking the router
     * takes the newest and shows none of the older ones after it. The cause is a machine that
     * hangs.
     */
    @Nested
    final class RouterPaused {
        private static final int CHANGES = 3;

        @Test
        void itHoldsTheNewestAfterItWakes() {
            long base = a.revision();
            try (RevisionWatch watch = RevisionWatch.over(bed, bed.routers())) {
                bed.routerB().process().pause();
                for (int i = 0; i < CHANGES; i++) {
                    applyPending(change(base + i, "paused-" + i, 630 + i));
                }
                bed.routerB().process().resume();
                long sinceMs = RevisionWatch.nowMs();
                watch.report("b woken", bed.routerB(), base + CHANGES, sinceMs, HEALED_BOUND_MS);
                assertSteady(base + CHANGES);
            }
        }
    }

    /**
     * An instance is started new while the platform is out.
     *
     * <p>It learns the configuration from its peers, and is not ready as long as it can't serve;
     * after the outage it is ready and serves. The cause is a replacement during an outage.
     */
    @Nested
    final class StartedInOutage {
        private static final long LEARNT_BOUND_MS = 15_000;

        @Test
        void itLearnsFromItsPeersAndIsReadyOnlyWhenItCanServe() {
            long current = a.revision();
            DomainRouter router = bed.addRouter("r4", "b");
            Await.until("listed", FOLLOW_BOUND_MS, () -> !a.stateOf("r4").equals("unknown"));
            Await.until("listed", FOLLOW_BOUND_MS, () -> !b.stateOf("r4").equals("unknown"));
            bed.platformFault("{\"outage_ms\":60000}");
            long sinceMs = RevisionWatch.nowMs();
            router.start();
            OperatorPort port = bed.operators(router);
            Await.until(
                    "r4 holds revision " + current,
                    LEARNT_BOUND_MS,
                    () -> {
                        assertTrue(
                                port.revision() > 0 || bed.ready(router) != 200, "ready too early");
                        return port.revision() == current;
                    });
            System.out.printf(
                    "config delay: started in an outage, domain b: in force after %d ms%n",
                    RevisionWatch.nowMs() - sinceMs);
            if (bed.ready(router) == 200) {
                bed.check().whole(bed.submit(router, Requests.lookup(10)));
            }
            bed.platformFault("{\"outage_ms\":0}");
            bed.awaitServing(router);
            bed.check().whole(bed.submit(router, Requests.lookup(10)));
            assertEquals(current, port.revision());
        }
    }
}
