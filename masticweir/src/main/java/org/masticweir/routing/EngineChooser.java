package org.masticweir.routing;

/**
 * Chooses the engine for an attempt.
 *
 * <p>A choice changes nothing; whoever sends tells {@link InFlight}. Implementations are
 * thread-safe.
 */
public interface EngineChooser {
    /** Returns the engine for {@code query} among those of {@code snapshot}, or why none. */
    RouteChoice choose(RoutingSnapshot snapshot, RouteQuery query, long nowMs);
}
