package org.masticweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.RouterId;

/** Which of a group's routers carries out a duty, while holders fall silent. */
final class SharedDutyTest {
    private static final int ROUTERS = 6;
    private static final String DUTY = "store";
    private static final StandIn RULE = new StandIn(2, 900, 150, 1_200);

    private final Map<RouterId, SharedDuty<String>> duties = new HashMap<>();

    SharedDutyTest() {
        for (int i = 0; i < ROUTERS; i++) {
            RouterId id = RouterId.of("r" + i);
            duties.put(id, SharedDuty.of(id, name -> name, RULE));
        }
        duties.values().forEach(d -> d.members(duties.keySet()));
        due(0);
    }

    private Set<Integer> due(long nowMs) {
        return IntStream.range(0, ROUTERS)
                .filter(rank -> ranked(rank).isDue(DUTY, nowMs))
                .boxed()
                .collect(Collectors.toSet());
    }

    private SharedDuty<String> ranked(int rank) {
        return duties.get(idOf(rank));
    }

    private RouterId idOf(int rank) {
        return duties.keySet().stream()
                .filter(id -> duties.get(id).rank(DUTY, 0) == rank)
                .findFirst()
                .orElseThrow();
    }

    private void allHear(int rank, long nowMs) {
        duties.values().forEach(d -> d.heard(DUTY, idOf(rank), nowMs));
    }

    @Test
    void holdersCarryItOutWithoutBeingAsked() {
        assertEquals(Set.of(0, 1), due(10));
    }

    @Test
    void aRouterThatHearsNobodyCarriesItOut() {
        assertEquals(Set.of(0, 1, 2, 3, 4, 5), due(1_200));
    }

    /** Holders are lost or paused: callers are served by what was true before. */
    @Nested
    class SilentHolders {
        @Test
        void areStoodInForByOneRankAfterTheOther() {
            assertEquals(Set.of(0, 1), due(899));
            assertEquals(Set.of(0, 1, 2), due(900));
            assertEquals(Set.of(0, 1, 2, 3), due(1_050));
        }

        @Test
        void oneHolderIsEnough() {
            allHear(1, 800);
            assertEquals(Set.of(0, 1), due(1_699));
        }

        @Test
        void aSubstituteKeepsLaterRanksBackAndNotEarlierOnes() {
            allHear(3, 900);
            assertEquals(Set.of(0, 1, 2, 3), due(1_799));
            assertFalse(ranked(4).isDue(DUTY, 1_799));
        }

        @Test
        void areHolderAgainOnceTheyAreHeard() {
            assertTrue(ranked(2).isDue(DUTY, 900));
            allHear(0, 950);
            assertEquals(Set.of(0, 1), due(951));
        }
    }

    @Test
    void ranksMoveUpWhenAHolderLeavesTheGroup() {
        RouterId third = idOf(2);
        RouterId first = idOf(0);
        Set<RouterId> rest =
                duties.keySet().stream()
                        .filter(id -> !id.equals(first))
                        .collect(Collectors.toSet());
        duties.values().forEach(d -> d.members(rest));
        assertEquals(1, duties.get(third).rank(DUTY, 0));
        assertTrue(duties.get(third).isDue(DUTY, 1));
    }

    @Test
    void eachRankAfterWaitsOneSilenceLonger() {
        StandIn rule = StandIn.eachRankAfter(700);
        assertEquals(0, rule.waitMs(0));
        assertEquals(700, rule.waitMs(1));
        assertEquals(2_100, rule.waitMs(3));
    }
}
