package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.masticweir.peer.LinkCounters;
import org.masticweir.peer.Traffic;

/** Shows on the metrics page what the links between routers carried, over all message types. */
final class LinkGauges {
    private LinkGauges() {}

    /** Registers {@code peer_frames_in}, {@code peer_bytes_in} and the same for out. */
    static void register(MetricRegistry metrics, Supplier<LinkCounters> counters) {
        checkNotNull(metrics, "metrics");
        checkNotNull(counters, "counters");
        metrics.register("peer_frames_in", sum(counters, Traffic::framesIn));
        metrics.register("peer_bytes_in", sum(counters, Traffic::bytesIn));
        metrics.register("peer_frames_out", sum(counters, Traffic::framesOut));
        metrics.register("peer_bytes_out", sum(counters, Traffic::bytesOut));
    }

    private static Gauge<Long> sum(
            Supplier<LinkCounters> counters, ToLongFunction<Traffic> figure) {
        return () -> counters.get().byType().values().stream().mapToLong(figure).sum();
    }
}
