package org.masticweir.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticweir.routing.RouteChoice.Chosen;
import org.masticweir.routing.RouteChoice.None;

/**
 * Takes available engines in turn; the baseline that other choosers are measured by. Thread-safe.
 */
public final class RoundRobinChooser implements EngineChooser {
    private final AtomicInteger next = new AtomicInteger();

    private RoundRobinChooser() {}

    public static RoundRobinChooser create() {
        return new RoundRobinChooser();
    }

    @Override
    public RouteChoice choose(RoutingSnapshot snapshot, RouteQuery query, long nowMs) {
        List<EngineView> all = snapshot.candidates(query.model(), query.version()).all();
        for (int i = 0; i < all.size(); i++) {
            EngineView e = all.get(Math.floorMod(next.getAndIncrement(), all.size()));
            if (!query.excluded().contains(e.id())) {
                return new Chosen(e, 0, 0);
            }
        }
        return new None(Draw.whyNone(snapshot, query));
    }
}
