package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Routers of one domain read each engine once and tell each other. */
final class SharedReportsTest {
    /** The brief's few seconds, within which a leaving engine gets nothing new. */
    private static final long FEW_SECONDS_MS = 3_000;

    /** The same for a router of another domain, which asks each three seconds. */
    private static final long FAR_MS = 6_000;

    /** The same with the report's owner lost: its silence comes first. */
    private static final long STOOD_IN_MS = 7_000;

    private final SharingBed bed = SharingBed.start();

    @AfterEach
    void end() {
        bed.close();
    }

    private static void awaitSpared(
            SharingBed bed, String what, List<SharingBed.Node> routers, long boundMs) {
        BackEndProcess engine = bed.engine("e1");
        long sinceMs = RevisionWatch.nowMs();
        bed.orderToLeave(engine);
        Await.until(what, boundMs, () -> routers.stream().allMatch(r -> bed.spares(r, engine)));
        System.out.printf(
                "reports: %s, leaving engine spared by %d routers after %d ms%n",
                what, routers.size(), RevisionWatch.nowMs() - sinceMs);
    }

    /** All routers run. */
    @Nested
    final class Quiet {
        private static final long WATCHED_MS = 6_000;

        /** One read a second by the owner, and one each three seconds from the other domain. */
        private static final double MOST_READS_PER_S = 2;

        @Test
        void anEngineIsReadByOneRouterOfItsDomain() {
            long before = bed.stateReads(bed.engine("e1"));
            Await.elapse(WATCHED_MS);
            double perSecond = (bed.stateReads(bed.engine("e1")) - before) * 1_000.0 / WATCHED_MS;
            System.out.printf("reports: %.1f reads/s of one engine, 4 routers%n", perSecond);
            assertTrue(perSecond <= MOST_READS_PER_S, perSecond + " reads/s");
        }

        /**
         * An engine says that it leaves, to whoever reads it, and the instance list does not know.
         *
         * <p>Callers must not wait for an engine that goes: no router of any domain gives it
         * anything new after a few seconds.
         */
        @Test
        void anEngineThatLeavesByItsOwnWordIsSparedByAll() {
            awaitSpared(bed, "own domain", bed.routersOf("a"), FEW_SECONDS_MS);
            Await.until(
                    "other domain",
                    FAR_MS,
                    () ->
                            bed.routersOf("b").stream()
                                    .allMatch(r -> bed.spares(r, bed.engine("e1"))));
        }
    }

    /**
     * The router that reads an engine for its domain is lost, and then the engine leaves.
     *
     * <p>The others went by that router's word alone. Without a second reader the engine would stay
     * live for them, and get new work, until it is gone.
     */
    @Nested
    final class OwnerLost {
        private List<SharingBed.Node> others(SharingBed.Node owner) {
            return bed.routersOf("a").stream().filter(r -> r != owner).toList();
        }

        @Test
        void killed() {
            SharingBed.Node owner = bed.ownerOf(bed.engine("e1"));
            owner.process().kill();
            awaitSpared(bed, "owner killed", others(owner), STOOD_IN_MS);
        }

        /** Its connections stay open, so nothing but silence tells. */
        @Test
        void paused() {
            SharingBed.Node owner = bed.ownerOf(bed.engine("e1"));
            owner.process().pause();
            awaitSpared(bed, "owner paused", others(owner), STOOD_IN_MS);
            owner.process().resume();
            Await.until(
                    "the woken owner knows",
                    FEW_SECONDS_MS,
                    () -> bed.spares(owner, bed.engine("e1")));
        }
    }

    /**
     * All links between routers are cut, those to the engines are not.
     *
     * <p>Each router serves its callers alone. It must read for itself what it heard from peers.
     */
    @Nested
    final class CutOff {
        @Test
        void eachRouterReadsForItself() {
            bed.cutAllPeers();
            awaitSpared(bed, "all peers cut off", bed.routersOf("a"), STOOD_IN_MS);
        }
    }
}
