package org.masticweir.bench.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

/** The split of processor time between tokens and requests. */
class CostSplitTest {
    private static final double EXACT = 1e-6;

    @Test
    void loadsOfDifferentLengthsSplitExactly() {
        CostSplit split =
                CostSplit.of(
                        ImmutableList.of(
                                new CostSplit.Load(1000, 1, 40 * 1000 + 700),
                                new CostSplit.Load(1000, 50, 40 * 1000 + 700 * 50)));
        assertEquals(40, split.usPerToken(), EXACT);
        assertEquals(700, split.usPerRequest(), EXACT);
    }

    @Test
    void allOfASingleLoadCountsForItsTokens() {
        CostSplit split = CostSplit.of(ImmutableList.of(new CostSplit.Load(100, 1, 4200)));
        assertEquals(new CostSplit(42, 0), split);
    }

    @Test
    void loadsOfOneLengthAreRefused() {
        ImmutableList<CostSplit.Load> alike =
                ImmutableList.of(new CostSplit.Load(100, 1, 9), new CostSplit.Load(200, 2, 18));
        assertThrows(IllegalArgumentException.class, () -> CostSplit.of(alike));
    }
}
