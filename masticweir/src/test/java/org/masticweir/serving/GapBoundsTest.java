package org.masticweir.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.id.EngineId;
import org.masticweir.recovery.SilenceBounds;

/** Tests how long an engine may be silent. */
final class GapBoundsTest {
    private static final EngineId ENGINE = EngineId.of("e1");
    private static final long FLOOR_MS = 150;
    private static final long START_MS = 2_000;
    private static final int ENOUGH = 50;

    private final GapBounds gaps = GapBounds.of(FLOOR_MS, START_MS);

    private SilenceBounds expecting(double firstMs) {
        return gaps.forRequest(RecoveryPreset.PROMPT, () -> firstMs);
    }

    @Test
    void paceThatIsLearnedBoundsTheGap() {
        assertEquals(START_MS, expecting(0).boundMs(ENGINE, false));
        for (int i = 0; i < ENOUGH; i++) {
            gaps.gap(ENGINE, 100);
        }
        assertEquals(300, expecting(0).boundMs(ENGINE, false), 6);
    }

    /**
     * A caller waited two seconds for its first token: the engine hung right after it took the
     * request, and as nothing was known of its first tokens yet, the start bound was waited out.
     */
    @Test
    void firstTokenIsWaitedForByTheRoutersEstimateUntilItIsLearned() {
        assertEquals(START_MS, expecting(0).boundMs(ENGINE, true));
        assertEquals(FLOOR_MS + 3 * 40, expecting(40).boundMs(ENGINE, true));
        assertEquals(START_MS, expecting(10_000).boundMs(ENGINE, true));
    }
}
