package org.masticweir.id;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Names one request of one team.
 *
 * <p>The id follows from team and idempotency key, so that every router finds the same request for
 * a repeated submission without a lookup table.
 */
public record RequestId(String value) {
    private static final int HEX_CHARS = 32;

    public RequestId {
        Ids.checkToken("request id", value);
    }

    public static RequestId of(String value) {
        return new RequestId(value);
    }

    /** Returns the id that every router derives for {@code key} of {@code team}. */
    public static RequestId forKey(TeamId team, String key) {
        checkNotNull(team, "team");
        checkNotNull(key, "key");
        String text = team.value() + '\0' + key;
        String hex = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
        return new RequestId(hex.substring(0, HEX_CHARS));
    }

    @Override
    public String toString() {
        return value;
    }
}
