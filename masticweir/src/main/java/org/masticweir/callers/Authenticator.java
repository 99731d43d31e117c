package org.masticweir.callers;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.masticweir.config.Deployment;
import org.masticweir.config.Team;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.TeamId;

/** Checks which team a call comes from. */
final class Authenticator {
    private static final HttpString TEAM = new HttpString("Masticweir-Team");
    private static final String BEARER = "Bearer ";

    private Authenticator() {}

    /**
     * Returns the team whose credential the call shows.
     *
     * @throws MasticweirException if it shows none, or a wrong one
     */
    static TeamId authenticate(HttpServerExchange exchange, Deployment deployment) {
        checkNotNull(deployment, "deployment");
        HeaderMap headers = exchange.getRequestHeaders();
        String name = Optional.ofNullable(headers.getFirst(TEAM)).orElse("");
        String shown = Optional.ofNullable(headers.getFirst(Headers.AUTHORIZATION)).orElse("");
        if (name.isEmpty() || !shown.startsWith(BEARER)) {
            throw MasticweirException.notRun(
                    ErrorCode.UNAUTHORIZED, "team or credential is missing");
        }
        Team team = teamOf(deployment, name);
        String hash =
                Hashing.sha256()
                        .hashString(shown.substring(BEARER.length()), StandardCharsets.UTF_8)
                        .toString();
        // Compared in constant time: how long a refusal takes must not tell how much was right.
        if (!MessageDigest.isEqual(bytes(hash), bytes(team.credentialSha256()))) {
            throw MasticweirException.notRun(
                    ErrorCode.UNAUTHORIZED, "the credential is not that of team " + name);
        }
        return team.id();
    }

    private static Team teamOf(Deployment deployment, String name) {
        try {
            return deployment.team(TeamId.of(name)).orElseThrow();
        } catch (IllegalArgumentException | java.util.NoSuchElementException e) {
            throw MasticweirException.notRun(ErrorCode.UNKNOWN_TEAM, "no such team");
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
