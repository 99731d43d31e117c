package org.masticweir.router;

import java.util.Collection;
import java.util.Map;
import org.masticweir.id.DomainId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineState;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.routing.SpeedEstimate;

/** Builds the snapshot that traffic threads route by from what the control thread knows. */
final class EngineViews {
    /** Taken for every engine until its pace is measured. */
    private static final SpeedEstimate FIRST_GUESS = SpeedEstimate.of(10, 15, 0.3, 3_000);

    private static final long OTHER_DOMAIN_MS = 3;

    private EngineViews() {}

    /** Returns the snapshot of a router in {@code domain}. */
    static RoutingSnapshot snapshot(DomainId domain, Collection<EngineRecord> records, long nowMs) {
        RoutingSnapshot.Builder routing = RoutingSnapshot.builder(domain, nowMs);
        for (EngineRecord record : records) {
            add(routing, domain, record);
        }
        return routing.build();
    }

    private static void add(RoutingSnapshot.Builder routing, DomainId domain, EngineRecord record) {
        if (record.load().isEmpty()) {
            return;
        }
        DomainId other = record.backEnd().domain();
        if (!other.equals(domain)) {
            routing.extraDelay(other, OTHER_DOMAIN_MS);
        }
        for (Map.Entry<ModelId, String> held : record.versions().entrySet()) {
            EngineView engine =
                    EngineView.of(
                            record.backEnd(),
                            held.getKey(),
                            held.getValue(),
                            record.load().get(),
                            record.reportedAtMs(),
                            FIRST_GUESS);
            routing.add(engine.withState(stateOf(record), 1));
        }
    }

    private static EngineState stateOf(EngineRecord record) {
        if (record.leaving()) {
            return EngineState.LEAVING;
        }
        return record.suspect() ? EngineState.SUSPECT : EngineState.LIVE;
    }
}
