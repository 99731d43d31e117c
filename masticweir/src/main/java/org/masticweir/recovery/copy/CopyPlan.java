package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.config.Reliability;

/**
 * The fixed facts that the copying of one request follows.
 *
 * @param ackBoundMs how long a holder may take to acknowledge before the next one is chosen
 * @param noHolderBoundMs how long releases wait while no holder can be reached; after it they go on
 *     unprotected, since a lone router that stops serving helps nobody
 * @param retryMs pause between two tries while no holder can be reached
 * @param endOfferMs how long after its release an end is still offered to holders; as long as a
 *     holder would keep it
 * @param candidates count of routers of the ranking that are tried as holders
 */
public record CopyPlan(
        Reliability reliability,
        long ackBoundMs,
        long noHolderBoundMs,
        long retryMs,
        long endOfferMs,
        int candidates) {
    private static final long ACK_BOUND_MS = 250;
    private static final long NO_HOLDER_BOUND_MS = 1_500;
    private static final long RETRY_MS = 100;
    private static final long END_OFFER_MS = 60_000;
    private static final int CANDIDATES = 4;

    public CopyPlan {
        checkNotNull(reliability, "reliability");
        checkArgument(ackBoundMs > 0, "copy_ack_bound_ms %s", ackBoundMs);
        checkArgument(noHolderBoundMs > 0, "copy_no_holder_bound_ms %s", noHolderBoundMs);
        checkArgument(retryMs > 0, "copy_retry_ms %s", retryMs);
        checkArgument(endOfferMs > 0, "copy_end_offer_ms %s", endOfferMs);
        checkArgument(candidates > 0, "copy_candidates %s", candidates);
    }

    public static CopyPlan defaults(Reliability reliability) {
        return new CopyPlan(
                reliability, ACK_BOUND_MS, NO_HOLDER_BOUND_MS, RETRY_MS, END_OFFER_MS, CANDIDATES);
    }
}
