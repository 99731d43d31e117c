package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The capacity that the engines of one model version have for this router now; immutable.
 *
 * @param engines engines that may take new requests
 * @param freeSlots slots in the batches of the engines that this router may fill now; below 0 if
 *     this router has overfilled the batches
 * @param reachableSlots slots that this router could fill at once if all slots were free
 * @param fairShareSlots this router's even share of all slots, which limits the router's long-term
 *     throughput
 * @param holdMs mean time that a sequence occupies its slot, in ms
 * @param prefillTokensPerMs prompt tokens that one engine computes per millisecond
 * @param stepMs time between two tokens at full load, in ms
 */
public record Capacity(
        int engines,
        double freeSlots,
        double reachableSlots,
        double fairShareSlots,
        double holdMs,
        double prefillTokensPerMs,
        double stepMs) {
    /** Hold time used to compute retry delays while no engine serves the model, in ms. */
    private static final double NO_ENGINE_HOLD_MS = 1_000;

    private static final double NO_ENGINE_SLOTS = 50;
    private static final Capacity NONE =
            new Capacity(0, 0, 0, NO_ENGINE_SLOTS, NO_ENGINE_HOLD_MS, 1, 0);

    public Capacity {
        checkArgument(engines >= 0, "%s engines", engines);
        checkArgument(fairShareSlots > 0, "%s fair share slots", fairShareSlots);
        checkArgument(prefillTokensPerMs > 0, "prefill of %s tokens a ms", prefillTokensPerMs);
    }

    /** Returns the capacity of a model version that no engine serves. */
    public static Capacity none() {
        return NONE;
    }
}
