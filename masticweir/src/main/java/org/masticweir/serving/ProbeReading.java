package org.masticweir.serving;

import java.util.List;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.recovery.RecoveryEvent;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RoutingSnapshot;

/**
 * What a probe's outcome means where a request has nowhere else to go; stateless.
 *
 * <p>Failure guarded against: a domain that is cut off has one engine, the machine stalls, and the
 * engine answers neither stream nor probe in time. The request leaves it, finds only the same
 * engine, and its prompt is computed again there beside the first computation. Such an engine is
 * left once routing no longer takes it for one that serves, or has another.
 */
final class ProbeReading {
    private ProbeReading() {}

    /** Returns what the request on {@code engine} takes from a probe that ended as {@code told}. */
    static RecoveryEvent of(
            RecoveryEvent told,
            EngineId engine,
            RoutingSnapshot routing,
            ModelId model,
            String version) {
        if (!(told instanceof RecoveryEvent.ProbeFailed failed)) {
            return told;
        }
        List<EngineView> available = routing.available(model, version);
        boolean wouldReturn = available.size() == 1 && available.get(0).id().equals(engine);
        return wouldReturn ? new RecoveryEvent.ProbeWithheld(failed.attempt()) : told;
    }
}
