package org.masticweir.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.config.Reliability;
import org.masticweir.config.WorkClass;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.WorkClassId;
import org.masticweir.limits.RecoveryDecision.GiveUp;
import org.masticweir.limits.RecoveryDecision.Start;
import org.masticweir.limits.RecoveryDecision.Wait;

/** Tests how many recoveries start at a time, and in which order. */
class RecoveryAdmissionTest {
    private static final ModelId MODEL = ModelId.of("report");
    private final RecoveryAdmissionController admission =
            RecoveryAdmissionController.create(
                    (m, v, now) -> new Capacity(4, 0, 16, 16, 1_000, 10, 5));

    private static GenerationId generation(String id) {
        return GenerationId.of(RequestId.of(id), 1);
    }

    private RecoveryDecision offer(String id, int firstTokenMs, long dueMs) {
        WorkClass c =
                new WorkClass(
                        WorkClassId.of("c"),
                        firstTokenMs,
                        60_000,
                        Reliability.TOKENS,
                        RecoveryPreset.PROMPT);
        return admission.offer(new RecoveryRequest(generation(id), c, MODEL, "3", 500, dueMs), 0);
    }

    /** Many engines are lost at once. */
    @Nested
    class LostRack {
        /*
         * Guards against the loss of healthy streams after the loss of a rack. Without a limit on
         * starting recoveries all lost generations are sent to the remaining engines together,
         * which then only run prefill, so that their own streams stall and are moved too.
         */
        @Test
        void startsAFewAtATimeShortestTargetFirst() {
            for (int n = 0; n < 4; n++) {
                assertInstanceOf(Start.class, offer("g" + n, 4_000, 9_000));
            }
            assertInstanceOf(Wait.class, offer("report", 4_000, 9_000));
            assertInstanceOf(Wait.class, offer("lookup", 340, 9_000));
            assertEquals(2, admission.waitingCount(MODEL));
            assertEquals(List.of(), admission.tick(10));
            admission.recordResume(generation("g0"));
            assertEquals(List.of(new Start(generation("lookup"))), admission.tick(20));
        }

        @Test
        void startsTimeOutAndOverdueRecoveriesAreGivenUp() {
            for (int n = 0; n < 4; n++) {
                offer("g" + n, 4_000, 90_000);
            }
            offer("due", 4_000, 500);
            offer("later", 4_000, 90_000);
            assertInstanceOf(GiveUp.class, admission.tick(500).get(0));
            assertEquals(List.of(new Start(generation("later"))), admission.tick(10_000));
        }

        @Test
        void aGenerationLostAgainCountsOnce() {
            for (int n = 0; n < 10; n++) {
                assertInstanceOf(Start.class, offer("g", 4_000, 9_000));
            }
            admission.recordEnd(generation("g"));
            assertEquals(0, admission.waitingCount(MODEL));
        }
    }
}
