package org.masticweir.reports;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;

/** Which router of a domain reads which engine, while routers fall silent. */
final class ReadingDutyTest {
    private static final int ROUTERS = 8;
    private static final int ENGINES = 60;
    private static final long POLL_MS = 1_000;
    private static final long SILENCE_MS = 3_500;

    /** A bound that is never reached: the owner is never stood in for. */
    private static final long NEVER_MS = Long.MAX_VALUE / ROUTERS;

    /** Routers that read by duty and tell all others; some do not run, or do not tell. */
    private static final class Domain {
        private final Map<RouterId, ReadingDuty> duties = new HashMap<>();
        private final Set<RouterId> paused = new HashSet<>();
        private final Set<RouterId> unheard = new HashSet<>();
        private final Map<EngineId, Long> knownAtMs = new HashMap<>();
        private long nowMs;
        private long turn;
        private int reads;

        Domain(long silenceMs) {
            for (int i = 0; i < ROUTERS; i++) {
                RouterId id = RouterId.of("r" + i);
                duties.put(id, ReadingDuty.of(id, silenceMs));
            }
            duties.values().forEach(d -> d.readers(duties.keySet()));
            run(1);
        }

        RouterId ownerOf(EngineId engine) {
            return duties.keySet().stream()
                    .filter(r -> duties.get(r).reads(engine, 1, 0))
                    .findFirst()
                    .orElseThrow();
        }

        void run(int polls) {
            reads = 0;
            for (int i = 0; i < polls; i++) {
                duties.keySet().stream().filter(r -> !paused.contains(r)).forEach(this::poll);
                nowMs += POLL_MS;
                turn++;
            }
        }

        private void poll(RouterId router) {
            for (EngineId engine : engines()) {
                if (duties.get(router).reads(engine, turn, nowMs)) {
                    reads++;
                    knownAtMs.put(engine, nowMs);
                    tell(router, engine);
                }
            }
        }

        private void tell(RouterId from, EngineId engine) {
            if (!unheard.contains(from)) {
                duties.values().forEach(d -> d.heard(engine, from, nowMs));
            }
        }

        /** Returns the longest time since some router read an engine. */
        long oldestMs() {
            return knownAtMs.values().stream().mapToLong(at -> nowMs - at).max().orElseThrow();
        }
    }

    private static List<EngineId> engines() {
        List<EngineId> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(EngineId.of("e" + i));
        }
        return engines;
    }

    /** All routers run and hear each other. */
    @Nested
    final class Quiet {
        @Test
        void eachEngineIsReadByOneRouter() {
            Domain domain = new Domain(SILENCE_MS);
            domain.run(20);
            assertEquals(20 * ENGINES, domain.reads);
        }

        @Test
        void aRouterThatComesTakesItsShareAndNoOtherEngineMoves() {
            ReadingDuty before = ReadingDuty.of(RouterId.of("r0"), SILENCE_MS);
            before.readers(Set.of(RouterId.of("r0"), RouterId.of("r1")));
            List<EngineId> held = engines().stream().filter(e -> before.reads(e, 1, 0)).toList();
            before.readers(Set.of(RouterId.of("r0"), RouterId.of("r1"), RouterId.of("r2")));
            List<EngineId> after = engines().stream().filter(e -> before.reads(e, 1, 0)).toList();
            assertTrue(held.containsAll(after), "no engine came to r0");
            assertTrue(after.size() < held.size(), "r2 took none of " + held);
        }
    }

    /**
     * New work goes to a full engine for as long as its report's owner stands still, as all others
     * go by the owner's last word. The owner is paused, its connections stay open, and membership
     * does not say so yet. Cause: nobody stands in. The plain version shows it: there the report
     * grows as old as the pause.
     */
    @Nested
    final class OwnerPaused {
        @Test
        void oneSubstituteReadsUntilTheOwnerIsBack() {
            assertEquals(30_000, oldestAfterPause(NEVER_MS, 30));
            assertTrue(oldestAfterPause(SILENCE_MS, 30) <= 2 * POLL_MS, "read by the second");
        }

        private long oldestAfterPause(long silenceMs, int polls) {
            Domain domain = new Domain(silenceMs);
            domain.paused.add(domain.ownerOf(EngineId.of("e0")));
            domain.run(polls);
            return domain.oldestMs() - POLL_MS;
        }

        @Test
        void theOwnerReadsAloneAgainOnceItIsHeard() {
            Domain domain = new Domain(SILENCE_MS);
            domain.paused.add(domain.ownerOf(EngineId.of("e0")));
            domain.run(30);
            domain.paused.clear();
            domain.run(1);
            domain.run(10);
            assertEquals(10 * ENGINES, domain.reads);
        }
    }

    /**
     * A router whose links to its peers are all cut still serves callers, and routes by reports
     * that end. Cause: it waits for owners it cannot hear.
     */
    @Nested
    final class CutOff {
        @Test
        void aRouterThatHearsNobodyReadsEveryEngine() {
            ReadingDuty alone = duty(SILENCE_MS);
            ReadingDuty plain = duty(NEVER_MS);
            long lateMs = ROUTERS * SILENCE_MS;
            assertTrue(engines().stream().allMatch(reads(alone, lateMs)));
            assertFalse(engines().stream().allMatch(reads(plain, lateMs)));
        }

        @Test
        void soDoesOneThatMembershipLeavesAlone() {
            ReadingDuty alone = duty(SILENCE_MS);
            alone.readers(Set.of(RouterId.of("r0")));
            assertTrue(engines().stream().allMatch(e -> alone.reads(e, 1, 0)));
        }

        private ReadingDuty duty(long silenceMs) {
            ReadingDuty duty = ReadingDuty.of(RouterId.of("r0"), silenceMs);
            duty.readers(new Domain(silenceMs).duties.keySet());
            engines().forEach(e -> duty.reads(e, 0, 0));
            return duty;
        }

        /** Tells whether an engine is read in one of as many polls as there are routers. */
        private Predicate<EngineId> reads(ReadingDuty duty, long nowMs) {
            return e -> {
                for (int turn = 1; turn <= ROUTERS * ROUTERS; turn++) {
                    if (duty.reads(e, turn, nowMs)) {
                        return true;
                    }
                }
                return false;
            };
        }
    }

    /** An engine answers nobody, so nobody tells a reading of it. */
    @Nested
    final class EngineLost {
        @Test
        void routersAskItLessOftenTheLaterTheyRank() {
            Domain domain = new Domain(SILENCE_MS);
            domain.unheard.addAll(domain.duties.keySet());
            domain.run(40);
            domain.run(100);
            double perPoll = domain.reads / 100.0 / ENGINES;
            assertTrue(perPoll < 3, perPoll + " reads of each engine a poll by " + ROUTERS);
        }
    }
}
