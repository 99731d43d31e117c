package org.masticweir.claims;

/**
 * Names one write that a claimant offered to a writer.
 *
 * @param claim number of the claim within the claimant
 * @param ticket number of the write within its claim
 */
record OfferKey(long claim, int ticket) {
    static OfferKey of(BatchItem item) {
        return new OfferKey(item.claim(), item.write().ticket());
    }
}
