package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.membership.EngineEvent;
import org.masticweir.membership.EngineMembership;
import org.masticweir.membership.EngineStanding;
import org.masticweir.membership.EngineState;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.routing.SpeedEstimate;

/** Replays what is said of engines, and sends each request to the first that takes new work. */
final class EnginesReplay extends Replay {
    private static final long SUSPECT_MS = 10_000;
    private static final long DEAD_MS = 60_000;
    private static final DomainId DOMAIN = DomainId.of("d");
    private static final ModelId MODEL = ModelId.of("report");
    private static final String VERSION = "3";
    private static final LoadReport LOAD = LoadReport.of(0, 0, 16);
    private static final SpeedEstimate SPEED = SpeedEstimate.of(10, 15, 0.3, 3_000);

    private final EngineMembership engines = EngineMembership.of(SUSPECT_MS, DEAD_MS);
    private final boolean listOnly;
    private final List<String> placed = new ArrayList<>();

    /** Under {@code listOnly} the plain policy is replayed: believe the instance list alone. */
    EnginesReplay(boolean listOnly) {
        this.listOnly = listOnly;
    }

    @Override
    void apply(Trace.Event event) {
        switch (event.kind()) {
            case "listed" -> engines.apply(listed(event), nowMs());
            case "reported" -> report(event);
            case "ordered" -> order(event);
            case "request" -> place();
            default -> throw unknown(event);
        }
    }

    private static EngineEvent.Listed listed(Trace.Event event) {
        List<BackEnd> backEnds = new ArrayList<>();
        event.fields().path("live").forEach(id -> backEnds.add(backEnd(id.asText(), false)));
        event.fields().path("leaving").forEach(id -> backEnds.add(backEnd(id.asText(), true)));
        return new EngineEvent.Listed(backEnds);
    }

    private static BackEnd backEnd(String id, boolean leaving) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        return new BackEnd(EngineId.of(id), address, DOMAIN, "g", leaving);
    }

    private void report(Trace.Event event) {
        boolean leaving = !listOnly && event.flag("leaving");
        engines.apply(new EngineEvent.Reported(engineOf(event), leaving), nowMs());
    }

    private void order(Trace.Event event) {
        if (!listOnly) {
            engines.apply(new EngineEvent.Ordered(engineOf(event), event.flag("leaving")), nowMs());
        }
    }

    private static EngineId engineOf(Trace.Event event) {
        return EngineId.of(event.text("engine"));
    }

    private void place() {
        RoutingSnapshot.Builder snapshot = RoutingSnapshot.builder(DOMAIN, nowMs());
        engines.at(nowMs()).values().forEach(s -> snapshot.add(viewOf(s)));
        placed.add(
                snapshot.build().available(MODEL, VERSION).stream()
                        .map(e -> e.id().value())
                        .sorted()
                        .findFirst()
                        .orElse("none"));
    }

    private EngineView viewOf(EngineStanding standing) {
        EngineView view = EngineView.of(standing.backEnd(), MODEL, VERSION, LOAD, nowMs(), SPEED);
        return view.withState(stateOf(standing.state()), 1);
    }

    private static org.masticweir.routing.EngineState stateOf(EngineState state) {
        return switch (state) {
            case LIVE -> org.masticweir.routing.EngineState.LIVE;
            case SUSPECT -> org.masticweir.routing.EngineState.SUSPECT;
            case LEAVING -> org.masticweir.routing.EngineState.LEAVING;
        };
    }

    @Override
    JsonNode outcome() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode list = root.putArray("placed");
        placed.forEach(list::add);
        return root;
    }
}
