package org.masticweir.reports;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.control.EngineHoldings;
import org.masticweir.control.EngineRole;
import org.masticweir.control.ModelVersion;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RouterId;

/** Which readings are told, and which engines another domain hears of. */
final class ToldReportsTest {
    private static final EngineId E1 = EngineId.of("e1");
    private static final int CAPACITY = 64;
    private final ToldReports told = ToldReports.repeating(2_000);

    private static EngineDigest reading(EngineId id, int running, EngineRole role, String version) {
        Set<ModelVersion> models = Set.of(ModelVersion.of(ModelId.of("report"), version, ""));
        LoadReport load = LoadReport.of(running, 0, CAPACITY);
        return EngineDigest.of(id, EngineReading.full(0, load, EngineHoldings.of(models, role)));
    }

    private ImmutableList<EngineDigest> due(EngineDigest digest, long nowMs) {
        return told.due(List.of(digest), nowMs);
    }

    private static EngineReading only(List<EngineDigest> due) {
        assertEquals(1, due.size());
        return due.get(0).reading().orElseThrow();
    }

    /** What is told at once. */
    @Nested
    final class News {
        @Test
        void theFirstReadingIsToldInFullAndASmallMoveIsNot() {
            EngineReading first = only(due(reading(E1, 10, EngineRole.SERVING, "1"), 0));
            assertTrue(first.holdings().isPresent());
            assertTrue(due(reading(E1, 13, EngineRole.SERVING, "1"), 1_000).isEmpty());
        }

        @Test
        void aStepIsToldWithoutTheModels() {
            due(reading(E1, 10, EngineRole.SERVING, "1"), 0);
            EngineReading moved = only(due(reading(E1, 14, EngineRole.SERVING, "1"), 1_000));
            assertEquals(14, moved.load().running());
            assertEquals(Optional.empty(), moved.holdings());
        }

        /*
         * An engine says that it leaves, and routers go on sending it new work. Cause: its load did
         * not move, so its report was no news.
         */
        @Test
        void leavingIsNewsThoughTheLoadStands() {
            due(reading(E1, 10, EngineRole.SERVING, "1"), 0);
            EngineReading left = only(due(reading(E1, 10, EngineRole.LEAVING, "1"), 1_000));
            assertEquals(EngineRole.LEAVING, left.role());
        }

        @Test
        void anotherVersionIsToldInFull() {
            due(reading(E1, 10, EngineRole.SERVING, "1"), 0);
            EngineReading next = only(due(reading(E1, 10, EngineRole.SERVING, "2"), 1_000));
            assertTrue(next.holdings().isPresent());
        }

        @Test
        void anEngineThatStopsAnsweringIsNews() {
            due(reading(E1, 10, EngineRole.SERVING, "1"), 0);
            assertEquals(1, due(EngineDigest.unanswered(E1), 1_000).size());
        }
    }

    /** What is told again. */
    @Nested
    final class Repeats {
        /*
         * A peer takes an engine for silent and reads it, or never learns its models. The one
         * message that told it was lost with its link. So each reading is repeated, and models too.
         */
        @Test
        void aReadingIsRepeatedAndItsModelsNowAndThen() {
            int messages = 0;
            int full = 0;
            for (long nowMs = 0; nowMs < 60_000; nowMs += 1_000) {
                List<EngineDigest> due = due(reading(E1, 10, EngineRole.SERVING, "1"), nowMs);
                messages += due.size();
                full += (int) due.stream().filter(ToldReportsTest::isFull).count();
            }
            assertEquals(30, messages);
            assertEquals(3, full);
        }

        @Test
        void aNewPeerHearsAllInFull() {
            due(reading(E1, 10, EngineRole.SERVING, "1"), 0);
            told.tellAll();
            assertTrue(isFull(due(reading(E1, 10, EngineRole.SERVING, "1"), 200).get(0)));
        }

        @Test
        void nothingIsToldTwiceWithoutANewReading() {
            due(reading(E1, 10, EngineRole.SERVING, "1"), 0);
            EngineReading aged =
                    new EngineReading(
                            5_000,
                            LoadReport.of(10, 0, CAPACITY),
                            EngineRole.SERVING,
                            Optional.empty());
            assertTrue(due(EngineDigest.of(E1, aged), 5_000).isEmpty());
        }
    }

    private static boolean isFull(EngineDigest d) {
        return d.reading().flatMap(EngineReading::holdings).isPresent();
    }

    /** Engines of which another domain hears. */
    @Nested
    final class ForOtherDomains {
        @Test
        void askersHearOfDifferentEnginesThatHaveRoom() {
            ImmutableList.Builder<EngineDigest> all = ImmutableList.builder();
            for (int i = 0; i < 40; i++) {
                all.add(reading(EngineId.of("e" + i), i, EngineRole.SERVING, "1"));
            }
            all.add(reading(EngineId.of("gone"), 0, EngineRole.LEAVING, "1"));
            Set<EngineId> seen = new HashSet<>();
            for (int r = 0; r < 20; r++) {
                List<EngineDigest> some = FarCandidates.of(all.build(), RouterId.of("r" + r), 3);
                assertEquals(3, some.size());
                some.forEach(d -> assertTrue(load(d) < 20, d::toString));
                some.forEach(d -> seen.add(d.engine()));
            }
            assertTrue(seen.size() > 10, "askers share " + seen);
        }

        private int load(EngineDigest d) {
            return d.reading().orElseThrow().load().running();
        }
    }
}
