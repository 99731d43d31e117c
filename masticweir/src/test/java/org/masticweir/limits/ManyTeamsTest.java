package org.masticweir.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.config.Reliability;
import org.masticweir.config.WorkClass;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/** Tests a queue in which many teams wait, of which one tick predicts for a few only. */
class ManyTeamsTest {
    private static final int TEAMS = 150;
    private static final int TARGET_MS = 20_000;
    private static final WorkClass REPORTS =
            new WorkClass(
                    WorkClassId.of("reports"),
                    TARGET_MS,
                    60_000,
                    Reliability.TOKENS,
                    RecoveryPreset.PROMPT);

    private static AdmissionRequest request(int n) {
        return new AdmissionRequest(
                RequestId.of("r" + n),
                TeamId.of("t" + n),
                REPORTS,
                ModelId.of("m"),
                "3",
                10,
                100,
                0);
    }

    /** The teams that one tick looks at. */
    @Nested
    class RoundRobin {
        @Test
        void allTeamsAreReturnedWithinThreeCalls() {
            ClassQueue queue = new ClassQueue(t -> 1, LimitSettings.defaults());
            for (int n = 0; n < TEAMS; n++) {
                queue.add(request(n), 0);
            }
            Set<TeamId> seen = new HashSet<>();
            for (int turn = 0; turn < 3; turn++) {
                ImmutableList<TeamId> looked = queue.nextTeams(64);
                assertEquals(64, looked.size());
                seen.addAll(looked);
            }
            assertEquals(TEAMS, seen.size());
        }
    }

    /** A queue that nobody serves. */
    @Nested
    class Deadline {
        /*
         * Callers hang past the moment at which they would have gone elsewhere. Engines are full,
         * many teams wait, and only some are looked at. Cause: the rest wait for their turn.
         */
        @Test
        void noRequestWaitsPastItWithManyTeams() {
            AdmissionController admission =
                    AdmissionController.create(
                            (m, v, now) -> new Capacity(1, 0, 20, 20, 1_000, 10, 5),
                            t -> 1,
                            m -> 0,
                            new Random(3));
            for (int n = 0; n < TEAMS; n++) {
                admission.offer(request(n), 0);
            }
            assertTrue(admission.status().queued() > 128, "many wait");
            assertEquals(TEAMS, admission.tick(TARGET_MS).size());
            assertEquals(0, admission.status().queued());
        }
    }
}
