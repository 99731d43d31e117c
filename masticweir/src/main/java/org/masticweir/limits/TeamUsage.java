package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.TeamId;

/** The tokens per second that a team uses on one router; immutable. */
public record TeamUsage(TeamId team, double tokensPerS) {
    public TeamUsage {
        checkNotNull(team, "team");
        checkArgument(tokensPerS >= 0, "%s tokens a second", tokensPerS);
    }
}
