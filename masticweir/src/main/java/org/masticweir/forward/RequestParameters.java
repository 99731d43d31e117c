package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.EngineSpec;
import org.masticweir.catalog.Repeatability;
import org.masticweir.catalog.Route;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.PromptId;

/**
 * What is fixed of a request for as long as it lasts; immutable.
 *
 * @param engine set if the service's servers are model engines
 * @param prompt the part of its prompt that no other caller's request shares
 * @param callerLastEventId last event that the caller already had when it sent the request
 * @param receivedMs when it was received
 * @param expiresMs when the caller or the route gives it up
 */
public record RequestParameters(
        Route route,
        ServiceName service,
        Optional<EngineSpec> engine,
        RequestSize size,
        Optional<PromptId> prompt,
        OptionalLong callerLastEventId,
        long receivedMs,
        long expiresMs) {
    public RequestParameters {
        checkNotNull(route, "route");
        checkNotNull(service, "service");
        checkNotNull(engine, "engine");
        checkNotNull(size, "size");
        checkNotNull(prompt, "prompt");
        checkNotNull(callerLastEventId, "callerLastEventId");
    }

    /**
     * Returns whether an engine may still keep the prompt: the caller has events of an answer that
     * broke off.
     */
    boolean mayBeCached() {
        return callerLastEventId.isPresent() && engine.isPresent() && prompt.isPresent();
    }

    /** Returns whether a copy of the run is worth having. */
    boolean needsCopy() {
        return route.repeatability() == Repeatability.RESUMABLE
                && engine.isPresent()
                && engine.get().copies()
                && size.prompt() > 0;
    }
}
