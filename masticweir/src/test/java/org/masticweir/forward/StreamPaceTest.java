package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** How long a stream is expected to take. */
class StreamPaceTest {
    private final StreamDurationEstimator pace = StreamDurationEstimator.create();

    @Test
    void isUnknownBeforeAStreamHasEnded() {
        assertTrue(pace.expectedMs(ForwardWorld.PROMPT).isEmpty());
    }

    /**
     * Reports break off in their middle while a router leaves: it took all that came in the first
     * two seconds, the long ones too.
     */
    @Test
    void followsTheTokensThatAStreamMayMake() {
        pace.observe(new RequestSize(8_000, 1_000), 1_000, 4_000);
        assertEquals(OptionalLong.of(6_500), pace.expectedMs(new RequestSize(8_000, 1_000)));
        assertEquals(OptionalLong.of(9_100), pace.expectedMs(new RequestSize(8_000, 1_500)));
    }

    @Test
    void movesWithTheLoad() {
        pace.observe(new RequestSize(8_000, 1_000), 1_000, 4_000);
        for (int i = 0; i < 40; i++) {
            pace.observe(new RequestSize(8_000, 1_000), 2_000, 8_000);
        }
        assertTrue(pace.expectedMs(new RequestSize(8_000, 1_000)).getAsLong() > 12_000);
    }
}
