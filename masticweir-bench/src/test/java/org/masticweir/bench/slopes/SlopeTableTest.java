package org.masticweir.bench.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;

/** The table of fits. */
class SlopeTableTest {
    private static SlopePoint reads(Sweep sweep, int at, double reads) {
        return new SlopePoint(sweep, at, ImmutableMap.of(Cost.TABLE_READS_PER_S, reads));
    }

    @Test
    void oneRowForEachCostOfASweepWithFourSizes() {
        ImmutableList<SlopePoint> measured =
                ImmutableList.of(
                        reads(Sweep.ROUTERS, 8, 12.5),
                        reads(Sweep.ROUTERS, 2, 3.5),
                        reads(Sweep.ROUTERS, 4, 6.5),
                        reads(Sweep.ROUTERS, 16, 24.5),
                        reads(Sweep.TEAMS, 10, 6.5));
        assertEquals(
                "| more of | cost | points (size: figure) | slope | intercept | residual |\n"
                        + "|---|---|---|---|---|---|\n"
                        + "| routers | table reads by all routers, 1/s"
                        + " | 2: 3.50, 4: 6.50, 8: 12.50, 16: 24.50 | 1.50 | 0.5000 | 0 |\n",
                SlopeTable.of(CostFit.all(measured)));
    }
}
