package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Summary of the usage of teams on one router, sent to the other routers; immutable.
 *
 * @param top the teams with the highest usage, at most {@link #MAX_TOP}
 * @param totalTokensPerS usage of all teams
 * @param activeTeams teams with recent usage
 */
public record TeamUsageDigest(List<TeamUsage> top, double totalTokensPerS, int activeTeams) {
    /**
     * Maximum number of teams in one digest; limits the cost of an exchange for any number of
     * teams.
     */
    public static final int MAX_TOP = 16;

    public TeamUsageDigest {
        top = ImmutableList.copyOf(checkNotNull(top, "top"));
        checkArgument(top.size() <= MAX_TOP, "%s teams in a digest", top.size());
        checkArgument(totalTokensPerS >= 0, "%s tokens a second", totalTokensPerS);
        checkArgument(activeTeams >= 0, "%s active teams", activeTeams);
    }
}
