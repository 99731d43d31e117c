package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkNotNull;

/** A team and its share of the arrivals, relative to the other teams. */
record TeamShare(String team, double share) {
    TeamShare {
        checkNotNull(team, "team");
    }
}
