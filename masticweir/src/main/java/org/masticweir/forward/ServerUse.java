package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What one router has at one backend server; immutable.
 *
 * @param running requests sent and not ended
 * @param reading of these, the ones whose prompt is being read
 * @param readingTokens prompt tokens of those
 * @param memoryTokens tokens that its requests and the copies of its requests may come to hold
 */
public record ServerUse(int running, int reading, long readingTokens, long memoryTokens) {
    private static final ServerUse NONE = new ServerUse(0, 0, 0, 0);

    public ServerUse {
        checkArgument(running >= 0, "running %s", running);
        checkArgument(reading >= 0, "reading %s", reading);
        checkArgument(readingTokens >= 0, "reading %s tokens", readingTokens);
        checkArgument(memoryTokens >= 0, "memory of %s tokens", memoryTokens);
    }

    public static ServerUse none() {
        return NONE;
    }

    ServerUse sent(RequestSize size) {
        int more = size.prompt() > 0 ? 1 : 0;
        return new ServerUse(
                running + 1,
                reading + more,
                readingTokens + size.prompt(),
                memoryTokens + size.total());
    }

    ServerUse read(RequestSize size) {
        int less = size.prompt() > 0 ? 1 : 0;
        return new ServerUse(running, reading - less, readingTokens - size.prompt(), memoryTokens);
    }

    ServerUse ended(RequestSize size) {
        return new ServerUse(running - 1, reading, readingTokens, memoryTokens - size.total());
    }

    ServerUse holding(long tokens) {
        return new ServerUse(running, reading, readingTokens, memoryTokens + tokens);
    }

    ServerUse plus(ServerUse other) {
        return new ServerUse(
                running + other.running,
                reading + other.reading,
                readingTokens + other.readingTokens,
                memoryTokens + other.memoryTokens);
    }
}
