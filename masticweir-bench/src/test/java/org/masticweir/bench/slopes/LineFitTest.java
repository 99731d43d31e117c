package org.masticweir.bench.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

/** The line through measured points. */
class LineFitTest {
    private static final double EXACT = 1e-9;

    private static ImmutableList<LineFit.Xy> points(double... xy) {
        ImmutableList.Builder<LineFit.Xy> points = ImmutableList.builder();
        for (int i = 0; i < xy.length; i += 2) {
            points.add(new LineFit.Xy(xy[i], xy[i + 1]));
        }
        return points.build();
    }

    @Test
    void pointsOnALineLeaveNoResidual() {
        LineFit line = LineFit.of(points(2, 7, 4, 11, 8, 19, 16, 35));
        assertEquals(2, line.slope(), EXACT);
        assertEquals(3, line.intercept(), EXACT);
        assertEquals(0, line.residual(), EXACT);
        assertEquals(783, line.at(390), EXACT);
    }

    @Test
    void residualIsTheRootOfTheMeanSquare() {
        LineFit line = LineFit.of(points(0, 1, 0, -1, 1, 1, 1, -1));
        assertEquals(0, line.slope(), EXACT);
        assertEquals(1, line.residual(), EXACT);
    }

    @Test
    void tooFewPointsOrOneSizeAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> LineFit.of(points(1, 1, 2, 2, 3, 3)));
        assertThrows(
                IllegalArgumentException.class, () -> LineFit.of(points(1, 1, 1, 2, 1, 3, 1, 4)));
    }
}
