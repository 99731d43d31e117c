package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.masticweir.http.IpAddress;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.InFlight;
import org.masticweir.routing.RoutingSnapshot;

/** Lists the engines of the current routing snapshot; thread-safe. */
public final class EngineQueries {
    private final Supplier<RoutingSnapshot> routing;
    private final InFlight inFlight;

    private EngineQueries(Supplier<RoutingSnapshot> routing, InFlight inFlight) {
        this.routing = checkNotNull(routing, "routing");
        this.inFlight = checkNotNull(inFlight, "inFlight");
    }

    public static EngineQueries of(Supplier<RoutingSnapshot> routing, InFlight inFlight) {
        return new EngineQueries(routing, inFlight);
    }

    /** Returns each engine once, by id, however many models it serves. */
    public EngineList list() {
        Map<String, EngineView> byId = new TreeMap<>();
        routing.get().enginesByModel().values().forEach(e -> byId.putIfAbsent(e.id().value(), e));
        return new EngineList(
                byId.values().stream().map(this::describe).collect(toImmutableList()));
    }

    private EngineList.Engine describe(EngineView view) {
        return new EngineList.Engine(
                view.id(),
                view.backEnd().domain(),
                view.backEnd().group(),
                IpAddress.text(view.backEnd().address()),
                view.state(),
                view.load().running(),
                view.load().waiting(),
                view.load().capacity(),
                inFlight.outstanding(view.id()));
    }
}
