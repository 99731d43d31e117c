package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.TeamId;

/**
 * A team: whose credential callers show and whose share of tokens they use.
 *
 * @param credentialSha256 lower-case hex of the SHA-256 of the team's credential
 * @param share weight of the team's fair share of tokens, at least 1
 */
public record Team(TeamId id, String credentialSha256, int share) {
    private static final int SHA256_HEX_CHARS = 64;

    public Team {
        checkNotNull(id, "id");
        checkNotNull(credentialSha256, "credentialSha256");
        checkArgument(
                credentialSha256.matches("[0-9a-f]{" + SHA256_HEX_CHARS + "}"),
                "credential of team %s is not a SHA-256 in hex",
                id);
        checkArgument(share >= 1, "share %s of team %s below 1", share, id);
    }
}
