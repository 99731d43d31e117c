package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.Repeatability;
import org.masticweir.catalog.Route;
import org.masticweir.catalog.ServiceName;

/** Which requests a router takes while it leaves. */
class RelayIntakeTest {
    private static final long TIMEOUT_MS = 800;

    private final RelayIntake intake = new RelayIntake();

    private static Route route(boolean streams) {
        return new Route(
                "r",
                "h",
                "/",
                streams ? Repeatability.RESUMABLE : Repeatability.MUTATING,
                streams,
                streams ? 25_000 : TIMEOUT_MS,
                300,
                0,
                1,
                1,
                false,
                ImmutableList.of(new Route.Share(ServiceName.of("s"), 1)));
    }

    @Test
    void takesAllUntilItLeaves() {
        assertTrue(intake.takes(route(false), Long.MAX_VALUE / 2));
        assertTrue(intake.takes(route(true), Long.MAX_VALUE / 2));
    }

    /**
     * A booking gets no answer: it came 7.8 s after the order to leave, over a connection that the
     * balancer still gave to this router, went on to a server, and was cut off 70 ms later when the
     * process had to end.
     */
    @Nested
    class Leaving {
        Leaving() {
            intake.leave(9_000, 16_850);
        }

        @Test
        void refusesWhatMayNotEndInTime() {
            assertFalse(intake.takes(route(false), 16_818));
            assertFalse(intake.takes(route(false), 16_850 - TIMEOUT_MS));
        }

        @Test
        void takesWhatEndsInTime() {
            assertTrue(intake.takes(route(false), 16_849 - TIMEOUT_MS));
        }

        @Test
        void takesStreamsForAQuarterOfTheTime() {
            assertTrue(intake.takes(route(true), 10_900));
            assertFalse(intake.takes(route(true), 11_000));
        }
    }

    @Test
    void countsWhatIsUnderWay() {
        intake.begin();
        intake.begin();
        intake.end();
        assertEquals(1, intake.underWay());
    }
}
