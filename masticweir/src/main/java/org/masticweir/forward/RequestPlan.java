package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.EngineSpec;
import org.masticweir.catalog.Repeatability;
import org.masticweir.catalog.Route;
import org.masticweir.catalog.ServiceName;

/**
 * What is fixed of a request for as long as it lasts; immutable.
 *
 * @param engine set if the service's servers are model engines
 * @param callersEvent last event that the caller already had when it sent the request
 * @param receivedMs when it was received
 * @param expiresMs when the caller or the route gives it up
 */
public record RequestPlan(
        Route route,
        ServiceName service,
        Optional<EngineSpec> engine,
        RequestSize size,
        OptionalLong callersEvent,
        long receivedMs,
        long expiresMs) {
    public RequestPlan {
        checkNotNull(route, "route");
        checkNotNull(service, "service");
        checkNotNull(engine, "engine");
        checkNotNull(size, "size");
        checkNotNull(callersEvent, "callersEvent");
    }

    /** Returns whether a copy of the run is worth having. */
    boolean isCopied() {
        return route.repeatability() == Repeatability.RESUMABLE
                && engine.isPresent()
                && engine.get().copies()
                && size.prompt() > 0;
    }
}
