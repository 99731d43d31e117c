package org.masticweir.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.config.Reliability;
import org.masticweir.config.WorkClass;
import org.masticweir.id.WorkClassId;

/** Tests which attempts enter an engine's batch first. */
class AttemptPriorityTest {
    private static WorkClass workClass(int firstTokenMs) {
        return new WorkClass(
                WorkClassId.of("c"),
                firstTokenMs,
                60_000,
                Reliability.TOKENS,
                RecoveryPreset.PROMPT);
    }

    /** A third of the engines is lost, and those left are full with a queue. */
    @Nested
    class FullSurvivors {
        /*
         * An adviser's report stands still for four seconds. Its engine dies, the engine it goes on
         * at has eleven requests in its queue, let in before the loss and equal in priority.
         */
        @Test
        void recoveredTokensGoBeforeAllThatIsNew() {
            int recovered = AttemptPriority.of(workClass(5_000), 1, true);
            assertTrue(recovered < AttemptPriority.of(workClass(1), 0, false));
        }

        @Test
        void requestsWithoutTokenGoByTheirClass() {
            assertEquals(2_000, AttemptPriority.of(workClass(2_000), 0, true));
            assertEquals(2_000, AttemptPriority.of(workClass(2_000), 0, false));
        }
    }
}
