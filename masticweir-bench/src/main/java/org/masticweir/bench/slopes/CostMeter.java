package org.masticweir.bench.slopes;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.masticweir.time.Clock;

/** Reads running totals of routers and platform, and tells the costs between two readings. */
final class CostMeter {
    private static final double MS_PER_S = 1000;
    private static final double BYTES_PER_KB = 1000;
    private static final double KIB_PER_MB = 1e6 / 1024;
    private static final double PERCENT = 100;

    private final JsonCalls calls;
    private final Clock clock;
    private final InetSocketAddress platform;
    private final ImmutableList<RouterProcess> routers;

    CostMeter(
            JsonCalls calls,
            Clock clock,
            InetSocketAddress platform,
            ImmutableList<RouterProcess> routers) {
        this.calls = checkNotNull(calls, "calls");
        this.clock = checkNotNull(clock, "clock");
        this.platform = checkNotNull(platform, "platform");
        this.routers = checkNotNull(routers, "routers");
    }

    Totals read() {
        JsonNode table = calls.get(platform, "/control/records");
        ImmutableList.Builder<ProcessReading> processes = ImmutableList.builder();
        long frames = 0;
        long bytes = 0;
        long tokens = 0;
        for (RouterProcess router : routers) {
            JsonNode metrics = calls.get(router.operators(), "/metrics");
            JsonNode gauges = metrics.path("gauges");
            tokens += tokens(metrics.path("counters"));
            frames += sum(gauges, "peer_frames_in", "peer_frames_out");
            bytes += sum(gauges, "peer_bytes_in", "peer_bytes_out");
            processes.add(ProcessReading.of(router.pid()));
        }
        long reads = table.path("reads").asLong();
        long writes = table.path("writes").asLong();
        return new Totals(clock.nowMs(), reads, writes, frames, bytes, tokens, processes.build());
    }

    private static long sum(JsonNode gauges, String in, String out) {
        return gauges.path(in).asLong() + gauges.path(out).asLong();
    }

    /** Sums over the classes; the same tokens are counted by team as well. */
    private static long tokens(JsonNode counters) {
        long sum = 0;
        for (Map.Entry<String, JsonNode> counter : counters.properties()) {
            if (counter.getKey().startsWith("tokens.class.")) {
                sum += counter.getValue().asLong();
            }
        }
        return sum;
    }

    /** Totals since the processes' starts; immutable. */
    record Totals(
            long atMs,
            long tableReads,
            long tableWrites,
            long peerFrames,
            long peerBytes,
            long tokens,
            ImmutableList<ProcessReading> processes) {

        /** Returns what the time from {@code before} until this reading cost. */
        ImmutableMap<Cost, Double> since(Totals before) {
            double seconds = (atMs - before.atMs) / MS_PER_S;
            double routerSeconds = seconds * processes.size();
            double cpuMs = grown(before, ProcessReading::cpuMs);
            double read = grown(before, ProcessReading::readBytes);
            double written = grown(before, ProcessReading::writtenBytes);
            double rssKb = sum(ProcessReading::rssKb) / (double) processes.size();
            return ImmutableMap.<Cost, Double>builder()
                    .put(Cost.ROUTER_CPU_PERCENT, cpuMs / MS_PER_S / routerSeconds * PERCENT)
                    .put(Cost.ROUTER_RSS_MB, rssKb / KIB_PER_MB)
                    .put(Cost.ROUTER_READ_KB_PER_S, read / BYTES_PER_KB / routerSeconds)
                    .put(Cost.ROUTER_WRITTEN_KB_PER_S, written / BYTES_PER_KB / routerSeconds)
                    .put(Cost.PEER_FRAMES_PER_S, (peerFrames - before.peerFrames) / routerSeconds)
                    .put(Cost.PEER_BYTES_PER_S, (peerBytes - before.peerBytes) / routerSeconds)
                    .put(Cost.ROUTER_TOKENS_PER_S, (tokens - before.tokens) / routerSeconds)
                    .put(Cost.TABLE_READS_PER_S, (tableReads - before.tableReads) / seconds)
                    .put(Cost.TABLE_WRITES_PER_S, (tableWrites - before.tableWrites) / seconds)
                    .build();
        }

        private double grown(Totals before, ToLongFunction<ProcessReading> figure) {
            return sum(figure) - before.sum(figure);
        }

        private long sum(ToLongFunction<ProcessReading> figure) {
            return processes.stream().mapToLong(figure).sum();
        }
    }
}
