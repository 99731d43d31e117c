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

/** Tests a queue with so many teams that one tick computes predictions for a part of them only. */
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

    /** The teams that one tick checks. */
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

    /** A queue that is not served. */
    @Nested
    class Deadline {
        /*
         * Guards against requests that stay queued past their deadline, when their callers could
         * have retried elsewhere: engines are full, many teams have queued requests, and requests
         * of teams that a tick doesn't check wait for the rotation.
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
            assertTrue(admission.status().queued() > 128, "many requests queued");
            assertEquals(TEAMS, admission.tick(TARGET_MS).size());
            assertEquals(0, admission.status().queued());
        }
    }
}
