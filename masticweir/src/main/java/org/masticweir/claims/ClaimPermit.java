package org.masticweir.claims;

/**
 * The permission to send one request; immutable, so any thread may use it.
 *
 * @param claim number of the claim within this router's claim service
 * @param sendBeforeMs time on this router's monotonic clock from which nothing may be sent
 */
public record ClaimPermit(long claim, long sendBeforeMs) {
    /**
     * Returns whether an attempt may be sent now; call this method right before the send.
     *
     * <p>Prevents a second run after a long pause of a router: the pause begins after the claim,
     * the row is deleted as expired, and another claim runs the request. The permission therefore
     * ends long before the retention of the row. A pause between this check and the send is not
     * covered; such a pause is harmful only if it is longer than the retention.
     */
    public boolean maySend(long nowMs) {
        return nowMs < sendBeforeMs;
    }
}
