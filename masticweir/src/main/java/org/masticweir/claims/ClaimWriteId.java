package org.masticweir.claims;

/**
 * Identifies one write that a claimant delegated to a writer.
 *
 * @param claim number of the claim within the claimant
 * @param ticket number of the write within its claim
 */
record ClaimWriteId(long claim, int ticket) {
    static ClaimWriteId of(BatchItem item) {
        return new ClaimWriteId(item.claim(), item.write().ticket());
    }
}
