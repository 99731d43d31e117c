package org.masticweir.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSetMultimap;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/** Tests which engines are set aside and when they return. */
class EngineHealthTest {
    private static final ModelId MODEL = ModelId.of("report");
    private static final int INTERVAL_MS = 1_000;

    private static EngineId id(int i) {
        return EngineId.of("e" + i);
    }

    private static EngineHealth watching(int engines) {
        ImmutableSetMultimap.Builder<EngineId, ModelId> ids = ImmutableSetMultimap.builder();
        for (int i = 0; i < engines; i++) {
            ids.put(id(i), MODEL);
        }
        EngineHealth health = EngineHealth.create();
        health.watch(ids.build());
        return health;
    }

    private static List<TokenGaps.Sample> gaps(int... ms) {
        List<TokenGaps.Sample> samples = new ArrayList<>();
        for (int i = 0; i < ms.length; i++) {
            samples.add(new TokenGaps.Sample(id(i), MODEL, 100, ms[i]));
        }
        return samples;
    }

    private static long count(EngineHealth health, EngineState state, long nowMs) {
        return health.view(nowMs).standings().values().stream()
                .filter(s -> s.state() == state)
                .count();
    }

    /**
     * A domain is alone, and its callers are refused for half a second although its only engine
     * lives: the machine stalled, one stream stayed silent past its bound, and the engine was set
     * aside until two probes had answered.
     */
    @Nested
    class LastOneThatFallsSilent {
        private final EngineHealth health = watching(2);

        private EngineState state(int engine) {
            return health.view(100).of(id(engine)).state();
        }

        @Test
        void goesOnServing() {
            health.failed(id(0), EngineFailure.CONNECT_FAILED, 50);
            health.failed(id(1), EngineFailure.SILENT, 100);
            assertEquals(EngineState.LIVE, state(1));
            assertEquals(EngineState.SUSPECT, state(0));
        }

        @Test
        void servesAgainOnceTheOtherIsFoundLost() {
            health.failed(id(1), EngineFailure.SILENT, 50);
            assertEquals(EngineState.SUSPECT, state(1), "another one is there");
            health.failed(id(0), EngineFailure.CONNECT_FAILED, 100);
            assertEquals(EngineState.LIVE, state(1));
        }

        /** The stall that keeps a stream silent keeps the request's probe waiting as well. */
        @Test
        void goesOnServingAfterAProbeWithoutAnswer() {
            health.failed(id(0), EngineFailure.CONNECT_FAILED, 50);
            health.failed(id(1), EngineFailure.SILENT, 60);
            health.probed(id(1), false, 60);
            assertEquals(EngineState.LIVE, state(1));
        }

        @Test
        void isSetAsideOnceProbesStayWithoutAnswer() {
            health.failed(id(0), EngineFailure.CONNECT_FAILED, 50);
            health.failed(id(1), EngineFailure.SILENT, 60);
            for (int i = 0; i < 4; i++) {
                health.probed(id(1), false, 60 + i);
            }
            assertEquals(EngineState.SUSPECT, state(1));
        }

        @Test
        void isSetAsideIfItAlsoBreaksOff() {
            health.failed(id(0), EngineFailure.CONNECT_FAILED, 50);
            health.failed(id(1), EngineFailure.SILENT, 60);
            health.failed(id(1), EngineFailure.RESET, 100);
            assertEquals(EngineState.SUSPECT, state(1));
        }
    }

    /** All other engines of a model are lost while one is on its slow return. */
    @Nested
    class LastOnesReturning {
        private static final long LOST_MS = 1_000;

        private void comeBack(EngineHealth health, int engine, long atMs) {
            health.failed(id(engine), EngineFailure.RESET, atMs);
            health.probed(id(engine), true, atMs);
            health.probed(id(engine), true, atMs);
        }

        /*
         * Callers are refused as if there were too many, though an engine idles. An engine comes
         * back, and before its share has grown the others are cut off.
         * Cause: the small share of a slow return was taken for all that the model can serve.
         */
        @Test
        void aLoneOneIsUsedInFull() {
            EngineHealth health = watching(2);
            comeBack(health, 0, LOST_MS);
            assertEquals(0.1, health.view(LOST_MS).of(id(0)).loadShare(), 0.01);
            health.failed(id(1), EngineFailure.RESET, LOST_MS);
            assertEquals(Standing.GOOD, health.view(LOST_MS).of(id(0)));
        }

        @Test
        void severalAreUsedInProportion() {
            EngineHealth health = watching(2);
            comeBack(health, 0, LOST_MS);
            comeBack(health, 1, LOST_MS + 10_000);
            HealthView view = health.view(LOST_MS + 10_000);
            assertEquals(Standing.GOOD, view.of(id(0)));
            assertEquals(0.1 / 0.55, view.of(id(1)).loadShare(), 0.01);
        }
    }

    /** An engine answers, but slowly. */
    @Nested
    class SlowEngine {
        /*
         * Some callers see tokens trickle while probes say all is well. One engine of six steps at
         * ten times the gap of the others (a failing accelerator) and goes on taking new work.
         * Cause: it answers every probe; only its own token gaps show it.
         */
        @Test
        void isEjectedAndReturnsSlowly() {
            EngineHealth health = watching(6);
            for (int n = 1; n <= 3; n++) {
                assertEquals(EngineState.LIVE, health.view(0).of(id(5)).state());
                health.judge(gaps(25, 26, 27, 25, 24, 260), n * INTERVAL_MS);
            }
            assertEquals(EngineState.EJECTED, health.view(3_000).of(id(5)).state());
            health.judge(gaps(25, 26, 27, 25, 24), 13_000);
            assertEquals(0.1, health.view(13_000).of(id(5)).loadShare(), 0.01);
            assertEquals(0.55, health.view(23_000).of(id(5)).loadShare(), 0.01);
            health.judge(gaps(25, 26, 27, 25, 24, 26), 34_000);
            assertEquals(Standing.GOOD, health.view(34_000).of(id(5)));
        }

        @Test
        void loadThatSlowsAllEjectsNone() {
            EngineHealth health = watching(4);
            for (int n = 1; n <= 5; n++) {
                assertTrue(health.judge(gaps(300, 280, 310, 330), n * INTERVAL_MS).isEmpty());
            }
        }
    }

    /** Streams break or attempts are refused. */
    @Nested
    class FailedEngine {
        @Test
        void isSuspectAtOnceAndReturnsAfterProbes() {
            EngineHealth health = watching(3);
            assertTrue(health.failed(id(0), EngineFailure.RESET, 0).isPresent());
            assertFalse(health.failed(id(0), EngineFailure.RESET, 0).isPresent());
            assertFalse(health.probed(id(0), true, 100).isPresent());
            assertFalse(health.probed(id(0), false, 200).isPresent());
            assertFalse(health.probed(id(0), true, 300).isPresent());
            assertTrue(health.probed(id(0), true, 400).isPresent());
            assertEquals(EngineState.LIVE, health.view(400).of(id(0)).state());
        }

        /*
         * In overload callers get "no engine" although all engines work. Every engine refuses, each
         * refusal counts against its engine, and one after another is set aside until none is left.
         * Cause: a refusal says that an engine is full, not that it is broken.
         */
        @Test
        void refusalsInOverloadSetAsideAThirdAtMost() {
            EngineHealth health = watching(9);
            for (int n = 0; n < 90; n++) {
                health.failed(id(n % 9), EngineFailure.REFUSED, n);
            }
            assertEquals(3, count(health, EngineState.EJECTED, 90));
            assertEquals(6, count(health, EngineState.LIVE, 90));
        }

        @Test
        void theLastOneEjectedReturnsWhenAllOthersFail() {
            EngineHealth health = watching(3);
            for (int n = 1; n <= 3; n++) {
                health.judge(gaps(25, 25, 260), n * INTERVAL_MS);
            }
            assertEquals(EngineState.EJECTED, health.view(3_000).of(id(2)).state());
            health.failed(id(0), EngineFailure.RESET, 3_100);
            health.failed(id(1), EngineFailure.RESET, 3_100);
            health.judge(List.of(), 4_000);
            assertEquals(EngineState.LIVE, health.view(4_000).of(id(2)).state());
        }
    }

    @Property(seed = "7", tries = 300)
    void neverMoreThanAThirdIsEjectedAndOneIsLeft(
            @ForAll @IntRange(min = 1, max = 12) int engines,
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 1, max = 2_000) Integer> gaps) {
        EngineHealth health = watching(engines);
        long now = 0;
        for (int at = 0; at + engines <= gaps.size(); at += engines) {
            int[] ms = gaps.subList(at, at + engines).stream().mapToInt(g -> g).toArray();
            for (int n = 0; n < 3; n++) {
                now += INTERVAL_MS;
                health.judge(gaps(ms), now);
                assertTrue(count(health, EngineState.EJECTED, now) <= engines / 3);
                assertTrue(count(health, EngineState.LIVE, now) >= 1);
            }
        }
    }
}
