package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * What one router tells the others of its teams' use; immutable.
 *
 * @param top the teams that use most, at most {@link #MAX_TOP}
 * @param totalTokensPerS use of all teams
 * @param activeTeams teams that used anything lately
 */
public record TeamUsageDigest(List<TeamUsage> top, double totalTokensPerS, int activeTeams) {
    /** Most teams in one digest; bounds what an exchange costs at any number of teams. */
    public static final int MAX_TOP = 16;

    public TeamUsageDigest {
        top = ImmutableList.copyOf(checkNotNull(top, "top"));
        checkArgument(top.size() <= MAX_TOP, "%s teams in a digest", top.size());
        checkArgument(totalTokensPerS >= 0, "%s tokens a second", totalTokensPerS);
        checkArgument(activeTeams >= 0, "%s active teams", activeTeams);
    }
}
