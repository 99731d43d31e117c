package org.masticweir.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;

/** Tests weights computed from the usage on all routers. */
class TeamSharesTest {
    private static final TeamId BIG = TeamId.of("big");
    private static final TeamId SMALL = TeamId.of("small");

    private static TeamShares shares(String router) {
        return TeamShares.create(RouterId.of(router), t -> 1);
    }

    /** A team spreads its requests over all routers. */
    @Nested
    class SpreadRequests {
        @Test
        void lowersTheWeightEverywhereAndRestoresItLater() {
            TeamShares here = shares("r0");
            here.recordUsage(BIG, 1_000, 0);
            here.recordUsage(SMALL, 1_000, 0);
            here.updateWeights(0);
            assertEquals(1, here.weight(BIG), 0.01);
            for (int n = 1; n <= 9; n++) {
                TeamShares other = shares("r" + n);
                other.recordUsage(BIG, 1_000, 0);
                here.merge(RouterId.of("r" + n), other.digest(0), 0);
            }
            here.updateWeights(0);
            assertEquals(0.55, here.weight(BIG), 0.01);
            assertEquals(1, here.weight(SMALL), 0.01);
            here.updateWeights(60_000);
            assertEquals(1, here.weight(BIG), 0.01);
        }
    }

    /** Thousands of teams. */
    @Nested
    class ManyTeams {
        @Test
        void digestsStaySmallAndHoldTheLargest() {
            TeamShares here = shares("r0");
            for (int n = 0; n < 4_500; n++) {
                here.recordUsage(TeamId.of("t" + n), 1, 0);
            }
            here.recordUsage(BIG, 50, 0);
            TeamUsageDigest digest = here.digest(0);
            assertEquals(TeamUsageDigest.MAX_TOP, digest.top().size());
            assertEquals(BIG, digest.top().get(0).team());
            assertTrue(digest.activeTeams() <= 512);
        }
    }
}
