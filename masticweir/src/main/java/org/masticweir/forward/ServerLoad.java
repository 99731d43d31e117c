package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Load that one router puts on one backend server; immutable.
 *
 * @param running requests that were sent and have not ended
 * @param prefills number of running requests that are in prefill
 * @param prefillTokens prompt tokens of the requests in prefill
 * @param memoryTokens maximum number of tokens in the server's memory for the router's requests and
 *     their copies
 */
public record ServerLoad(int running, int prefills, long prefillTokens, long memoryTokens) {
    private static final ServerLoad NONE = new ServerLoad(0, 0, 0, 0);

    public ServerLoad {
        checkArgument(running >= 0, "running %s", running);
        checkArgument(prefills >= 0, "prefills %s", prefills);
        checkArgument(prefillTokens >= 0, "prefill of %s tokens", prefillTokens);
        checkArgument(memoryTokens >= 0, "memory of %s tokens", memoryTokens);
    }

    public static ServerLoad none() {
        return NONE;
    }

    ServerLoad plusRequest(RequestSize size) {
        int addedPrefills = size.prompt() > 0 ? 1 : 0;
        return new ServerLoad(
                running + 1,
                prefills + addedPrefills,
                prefillTokens + size.prompt(),
                memoryTokens + size.total());
    }

    ServerLoad minusPrefill(RequestSize size) {
        int endedPrefills = size.prompt() > 0 ? 1 : 0;
        return new ServerLoad(
                running, prefills - endedPrefills, prefillTokens - size.prompt(), memoryTokens);
    }

    ServerLoad minusRequest(RequestSize size) {
        return new ServerLoad(running - 1, prefills, prefillTokens, memoryTokens - size.total());
    }

    ServerLoad plusCopyTokens(long tokens) {
        return new ServerLoad(running, prefills, prefillTokens, memoryTokens + tokens);
    }

    ServerLoad plus(ServerLoad other) {
        return new ServerLoad(
                running + other.running,
                prefills + other.prefills,
                prefillTokens + other.prefillTokens,
                memoryTokens + other.memoryTokens);
    }
}
