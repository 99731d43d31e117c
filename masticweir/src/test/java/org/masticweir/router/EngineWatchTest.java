package org.masticweir.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.control.EngineHoldings;
import org.masticweir.control.EngineRole;
import org.masticweir.control.ModelVersion;
import org.masticweir.engine.BackEnd;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineFailure;
import org.masticweir.routing.EngineState;
import org.masticweir.routing.SpeedEstimate;
import org.masticweir.serving.EngineTraffic;
import org.masticweir.serving.TrafficSource;

/** Tests what the control thread makes of measurements and failures. */
final class EngineWatchTest {
    private static final ModelId MODEL = ModelId.of("report");
    private static final DomainId DOMAIN = DomainId.of("nl-west-a");

    private final EngineTraffic traffic = EngineTraffic.create();
    private final TrafficSource source = new TrafficSource(traffic);
    private final EngineWatch watch = new EngineWatch(traffic, 0);
    private final Map<EngineId, EngineRecord> records = new LinkedHashMap<>();

    EngineWatchTest() {
        for (int i = 1; i <= 6; i++) {
            EngineId id = EngineId.of("e" + i);
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9_000 + i);
            EngineRecord record =
                    new EngineRecord(new BackEnd(id, address, DOMAIN, "report", false));
            record.holds(
                    EngineHoldings.of(Set.of(ModelVersion.of(MODEL, "3", "")), EngineRole.SERVING));
            records.put(id, record);
        }
        watch.watch(records);
    }

    private EngineState stateOf(String engine, long nowMs) {
        return watch.view(nowMs).of(EngineId.of(engine)).state();
    }

    /** Which engines get new work. */
    @Nested
    final class Health {
        // An engine is killed. A stream of it breaks, and new work must go elsewhere at once, not
        // when polls have failed twice. The engine is used again once it answers, little at first.
        @Test
        void aBrokenStreamMakesItsEngineSuspectUntilItAnswers() {
            source.failed(EngineId.of("e2"), EngineFailure.RESET);
            watch.takeTraffic(records, 10);
            assertEquals(EngineState.SUSPECT, stateOf("e2", 10));
            watch.polled(EngineId.of("e2"), true, 200);
            watch.polled(EngineId.of("e2"), true, 400);
            assertEquals(EngineState.LIVE, stateOf("e2", 400));
            assertTrue(watch.view(400).of(EngineId.of("e2")).loadShare() < 0.2);
        }

        // Half of the engines of a model turn slow but still answer. Those that are slow for three
        // intervals are set aside, and never more than a third, or the rest would drown.
        @Test
        void slowEnginesAreEjectedWithinTheCap() {
            for (int second = 1; second <= 5; second++) {
                for (int i = 1; i <= 6; i++) {
                    source.gaps(EngineId.of("e" + i), MODEL, 40, i >= 5 ? 400 : 20);
                }
                watch.takeTraffic(records, second * 1_000);
            }
            assertEquals(EngineState.EJECTED, stateOf("e5", 5_000));
            assertEquals(EngineState.EJECTED, stateOf("e6", 5_000));
            assertEquals(EngineState.LIVE, stateOf("e1", 5_000));
        }
    }

    /** How fast engines are believed to be. */
    @Nested
    final class Speed {
        @Test
        void stepAndPrefillFollowWhatWasMeasured() {
            EngineId id = EngineId.of("e1");
            for (int second = 1; second <= 60; second++) {
                source.gaps(id, MODEL, 40, 40);
                for (int tokens = 100; tokens <= 2_000; tokens += 100) {
                    source.firstToken(id, MODEL, tokens, 50 + tokens);
                }
                watch.takeTraffic(records, second * 1_000);
            }
            SpeedEstimate speed = watch.speed(id, MODEL, 60_000);
            assertEquals(40, speed.stepMs(), 6);
            assertEquals(1, speed.prefillTokensPerMs(), 0.1);
        }

        // One stall makes an engine look far too slow for any target, so all its work is refused
        // and nothing new is measured. The estimate must come back by itself.
        @Test
        void anEstimateWithoutNewMeasurementsReturnsToTheFirstGuess() {
            EngineId id = EngineId.of("e1");
            source.gaps(id, MODEL, 40, 5_000);
            source.firstToken(id, MODEL, 5_000, 60_000);
            watch.takeTraffic(records, 1_000);
            SpeedEstimate slow = watch.speed(id, MODEL, 1_000);
            SpeedEstimate later = watch.speed(id, MODEL, 300_000);
            assertTrue(slow.stepMs() > 500, "step " + slow.stepMs());
            assertEquals(15, later.stepMs(), 2);
            assertEquals(10, later.prefillTokensPerMs(), 1);
        }
    }

    /** What other domains cost. */
    @Nested
    final class Delays {
        @Test
        void theDifferenceOfRoundTripsIsTheDelayAndSilenceIsNone() {
            DomainDelays delays = new DomainDelays(DOMAIN);
            DomainId other = DomainId.of("nl-west-b");
            List<Long> trips = new ArrayList<>(List.of(5L, 5L, 90L));
            trips.forEach(ms -> delays.answered(other, ms, 100));
            delays.answered(DOMAIN, 2, 100);
            assertEquals(3, delays.extraMs(other, 100).orElseThrow());
            assertTrue(delays.extraMs(other, 60_000).isEmpty());
        }
    }
}
