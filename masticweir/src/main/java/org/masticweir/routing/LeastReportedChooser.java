package org.masticweir.routing;

import static java.util.Comparator.comparingDouble;

import org.masticweir.routing.RouteChoice.Chosen;
import org.masticweir.routing.RouteChoice.None;

/** Takes the engine with the least reported load; a baseline that herds. Thread-safe, no state. */
public final class LeastReportedChooser implements EngineChooser {
    private LeastReportedChooser() {}

    public static LeastReportedChooser create() {
        return new LeastReportedChooser();
    }

    @Override
    public RouteChoice choose(RoutingSnapshot snapshot, RouteQuery query, long nowMs) {
        return snapshot.candidates(query.model(), query.version()).all().stream()
                .filter(e -> !query.excluded().contains(e.id()))
                .min(comparingDouble(LeastReportedChooser::reportedShare))
                .<RouteChoice>map(e -> new Chosen(e, 0, 0))
                .orElseGet(() -> new None(Draw.whyNone(snapshot, query)));
    }

    private static double reportedShare(EngineView e) {
        return Candidates.share(e.load().running() + e.load().waiting(), e);
    }
}
