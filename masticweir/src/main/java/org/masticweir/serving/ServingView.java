package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.config.Deployment;
import org.masticweir.routing.RoutingSnapshot;

/**
 * All that traffic threads read of control state, as of one moment; immutable.
 *
 * @param deployment the configuration in force here; empty until one is learned
 * @param draining whether new requests are refused because the router leaves
 */
public record ServingView(
        Optional<Deployment> deployment, RoutingSnapshot routing, boolean draining) {
    public ServingView {
        checkNotNull(deployment, "deployment");
        checkNotNull(routing, "routing");
    }

    /** Returns the view of a router that has learned nothing yet. */
    public static ServingView empty() {
        return new ServingView(Optional.empty(), RoutingSnapshot.empty(), false);
    }

    /** Tells whether the router takes new requests. */
    public boolean ready() {
        return deployment.isPresent() && !draining;
    }
}
