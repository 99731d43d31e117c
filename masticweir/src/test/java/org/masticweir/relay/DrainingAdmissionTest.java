package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which requests a router admits during its shutdown. */
class DrainingAdmissionTest {
    private static final long TIMEOUT_MS = 800;
    private static final OptionalLong SHORT_STREAM_MS = OptionalLong.of(1);

    private final DrainingAdmission admission = new DrainingAdmission();

    @Test
    void admitsAllBeforeDraining() {
        assertTrue(admission.admits(TIMEOUT_MS, Long.MAX_VALUE / 2));
        assertTrue(admission.admitsStream(OptionalLong.empty(), Long.MAX_VALUE / 2));
    }

    /**
     * Guards against a booking without an answer. The booking arrived 7.8 s after the shutdown
     * request, over a connection that the balancer still assigned to this router. It was sent to a
     * server and interrupted 70 ms later by the exit of the process.
     */
    @Nested
    class Draining {
        Draining() {
            admission.startDraining(9_000, 16_850);
        }

        @Test
        void refusesRequestsThatMightNotEndInTime() {
            assertFalse(admission.admits(TIMEOUT_MS, 16_818));
            assertFalse(admission.admits(TIMEOUT_MS, 16_851 - TIMEOUT_MS));
        }

        @Test
        void admitsRequestsThatEndInTime() {
            assertTrue(admission.admits(TIMEOUT_MS, 16_849 - TIMEOUT_MS));
        }

        @Test
        void refusesStreamsOfUnknownDuration() {
            assertFalse(admission.admitsStream(OptionalLong.empty(), 9_001));
        }

        /**
         * Guards against an interrupted report. The report arrived 3.1 s after the shutdown request
         * and was admitted because similar streams had ended in time, but its engine queued it.
         */
        @Test
        void refusesLateStreamsHoweverShort() {
            assertTrue(
                    admission.admitsStream(
                            SHORT_STREAM_MS, 9_000 + DrainingAdmission.STREAM_ADMISSION_MS - 1));
            assertFalse(
                    admission.admitsStream(
                            SHORT_STREAM_MS, 9_000 + DrainingAdmission.STREAM_ADMISSION_MS));
            assertFalse(admission.admitsStream(SHORT_STREAM_MS, 16_000));
        }

        @Test
        void refusesEarlyStreamsExpectedToEndLate() {
            assertTrue(admission.admitsStream(OptionalLong.of(7_849), 9_001));
            assertFalse(admission.admitsStream(OptionalLong.of(7_850), 9_001));
        }

        @Test
        void refusesAllOnceClosed() {
            admission.close();
            assertFalse(admission.admits(TIMEOUT_MS, 9_001));
            assertFalse(admission.admitsStream(SHORT_STREAM_MS, 9_001));
        }

        @Test
        void computesTheTimeUntilTheBalancerDetectsTheShutdown() {
            assertEquals(
                    DrainingAdmission.BALANCER_DETECTION_MS - 500,
                    admission.balancerDetectionLeftMs(9_500));
            assertTrue(admission.balancerDetectionLeftMs(14_000) > 0);
        }
    }

    @Test
    void countsRequestsInFlight() {
        admission.requestStarted();
        admission.requestStarted();
        admission.requestEnded();
        assertEquals(1, admission.inFlightCount());
    }
}
