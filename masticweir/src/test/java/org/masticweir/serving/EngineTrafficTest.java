package org.masticweir.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineFailure;

/** Tests the hand-over from traffic threads to the control thread. */
final class EngineTrafficTest {
    private static final EngineId E1 = EngineId.of("e1");
    private static final ModelId MODEL = ModelId.of("report");

    private final EngineTraffic traffic = EngineTraffic.create();

    /** Counted failures. */
    @Nested
    final class Failures {
        // An engine dies with a batch of 500 streams. All of them report a reset within a
        // millisecond; the control thread must hear of it at once, and once.
        @Test
        void aBurstWakesTheControlThreadOnce() {
            AtomicInteger woken = new AtomicInteger();
            traffic.wakeWith(woken::incrementAndGet);
            for (int i = 0; i < 500; i++) {
                traffic.failed(E1, EngineFailure.RESET);
            }
            assertEquals(1, woken.get());
            EngineEvents seen = Iterables.getOnlyElement(traffic.drainEvents());
            assertEquals(500, seen.failures().count(EngineFailure.RESET));
            traffic.failed(E1, EngineFailure.REFUSED);
            assertEquals(2, woken.get());
            assertEquals(
                    ImmutableMultiset.of(EngineFailure.REFUSED),
                    Iterables.getOnlyElement(traffic.drainEvents()).failures());
            assertTrue(traffic.drainEvents().isEmpty());
        }
    }

    /** Recorded token times. */
    @Nested
    final class Paces {
        @Test
        void anIntervalHoldsWhatCameSinceTheLast() {
            PaceRecorder pace = traffic.pace(E1, MODEL);
            for (int i = 0; i < 30; i++) {
                pace.gap(20, 1);
            }
            pace.firstToken(100, 30);
            PaceInterval first = Iterables.getOnlyElement(traffic.drainPaces());
            assertEquals(30, first.gaps());
            assertEquals(20, first.meanGapMs(), 1);
            assertEquals(3_000, first.attempts().tokensByMs());
            pace.gap(40, 1);
            assertEquals(40, Iterables.getOnlyElement(traffic.drainPaces()).highGapMs(), 2);
            assertTrue(traffic.drainPaces().isEmpty());
        }

        /** A router that lags reads several tokens at once; its engine is not slower for that. */
        @Test
        void tokensOfOneFrameShareItsGap() {
            PaceRecorder pace = traffic.pace(E1, MODEL);
            for (int i = 0; i < 10; i++) {
                pace.gap(80, 4);
            }
            PaceInterval interval = Iterables.getOnlyElement(traffic.drainPaces());
            assertEquals(40, interval.gaps());
            assertEquals(20, interval.meanGapMs(), 1);
        }

        @Test
        void enginesThatAreGoneAreForgotten() {
            traffic.pace(E1, MODEL).gap(20, 1);
            traffic.retain(ImmutableSet.of());
            assertTrue(traffic.drainPaces().isEmpty());
        }
    }
}
