package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the engines of one model version can take from this router now; immutable.
 *
 * @param engines engines that may take new work
 * @param freeSlots places in their batches that this router may fill now; below 0 when overfull
 * @param reachableSlots places it could fill at once if all were free
 * @param fairShareSlots its even part of all places, by which it is served in the long run
 * @param holdMs mean time that a sequence keeps its place, in ms
 * @param prefillTokensPerMs prompt tokens that one engine computes in a millisecond
 * @param stepMs time from one token to the next at full load, in ms
 */
public record Capacity(
        int engines,
        double freeSlots,
        double reachableSlots,
        double fairShareSlots,
        double holdMs,
        double prefillTokensPerMs,
        double stepMs) {
    /** Time and spacing for refused callers to come back when no engine serves, in ms. */
    private static final double NO_ENGINE_HOLD_MS = 1_000;

    private static final double NO_ENGINE_SLOTS = 50;
    private static final Capacity NONE =
            new Capacity(0, 0, 0, NO_ENGINE_SLOTS, NO_ENGINE_HOLD_MS, 1, 0);

    public Capacity {
        checkArgument(engines >= 0, "%s engines", engines);
        checkArgument(fairShareSlots > 0, "%s fair places", fairShareSlots);
        checkArgument(prefillTokensPerMs > 0, "prefill of %s tokens a ms", prefillTokensPerMs);
    }

    /** Returns the capacity of a model version that no engine serves. */
    public static Capacity none() {
        return NONE;
    }
}
