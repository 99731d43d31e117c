package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.InFlight;
import org.masticweir.routing.RoutingSnapshot;

/**
 * Computes capacity from the current routing snapshot and this router's own sends.
 *
 * <p>Without this, all routers would fill the same free slots of the same report. Each router fills
 * only a share of the free slots. This share is larger than an even share, since requests arrive in
 * bursts and seldom at all routers at once. Sends since the report count in full.
 *
 * <p>Prevents a permanent queue within the engines: if the routers together send too many
 * sequences, each router replaces its own sequences as they end and the queue never shrinks. Each
 * router therefore subtracts its even share of the sequences that wait in the engines.
 *
 * <p>Thread-safe.
 */
public final class SnapshotCapacity implements CapacitySource {
    private final Supplier<RoutingSnapshot> snapshot;
    private final InFlight inFlight;
    private final IntSupplier routerCount;

    /** Multiple of an even share of the free slots that one router may fill after one report. */
    private final double burstFactor;

    private SnapshotCapacity(
            Supplier<RoutingSnapshot> snapshot,
            InFlight inFlight,
            IntSupplier routerCount,
            double burstFactor) {
        this.snapshot = checkNotNull(snapshot, "snapshot");
        this.inFlight = checkNotNull(inFlight, "inFlight");
        this.routerCount = checkNotNull(routerCount, "routerCount");
        this.burstFactor = burstFactor;
    }

    /**
     * Returns a source for a router that shares the engines with other routers.
     *
     * @param routerCount number of routers, including this router, that send to the engines of the
     *     snapshot
     */
    public static SnapshotCapacity create(
            Supplier<RoutingSnapshot> snapshot,
            InFlight inFlight,
            IntSupplier routerCount,
            LimitSettings settings) {
        return new SnapshotCapacity(snapshot, inFlight, routerCount, settings.burstFactor());
    }

    /** Returns a source with the default settings. */
    public static SnapshotCapacity create(
            Supplier<RoutingSnapshot> snapshot, InFlight inFlight, IntSupplier routerCount) {
        return create(snapshot, inFlight, routerCount, LimitSettings.defaults());
    }

    @Override
    public Capacity capacityOf(ModelId model, String version, long nowMs) {
        List<EngineView> engines = snapshot.get().available(model, version);
        if (engines.isEmpty()) {
            return Capacity.none();
        }
        double evenShare = 1.0 / Math.max(1, routerCount.getAsInt());
        double burstShare = Math.min(1, burstFactor * evenShare);
        double slots = sum(engines, EngineView::usableCapacity);
        double freeSlots =
                Math.ceil(burstShare * sum(engines, SnapshotCapacity::reportedFree))
                        - Math.floor(evenShare * sum(engines, SnapshotCapacity::waitingInEngine));
        return new Capacity(
                engines.size(),
                freeSlots - sum(engines, e -> sentSinceReport(e, nowMs)),
                burstShare * slots,
                evenShare * slots,
                mean(engines, e -> e.speed().holdMs()),
                mean(engines, e -> e.speed().prefillTokensPerMs()),
                mean(engines, SnapshotCapacity::stepMsAtFullLoad));
    }

    private double sentSinceReport(EngineView e, long nowMs) {
        return inFlight.expectedLoad(e, nowMs) - reportedLoad(e);
    }

    private static double reportedFree(EngineView e) {
        return Math.max(0, e.usableCapacity() - reportedLoad(e));
    }

    /** Returns the number of sequences that wait for a slot within the engine. */
    private static double waitingInEngine(EngineView e) {
        return Math.max(0, reportedLoad(e) - e.usableCapacity());
    }

    private static int reportedLoad(EngineView e) {
        return e.load().running() + e.load().waiting();
    }

    private static double stepMsAtFullLoad(EngineView e) {
        return e.speed().stepMs() + e.speed().stepGrowthMs() * e.load().capacity();
    }

    private static double sum(List<EngineView> engines, ToDoubleFunction<EngineView> value) {
        return engines.stream().mapToDouble(value).sum();
    }

    private static double mean(List<EngineView> engines, ToDoubleFunction<EngineView> value) {
        return sum(engines, value) / engines.size();
    }
}
