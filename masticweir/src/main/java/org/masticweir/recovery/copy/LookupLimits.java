package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long a lookup waits for each kind of answer.
 *
 * @param findBoundMs for the candidates to say what they know
 * @param subscribeBoundMs for the owner to answer, before it counts as dead
 * @param takeOverBoundMs for one holder to answer a take-over, and for the others to be fenced
 * @param maxOwners owners that are followed one after the other before the lookup gives up
 */
public record LookupLimits(
        long findBoundMs, long subscribeBoundMs, long takeOverBoundMs, int maxOwners) {
    private static final long FIND_BOUND_MS = 300;
    private static final long SUBSCRIBE_BOUND_MS = 500;
    private static final long TAKE_OVER_BOUND_MS = 300;
    private static final int MAX_OWNERS = 4;

    public LookupLimits {
        checkArgument(findBoundMs > 0, "copy_find_bound_ms %s", findBoundMs);
        checkArgument(subscribeBoundMs > 0, "copy_subscribe_bound_ms %s", subscribeBoundMs);
        checkArgument(takeOverBoundMs > 0, "copy_take_over_bound_ms %s", takeOverBoundMs);
        checkArgument(maxOwners > 0, "copy_max_owners %s", maxOwners);
    }

    public static LookupLimits defaults() {
        return new LookupLimits(FIND_BOUND_MS, SUBSCRIBE_BOUND_MS, TAKE_OVER_BOUND_MS, MAX_OWNERS);
    }
}
