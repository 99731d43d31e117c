package org.masticweir.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;
import org.masticweir.peer.LinkCounters;
import org.masticweir.peer.Traffic;

/** What the metrics page shows of the links between routers. */
class LinkGaugesTest {
    @Test
    void sumsAllMessageTypes() {
        LinkCounters counters =
                new LinkCounters(
                        ImmutableMap.of(),
                        ImmutableMap.of(16, new Traffic(1, 10, 2, 20), 49, new Traffic(3, 5, 4, 7)),
                        0,
                        0,
                        0);
        MetricRegistry metrics = new MetricRegistry();
        LinkGauges.register(metrics, () -> counters);
        assertEquals(4L, metrics.gauge("peer_frames_in").getValue());
        assertEquals(15L, metrics.gauge("peer_bytes_in").getValue());
        assertEquals(6L, metrics.gauge("peer_frames_out").getValue());
        assertEquals(27L, metrics.gauge("peer_bytes_out").getValue());
    }
}
