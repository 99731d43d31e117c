package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticweir.metrics.MetricName;
import org.masticweir.time.ManualScheduler;

/** Measured scheduling delays of a router's threads. */
class ThreadDelaysTest {
    private final ManualScheduler control = new ManualScheduler();
    private final Queue<Runnable> traffic = new ArrayDeque<>();
    private final MetricRegistry metrics = new MetricRegistry();

    @BeforeEach
    void setUp() {
        new ThreadDelays(control, traffic::add, control.clock(), metrics).start();
    }

    private long longestMs(String thread) {
        return metrics.histogram(MetricName.of("thread_delay_ms", "thread", thread))
                .getSnapshot()
                .getMax();
    }

    @Test
    void delayIsZeroWithoutStalls() {
        control.runTo(600);
        traffic.remove().run();
        control.runTo(1_200);
        assertEquals(1, traffic.size());
        assertEquals(0, longestMs("control"));
        assertEquals(100, longestMs("traffic"));
    }

    @Test
    void measuresAStalledTrafficThread() {
        control.runTo(500);
        control.clock().advanceMs(120);
        traffic.remove().run();
        assertEquals(120, longestMs("traffic"));
    }

    @Test
    void measuresAStalledControlThread() {
        control.at(499, () -> control.clock().advanceMs(300));
        control.runTo(1_000);
        traffic.remove().run();
        assertEquals(299, longestMs("control"));
    }
}
