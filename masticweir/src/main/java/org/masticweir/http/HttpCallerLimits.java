package org.masticweir.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on what a caller holds.
 *
 * @param connectionsPerAddress open connections to one address; a call beyond them is never sent
 * @param idleMs how long an unused connection stays open; below the server's own limit
 * @param maxAnswerBytes longest body accepted
 */
public record HttpCallerLimits(int connectionsPerAddress, long idleMs, int maxAnswerBytes) {
    private static final HttpCallerLimits DEFAULTS = new HttpCallerLimits(64, 10_000, 4 << 20);

    public HttpCallerLimits {
        checkArgument(connectionsPerAddress >= 1, "connections %s", connectionsPerAddress);
        checkArgument(idleMs >= 1, "idle %s ms", idleMs);
        checkArgument(maxAnswerBytes >= 1, "answer bytes %s", maxAnswerBytes);
    }

    public static HttpCallerLimits defaults() {
        return DEFAULTS;
    }
}
