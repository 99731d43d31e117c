package org.masticweir.routing;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.id.WorkClassId;

/** Engines and queries for the tests of this package. */
final class Engines {
    static final DomainId HOME = DomainId.of("d1");
    static final DomainId AWAY = DomainId.of("d2");
    static final ModelId MODEL = ModelId.of("report");
    static final String VERSION = "3";
    static final int CAPACITY = 16;
    static final long HOLD_MS = 1_000;
    static final SpeedEstimate SPEED = SpeedEstimate.of(10, 10, 1, HOLD_MS);
    private static final ImmutableList<String> NO_PREFIX = ImmutableList.of();

    private Engines() {}

    static EngineView engine(String id, int load) {
        return engine(id, HOME, load, 0);
    }

    static EngineView engine(String id, DomainId domain, int load, long reportedAtMs) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        BackEnd backEnd = new BackEnd(EngineId.of(id), address, domain, "g", false);
        int running = Math.min(load, CAPACITY);
        LoadReport report = LoadReport.of(running, load - running, CAPACITY);
        return EngineView.of(backEnd, MODEL, VERSION, report, reportedAtMs, SPEED);
    }

    static RoutingSnapshot snapshot(EngineView... engines) {
        RoutingSnapshot.Builder b = RoutingSnapshot.builder(HOME, 0).extraDelay(AWAY, 2);
        List.of(engines).forEach(b::add);
        return b.build();
    }

    static RouteQuery query() {
        return RouteQuery.first(MODEL, VERSION, WorkClassId.of("reports"), 100, NO_PREFIX);
    }

    static RouteQuery queryWithPrefix(int firstToken, int tokens) {
        List<Integer> prompt = IntStream.range(firstToken, firstToken + tokens).boxed().toList();
        return RouteQuery.first(
                MODEL,
                VERSION,
                WorkClassId.of("reports"),
                tokens,
                PrefixBlocks.hashesOf(MODEL, VERSION, "", prompt));
    }

    static String chosen(EngineChooser chooser, RoutingSnapshot snapshot, RouteQuery query) {
        return chooser.choose(snapshot, query, 0).engine().orElseThrow().id().value();
    }
}
