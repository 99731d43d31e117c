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
 * Immutable parameters of a request.
 *
 * @param engine specification of the service's engines; empty if its servers are not model engines
 * @param prompt id of the part of the prompt that no other caller's request shares
 * @param callerLastEventId last event that the caller had already received when the caller sent the
 *     request
 * @param receivedMs time at which the request was received
 * @param expiresMs deadline set by the caller or the route
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
    /** Number of urgency levels within one route priority. */
    private static final int URGENCY_STAGES = 3;

    public RequestParameters {
        checkNotNull(route, "route");
        checkNotNull(service, "service");
        checkNotNull(engine, "engine");
        checkNotNull(size, "size");
        checkNotNull(prompt, "prompt");
        checkNotNull(callerLastEventId, "callerLastEventId");
    }

    /**
     * Returns whether an engine may have the prompt cached: the caller has already received events
     * of an interrupted answer.
     */
    boolean mayBeCached() {
        return callerLastEventId.isPresent() && engine.isPresent() && prompt.isPresent();
    }

    /** Returns whether an engine should store a copy of the run, from which the run can resume. */
    boolean needsCopy() {
        return route.repeatability() == Repeatability.RESUMABLE
                && engine.isPresent()
                && engine.get().copies()
                && size.prompt() > 0;
    }

    /**
     * Returns the urgency of this request among those that need a permit: ordered by route
     * priority, then continued answers, unsent requests and retries.
     */
    int urgency(boolean hasEvent, boolean isSent) {
        int stage = hasEvent ? 0 : isSent ? 2 : 1;
        return route.priority() * URGENCY_STAGES + stage;
    }
}
