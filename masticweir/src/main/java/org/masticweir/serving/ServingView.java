package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.config.Deployment;
import org.masticweir.routing.RoutingSnapshot;

/**
 * All that traffic threads read of control state, as of one moment; immutable.
 *
 * @param deployment the configuration in force here; empty until one is learned
 * @param intake whether new requests are taken
 */
public record ServingView(Optional<Deployment> deployment, RoutingSnapshot routing, Intake intake) {
    public ServingView {
        checkNotNull(deployment, "deployment");
        checkNotNull(routing, "routing");
        checkNotNull(intake, "intake");
    }

    /** Returns the view of a router that has learned nothing yet. */
    public static ServingView empty() {
        return new ServingView(Optional.empty(), RoutingSnapshot.empty(), Intake.OPEN);
    }

    /**
     * Tells whether the balancer should send requests here.
     *
     * <p>A router that just started has its configuration a few polls before it has heard of any
     * back end. Told ready then, the balancer would send it callers whom it can only refuse.
     */
    public boolean ready() {
        return deployment.isPresent() && intake.ready() && !routing.enginesByModel().isEmpty();
    }

    /** Tells whether a new request is taken. */
    public boolean accepts() {
        return deployment.isPresent() && intake.accepts();
    }
}
