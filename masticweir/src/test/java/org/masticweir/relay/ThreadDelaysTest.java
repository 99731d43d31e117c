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
    private int stacksTaken;
    private int stuckCalls;

    private final ThreadDelays delays =
            new ThreadDelays(
                    control,
                    traffic::add,
                    () -> {
                        stacksTaken++;
                        return new Throwable().getStackTrace();
                    },
                    control.clock(),
                    metrics);

    @BeforeEach
    void setUp() {
        delays.stuckFuture().thenRun(() -> stuckCalls++);
        delays.start();
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

    private long stalls() {
        return metrics.counter(MetricName.of("traffic_thread_stalls_total")).getCount();
    }

    private void runTraffic() {
        while (!traffic.isEmpty()) {
            traffic.remove().run();
        }
    }

    /** Guards against a traffic thread that never returns from its work and leaves no trace. */
    @Test
    void reportsEachStallOnceWhileItLasts() {
        control.runTo(500 + ThreadDelays.STALL_THRESHOLD_MS - 1);
        assertEquals(0, stalls());
        control.runTo(10_000);
        assertEquals(1, stalls());
        assertEquals(1, stacksTaken);
        runTraffic();
        control.runTo(11_000);
        runTraffic();
        control.runTo(20_000);
        assertEquals(2, stalls());
    }

    @Test
    void reportsNoStallOfAThreadThatRuns() {
        for (int ms = 500; ms < 20_000; ms += 500) {
            control.runTo(ms);
            runTraffic();
        }
        assertEquals(0, stalls());
        assertEquals(0, stuckCalls);
    }

    /** Guards against a process that lives and serves nobody. */
    @Test
    void reportsOnceThatTheThreadIsStuck() {
        control.runTo(500 * ThreadDelays.STUCK_PROBES);
        assertEquals(0, stuckCalls);
        control.runTo(500 * (ThreadDelays.STUCK_PROBES + 1));
        assertEquals(1, stuckCalls);
        control.runTo(60_000);
        assertEquals(1, stuckCalls);
    }

    /** Guards against the end of a process whose machine stood still. */
    @Test
    void doesNotTakeAStoppedMachineForAStuckThread() {
        control.runTo(500);
        control.clock().advanceMs(60_000);
        control.runTo(61_000);
        runTraffic();
        control.runTo(65_000);
        assertEquals(0, stuckCalls);
    }

    @Test
    void describesAStackInOneLine() {
        StackTraceElement[] stack = {
            new StackTraceElement("java.B", "c", "B.java", 7),
            new StackTraceElement("java.D", "e", "D.java", 8),
            new StackTraceElement("org.masticweir.F", "g", "F.java", 9)
        };
        assertEquals("java.B.c:7 < org.masticweir.F.g:9", ThreadDelays.describe(stack));
        assertEquals("", ThreadDelays.describe(new StackTraceElement[0]));
    }
}
