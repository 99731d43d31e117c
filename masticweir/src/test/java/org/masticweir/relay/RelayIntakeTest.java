package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which requests a router takes while it leaves. */
class RelayIntakeTest {
    private static final long TIMEOUT_MS = 800;
    private static final OptionalLong SHORT = OptionalLong.of(1);

    private final DrainingAdmission intake = new DrainingAdmission();

    @Test
    void takesAllUntilItLeaves() {
        assertTrue(intake.admits(TIMEOUT_MS, Long.MAX_VALUE / 2));
        assertTrue(intake.admitsStream(OptionalLong.empty(), Long.MAX_VALUE / 2));
    }

    /**
     * A booking gets no answer: it came 7.8 s after the order to leave, over a connection that the
     * balancer still gave to this router, went on to a server, and was cut off 70 ms later when the
     * process had to end.
     */
    @Nested
    class Leaving {
        Leaving() {
            intake.startDraining(9_000, 16_850);
        }

        @Test
        void refusesWhatMayNotEndInTime() {
            assertFalse(intake.admits(TIMEOUT_MS, 16_818));
            assertFalse(intake.admits(TIMEOUT_MS, 16_851 - TIMEOUT_MS));
        }

        @Test
        void takesWhatEndsInTime() {
            assertTrue(intake.admits(TIMEOUT_MS, 16_849 - TIMEOUT_MS));
        }

        @Test
        void refusesWhatMayTakeAnyTime() {
            assertFalse(intake.admitsStream(OptionalLong.empty(), 9_001));
        }

        /**
         * A report is cut off in its middle: it came 3.1 s after the order to leave, streams like
         * it had ended in time, and its engine let it wait.
         */
        @Test
        void refusesStreamsThatComeLateHoweverShortTheyShouldBe() {
            assertTrue(
                    intake.admitsStream(SHORT, 9_000 + DrainingAdmission.STREAM_ADMISSION_MS - 1));
            assertFalse(intake.admitsStream(SHORT, 9_000 + DrainingAdmission.STREAM_ADMISSION_MS));
            assertFalse(intake.admitsStream(SHORT, 16_000));
        }

        @Test
        void refusesEarlyStreamsThatShouldNotEndInTime() {
            assertTrue(intake.admitsStream(OptionalLong.of(7_849), 9_001));
            assertFalse(intake.admitsStream(OptionalLong.of(7_850), 9_001));
        }

        @Test
        void takesNothingOnceItIsClosed() {
            intake.close();
            assertFalse(intake.admits(TIMEOUT_MS, 9_001));
            assertFalse(intake.admitsStream(SHORT, 9_001));
        }

        @Test
        void sendsCallersBackOnceTheBalancerHasNoticed() {
            assertEquals(DrainingAdmission.BALANCER_DETECTION_MS - 500, intake.balancerMs(9_500));
            assertTrue(intake.balancerMs(14_000) > 0);
        }
    }

    @Test
    void countsWhatIsUnderWay() {
        intake.requestStarted();
        intake.requestStarted();
        intake.requestEnded();
        assertEquals(1, intake.inFlightCount());
    }
}
