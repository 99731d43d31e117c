package org.masticweir.limits;

import org.masticweir.id.TeamId;

/** Weights of the teams in the queues. Implementations are thread-safe. */
@FunctionalInterface
public interface TeamWeights {
    /** Returns the weight of {@code team} in the queues, above 0. */
    double weight(TeamId team);

    /** Returns whether the recent usage of {@code team} is far above its share. */
    default boolean isOverShare(TeamId team) {
        return false;
    }
}
