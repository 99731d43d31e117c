package org.masticweir.router;

import org.masticweir.control.ModelVersion;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.routing.EngineState;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.HealthView;
import org.masticweir.routing.RoutingSnapshot;

/** Builds the snapshot that traffic threads route by from what the control thread knows. */
final class EngineViews {
    private EngineViews() {}

    /** Returns the snapshot of a router in {@code domain}. */
    static RoutingSnapshot snapshot(DomainId domain, EnginePoller engines, long nowMs) {
        RoutingSnapshot.Builder routing = RoutingSnapshot.builder(domain, nowMs);
        HealthView health = engines.watch().view(nowMs);
        for (EngineRecord record : engines.records()) {
            if (record.load().isPresent()) {
                addDelay(routing, domain, engines, record, nowMs);
                add(routing, record, health, engines.watch(), nowMs);
            }
        }
        return routing.build();
    }

    private static void addDelay(
            RoutingSnapshot.Builder routing,
            DomainId domain,
            EnginePoller engines,
            EngineRecord record,
            long nowMs) {
        DomainId other = record.backEnd().domain();
        if (!other.equals(domain)) {
            engines.delays().extraMs(other, nowMs).ifPresent(ms -> routing.extraDelay(other, ms));
        }
    }

    private static void add(
            RoutingSnapshot.Builder routing,
            EngineRecord record,
            HealthView health,
            EngineWatch watch,
            long nowMs) {
        EngineId id = record.backEnd().id();
        for (ModelVersion held : record.models()) {
            EngineView engine =
                    EngineView.of(
                                    record.backEnd(),
                                    held.model(),
                                    held.version(),
                                    record.load().get(),
                                    record.reportedAtMs(),
                                    watch.speed(id, held.model(), nowMs))
                            .withCache(record.cache());
            routing.add(
                    record.leaving()
                            ? engine.withState(EngineState.LEAVING, 1)
                            : health.of(id).applyTo(engine));
        }
    }
}
