package org.masticweir.claims;

/**
 * The permission to send one request; immutable, so that any thread may ask it.
 *
 * @param claim number of the claim within this router's claim service
 * @param sendBeforeMs time on this router's monotonic clock from which nothing may be sent
 */
public record ClaimPermit(long claim, long sendBeforeMs) {
    /**
     * Tells whether an attempt may be sent now; to be asked right before the send.
     *
     * <p>Guards against a router that was paused after its claim until the row was swept and
     * another claim ran: the permission ends long before the sweep's retention. A pause between
     * this check and the send stays open; it is harmful only if it outlasts the retention.
     */
    public boolean maySend(long nowMs) {
        return nowMs < sendBeforeMs;
    }
}
