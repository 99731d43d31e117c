package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests the estimated duration of a stream. */
class StreamDurationEstimatorTest {
    private final StreamDurationEstimator estimator = StreamDurationEstimator.create();

    @Test
    void isEmptyBeforeFirstObservation() {
        assertTrue(estimator.expectedDurationMs(ForwardFixture.PROMPT).isEmpty());
    }

    /**
     * A draining router must not admit reports that it can't finish. If the router admits all
     * reports of the first two seconds, the long reports are interrupted.
     */
    @Test
    void growsWithMaxOutputTokens() {
        estimator.recordStream(new RequestSize(8_000, 1_000), 1_000, 4_000);
        assertEquals(
                OptionalLong.of(6_500),
                estimator.expectedDurationMs(new RequestSize(8_000, 1_000)));
        assertEquals(
                OptionalLong.of(9_100),
                estimator.expectedDurationMs(new RequestSize(8_000, 1_500)));
    }

    @Test
    void adaptsToNewObservations() {
        estimator.recordStream(new RequestSize(8_000, 1_000), 1_000, 4_000);
        for (int i = 0; i < 40; i++) {
            estimator.recordStream(new RequestSize(8_000, 1_000), 2_000, 8_000);
        }
        assertTrue(
                estimator.expectedDurationMs(new RequestSize(8_000, 1_000)).getAsLong() > 12_000);
    }
}
