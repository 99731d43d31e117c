package org.masticweir.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.InFlight;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.routing.SpeedEstimate;

/** Tests which share of the engines' slots one router may use. */
class SnapshotCapacityTest {
    private static final DomainId HOME = DomainId.of("d1");
    private static final ModelId MODEL = ModelId.of("report");
    private static final EngineId ENGINE = EngineId.of("e1");

    private static RoutingSnapshot snapshot(int running) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        LoadReport load = LoadReport.of(running, 0, 16);
        SpeedEstimate speed = SpeedEstimate.of(10, 10, 1, 1_000);
        BackEnd backEnd = new BackEnd(ENGINE, address, HOME, "g", false);
        EngineView e = EngineView.of(backEnd, MODEL, "3", load, 0, speed);
        return RoutingSnapshot.builder(HOME, 0).add(e).build();
    }

    /** Several routers that share one engine. */
    @Nested
    class SharedEngine {
        @Test
        void freeSlotsAreDividedLessOwnSendsSinceTheReport() {
            InFlight inFlight = InFlight.create();
            SnapshotCapacity source = SnapshotCapacity.create(() -> snapshot(6), inFlight, () -> 8);
            assertEquals(5, source.capacityOf(MODEL, "3", 0).freeSlots(), 0.01);
            assertEquals(2, source.capacityOf(MODEL, "3", 0).fairShareSlots(), 0.01);
            inFlight.sent(ENGINE, 10);
            inFlight.sent(ENGINE, 10);
            assertEquals(3, source.capacityOf(MODEL, "3", 20).freeSlots(), 0.01);
            assertEquals(Capacity.none(), source.capacityOf(MODEL, "4", 20));
        }

        /*
         * Guards against reports that are admitted and late though the queue is short. Routers that
         * saw one free slot both filled it; from then on a sequence waits within the engine. If
         * waiting sequences are not subtracted from the free slots, each sequence that ends is
         * replaced at once.
         */
        @Test
        void sequencesThatWaitInEnginesReduceFreeSlotsOfAllRouters() {
            SnapshotCapacity source =
                    SnapshotCapacity.create(() -> snapshot(20), InFlight.create(), () -> 2);
            assertEquals(-2, source.capacityOf(MODEL, "3", 0).freeSlots(), 0.01);
        }

        @Test
        void singleRouterMayFillAllFreeSlots() {
            SnapshotCapacity source =
                    SnapshotCapacity.create(() -> snapshot(6), InFlight.create(), () -> 1);
            assertEquals(10, source.capacityOf(MODEL, "3", 0).freeSlots(), 0.01);
        }
    }
}
