package org.masticweir.bench.copies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.masticweir.recovery.copy.CopyLinkLimits;

/** Tests that a measurement's tokens reach their holders. */
class CopyRunTest {
    private static final Duration SHORT = Duration.ofMillis(300);

    @Test
    void tokensAreCopiedToEveryHolderAndReleased() {
        try (CopyRun run = new CopyRun(2, 4, CopyLinkLimits.defaults())) {
            CopyPoint point = run.measure(10, SHORT, SHORT);
            assertEquals(2, point.holders());
            assertTrue(point.tokensPerS() > 0, point.line());
            assertTrue(point.bytesPerToken() > 0, point.line());
            assertTrue(point.releaseP99Us() > 0, point.line());
        }
    }
}
