package org.masticweir.claims;

/**
 * The permission to send one request; immutable, so any thread may use it.
 *
 * @param claim number of the claim within this router's claim service
 * @param sendBeforeMs time on this router's monotonic clock from which nothing may be sent
 */
public record ClaimPermit(long claim, long sendBeforeMs) {
    /**
     * Returns whether an attempt may be sent now; call it right before the send.
     *
     * <p>Prevents a second run if a router was paused after its claim until the row was swept and
     * another claim ran: the permission ends long before the sweep's retention. A pause between
     * this check and the send is not covered; it is harmful only if it is longer than the
     * retention.
     */
    public boolean maySend(long nowMs) {
        return nowMs < sendBeforeMs;
    }
}
