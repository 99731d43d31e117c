package org.masticweir.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.config.Reliability;
import org.masticweir.config.WorkClass;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.limits.AdmissionDecision.Admitted;
import org.masticweir.limits.AdmissionDecision.Queued;
import org.masticweir.limits.AdmissionDecision.Refused;
import org.masticweir.settings.DaemonSettings;

/**
 * Tests which mechanism each boolean setting of the limits enables or disables; trials use these
 * settings as baselines.
 */
class LimitTuningTest {
    static final String MINIMAL_SETTINGS =
            String.join(
                    "\n",
                    "[router]",
                    "id = r1",
                    "domain = north",
                    "caller_address = 127.0.0.1:7080",
                    "operator_address = 127.0.0.1:7081",
                    "peer_address = 127.0.0.1:7082",
                    "[platform]",
                    "address = 127.0.0.1:7090",
                    "[limits]",
                    "");
    private static final int SLOTS = 20;
    private static final WorkClass LOOKUPS = workClass("lookups", 340);
    private static final WorkClass REPORTS = workClass("reports", 4_000);

    private int busySlots = SLOTS;
    private int arrivalCount;

    private static WorkClass workClass(String id, int firstMs) {
        return new WorkClass(
                WorkClassId.of(id), firstMs, 60_000, Reliability.TOKENS, RecoveryPreset.PROMPT);
    }

    private AdmissionController admission(String... lines) {
        DaemonSettings settings =
                DaemonSettings.parse("r.ini", MINIMAL_SETTINGS + String.join("\n", lines));
        return AdmissionController.create(
                (m, v, now) -> new Capacity(1, SLOTS - busySlots, SLOTS, SLOTS, 1_000, 10, 5),
                t -> 1,
                m -> 0,
                new Random(3),
                LimitSettings.of(settings.limits()));
    }

    private AdmissionDecision offer(AdmissionController a, String id, String team, WorkClass c) {
        AdmissionRequest work =
                new AdmissionRequest(
                        RequestId.of(id),
                        TeamId.of(team),
                        c,
                        ModelId.of("m"),
                        "3",
                        10,
                        100,
                        arrivalCount++);
        return a.offer(work, 0);
    }

    private static ImmutableList<String> ids(List<AdmissionDecision> decisions) {
        return decisions.stream()
                .map(d -> d.request().value())
                .collect(ImmutableList.toImmutableList());
    }

    @Test
    void settingsLeftOutGiveTheDefaults() {
        DaemonSettings settings = DaemonSettings.parse("r.ini", MINIMAL_SETTINGS);
        assertEquals(LimitSettings.defaults(), LimitSettings.of(settings.limits()));
    }

    /** Which request is admitted first when one slot is free. */
    @Nested
    class Order {
        private String firstOf(AdmissionController a) {
            offer(a, "report", "a", REPORTS);
            offer(a, "lookup", "a", LOOKUPS);
            busySlots = SLOTS - 1;
            return ids(a.tick(1)).get(0);
        }

        @Test
        void isByClassUnlessTurnedOff() {
            assertEquals("lookup", firstOf(admission("headroom_percent = 0")));
            busySlots = SLOTS;
            assertEquals("report", firstOf(admission("class_shares = false")));
        }

        @Test
        void isByTeamUnlessTurnedOff() {
            AdmissionController fair = admission("headroom_percent = 0");
            AdmissionController off = admission("headroom_percent = 0", "fair_shares = false");
            for (AdmissionController a : List.of(fair, off)) {
                busySlots = SLOTS;
                for (int i = 1; i <= 4; i++) {
                    offer(a, "large-" + i, "large", REPORTS);
                }
                offer(a, "small", "small", REPORTS);
                busySlots = SLOTS - 2;
                List<String> served = ids(a.tick(1));
                assertEquals(a == fair, served.contains("small"), served.toString());
            }
        }
    }

    /** Requests that will be late. */
    @Nested
    class LateRequests {
        private AdmissionDecision seventh(AdmissionController a) {
            for (int i = 1; i <= 6; i++) {
                offer(a, "q" + i, "a", LOOKUPS);
            }
            return offer(a, "late", "a", LOOKUPS);
        }

        @Test
        void areRefusedOnArrivalUnlessTurnedOff() {
            assertInstanceOf(Refused.class, seventh(admission()));
            assertInstanceOf(Queued.class, seventh(admission("predicted_refusal = false")));
        }

        @Test
        void areRefusedFromTheQueueUnlessTurnedOff() {
            AdmissionController deadlines = admission("predicted_refusal = false");
            seventh(deadlines);
            assertEquals(7, deadlines.tick(400).size());
            AdmissionController off =
                    admission("predicted_refusal = false", "queue_deadlines = false");
            seventh(off);
            assertEquals(List.of(), off.tick(10_000));
            busySlots = SLOTS - 1;
            assertInstanceOf(Admitted.class, off.tick(10_000).get(0));
        }
    }
}
