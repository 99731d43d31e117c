package org.masticweir.limits;

import org.masticweir.id.TeamId;

/** Tells how teams are to be served against each other. Implementations are thread-safe. */
@FunctionalInterface
public interface TeamWeights {
    /** Returns the weight of {@code team} in the queues, above 0. */
    double weight(TeamId team);

    /** Tells whether {@code team} used far more than its share lately. */
    default boolean isOverShare(TeamId team) {
        return false;
    }
}
