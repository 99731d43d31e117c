package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What one fault did to the generations that it met.
 *
 * @param injected whether the stand-in took the fault
 * @param affected generations under way on what failed
 * @param unresumed those of them that got no token after it, though their answer was not whole
 * @param resume longest wait for a token during the fault, of the others
 */
public record FaultResult(
        long atMs,
        String kind,
        String target,
        boolean injected,
        long affected,
        long unresumed,
        LatencySummary resume) {
    public FaultResult {
        checkNotNull(kind, "kind");
        checkNotNull(target, "target");
        checkNotNull(resume, "resume");
    }
}
