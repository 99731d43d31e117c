package org.masticweir.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.routing.Engines.chosen;
import static org.masticweir.routing.Engines.engine;
import static org.masticweir.routing.Engines.query;
import static org.masticweir.routing.Engines.queryWithPrefix;
import static org.masticweir.routing.Engines.snapshot;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/** Tests the choice of an engine on small snapshots. */
class ExpectedDelayChooserTest {
    private final InFlight inFlight = InFlight.create();
    private final Random random = new Random(1);
    private final EngineChooser chooser = ExpectedDelayChooser.create(inFlight, () -> random);

    private RouteChoice.Reason reason(RoutingSnapshot s, RouteQuery q) {
        return ((RouteChoice.None) chooser.choose(s, q, 0)).reason();
    }

    /** No engine may take the attempt. */
    @Nested
    class WithoutAnEngine {
        @Test
        void tellsWhy() {
            RoutingSnapshot s = snapshot(engine("e1", 0).withState(EngineState.SUSPECT, 1));
            RouteQuery q = query();
            RouteQuery otherVersion = RouteQuery.first(q.model(), "4", q.workClass(), 1, List.of());
            RouteQuery otherModel =
                    RouteQuery.first(ModelId.of("x"), "3", q.workClass(), 1, List.of());
            assertEquals(RouteChoice.Reason.NONE_AVAILABLE, reason(s, q));
            assertEquals(RouteChoice.Reason.VERSION_NOT_LOADED, reason(s, otherVersion));
            assertEquals(RouteChoice.Reason.UNKNOWN_MODEL, reason(s, otherModel));
            assertEquals(
                    RouteChoice.Reason.ALL_EXCLUDED,
                    reason(snapshot(engine("e1", 0)), q.excluding(EngineId.of("e1"))));
        }

        @Test
        void nothingNewGoesToEnginesOutOfService() {
            for (EngineState state : EngineState.values()) {
                RoutingSnapshot s =
                        snapshot(engine("idle", 0).withState(state, 1), engine("busy", 15));
                boolean idle = chosen(chooser, s, query()).equals("idle");
                assertEquals(state.takesNewWork(), idle, state.name());
            }
        }
    }

    /** Engines of two failure domains. */
    @Nested
    class AcrossDomains {
        @Test
        void staysLocalWhileThereIsRoomAndSpillsWhenThereIsNone() {
            EngineView away = engine("away", Engines.AWAY, 2, 0);
            assertEquals("home", chosen(chooser, snapshot(engine("home", 2), away), query()));
            assertEquals("away", chosen(chooser, snapshot(engine("home", 20), away), query()));
        }

        @Test
        void aDomainWithoutMeasuredDelayGetsNothing() {
            RoutingSnapshot s =
                    RoutingSnapshot.builder(Engines.HOME, 0)
                            .add(engine("away", Engines.AWAY, 0, 0))
                            .build();
            assertEquals(RouteChoice.Reason.NONE_AVAILABLE, reason(s, query()));
        }
    }

    /** Prompts that share their first blocks. */
    @Nested
    class Affinity {
        private final EngineView[] engines = new EngineView[8];

        Affinity() {
            for (int i = 0; i < engines.length; i++) {
                engines[i] = engine("e" + i, 4);
            }
        }

        @Test
        void onePrefixGoesToOneEngineAndPrefixesSpread() {
            Set<String> all = new HashSet<>();
            for (int first = 0; first < 40; first++) {
                Set<String> ofPrefix = new HashSet<>();
                for (int n = 0; n < 10; n++) {
                    RouteQuery q = queryWithPrefix(first * 1_000, 320);
                    ofPrefix.add(chosen(chooser, snapshot(engines), q));
                }
                assertEquals(1, ofPrefix.size());
                all.addAll(ofPrefix);
            }
            assertTrue(all.size() >= 6, "40 prefixes over " + all.size() + " of 8 engines");
        }

        @Test
        void aPopularPrefixOverflowsFromALoadedEngine() {
            RouteQuery q = queryWithPrefix(0, 320);
            String owner = chosen(chooser, snapshot(engines), q);
            for (int n = 0; n < Engines.CAPACITY; n++) {
                inFlight.sent(EngineId.of(owner), 0);
            }
            assertNotEquals(owner, chosen(chooser, snapshot(engines), q));
        }

        @Test
        void anEngineKnownToHoldThePrefixWins() {
            RouteQuery q = queryWithPrefix(0, 320);
            String owner = chosen(chooser, snapshot(engines), q);
            int other = owner.equals("e0") ? 1 : 0;
            CacheHints hints = new CacheHints(ImmutableSet.copyOf(q.prefixHashes()), 1);
            engines[other] = engines[other].withCache(hints);
            assertEquals("e" + other, chosen(chooser, snapshot(engines), q));
        }
    }

    /** A dead engine leaves a batch of generations. */
    @Nested
    class Recovery {
        /*
         * Callers of a dead engine wait far longer than others for the next token. The engine dies
         * with 16 generations that share a prefix; all look for a place before any new report, and
         * the survivor that owns the prefix gets them all. Cause: placements not counted at once.
         */
        @Test
        void generationsOfALostEngineSpreadOverSurvivors() {
            EngineView[] engines = new EngineView[5];
            for (int i = 0; i < engines.length; i++) {
                engines[i] = engine("e" + i, 4);
            }
            RouteQuery lost = queryWithPrefix(0, 320).recoveringFrom(EngineId.of("e0"), 500);
            RecoverySpread spread = RecoverySpread.create(chooser, inFlight);
            Multiset<String> placed = HashMultiset.create();
            spread.place(snapshot(engines), Collections.nCopies(16, lost), 0)
                    .forEach(c -> placed.add(c.engine().orElseThrow().id().value()));
            assertEquals(0, placed.count("e0"));
            placed.entrySet().forEach(e -> assertTrue(e.getCount() <= 6, placed.toString()));
        }
    }

    /** Reports that are seconds old. */
    @Nested
    class OldReports {
        @Test
        void aQueueThatCannotHaveDrainedYetIsAvoided() {
            RoutingSnapshot s = snapshot(engine("queued", 200), engine("free", 8));
            for (int n = 0; n < 20; n++) {
                EngineView e = chooser.choose(s, query(), 2_000).engine().orElseThrow();
                assertEquals("free", e.id().value());
            }
        }
    }

    /** Load reports corrected by own sends. */
    @Nested
    class OwnSends {
        private final EngineView e = engine("e1", Engines.HOME, 3, 1_000);

        @Test
        void countFromTheReportOnAndNeverBelowWhatRunsHere() {
            inFlight.sent(e.id(), 500);
            inFlight.sent(e.id(), 1_500);
            assertEquals(4, inFlight.expectedLoad(e, 1_500), 0.01);
            inFlight.finished(e.id(), 1_600);
            assertEquals(3, inFlight.expectedLoad(e, 1_600), 0.1);
            for (int n = 0; n < 9; n++) {
                inFlight.sent(e.id(), 900);
            }
            assertEquals(10, inFlight.expectedLoad(e, 1_600), 0.01);
        }

        @Test
        void fadeWithAgeAndAreForgottenWithTheEngine() {
            inFlight.sent(e.id(), 1_500);
            inFlight.finished(e.id(), 1_600);
            inFlight.sent(e.id(), 1_700);
            assertTrue(inFlight.expectedLoad(e, 60_000) <= 3.01);
            inFlight.retain(ImmutableSet.of());
            assertEquals(1, inFlight.outstanding(e.id()));
            inFlight.finished(e.id(), 60_000);
            inFlight.retain(ImmutableSet.of());
            assertEquals(3, inFlight.expectedLoad(e, 60_000), 0.01);
        }
    }
}
