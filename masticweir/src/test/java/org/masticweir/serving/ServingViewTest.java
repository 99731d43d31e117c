package org.masticweir.serving;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.Deployment;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.routing.SpeedEstimate;

/** What a router's view says of its readiness. */
class ServingViewTest {
    private static final DomainId NORTH = DomainId.of("north");
    private static final Optional<Deployment> DEPLOYMENT =
            Optional.of(new Deployment(1, Map.of(), Map.of(), Map.of(), Map.of()));

    private static RoutingSnapshot oneEngine() {
        InetSocketAddress at = new InetSocketAddress(InetAddresses.forString("127.0.0.1"), 7100);
        BackEnd engine = new BackEnd(EngineId.of("e1"), at, NORTH, "group", false);
        return RoutingSnapshot.builder(NORTH, 0)
                .add(
                        EngineView.of(
                                engine,
                                ModelId.of("report"),
                                "1",
                                LoadReport.of(0, 0, 8),
                                0,
                                SpeedEstimate.of(10, 15, 0.3, 3_000)))
                .build();
    }

    /**
     * A caller is refused by a router that the balancer was told is ready.
     *
     * <p>The router starts, learns its configuration, says ready, and only then hears of its first
     * engine. The cause is that the two are read from different places.
     */
    @Nested
    class JustStarted {
        @Test
        void itIsNotReadyBeforeItKnowsABackEnd() {
            RoutingSnapshot none = RoutingSnapshot.empty();
            assertFalse(new ServingView(DEPLOYMENT, none, Intake.OPEN).ready());
            assertTrue(new ServingView(DEPLOYMENT, oneEngine(), Intake.OPEN).ready());
        }

        @Test
        void itIsNotReadyWithoutConfiguration() {
            assertFalse(new ServingView(Optional.empty(), oneEngine(), Intake.OPEN).ready());
        }
    }

    /** Leaving routers. */
    @Nested
    class Leaving {
        @Test
        void takesRequestsButIsNotReady() {
            ServingView view = new ServingView(DEPLOYMENT, oneEngine(), Intake.LEAVING);
            assertFalse(view.ready());
            assertTrue(view.accepts());
        }
    }
}
