package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.WorkClassId;

/**
 * A class of work and the targets it must be served by.
 *
 * @param id the name that requests carry
 * @param firstTokenMs target for the first token (or the whole answer of a plain service), in ms
 * @param totalMs deadline for the whole answer, in ms; no queue holds a request past it
 * @param reliability how dearly a generation is kept through losses
 * @param recovery which of the two measures recovery weighs more
 */
public record WorkClass(
        WorkClassId id,
        int firstTokenMs,
        int totalMs,
        Reliability reliability,
        RecoveryPreset recovery) {
    public WorkClass {
        checkNotNull(id, "id");
        checkArgument(firstTokenMs > 0, "first token target %s ms", firstTokenMs);
        checkArgument(totalMs >= firstTokenMs, "total %s ms below first token", totalMs);
        checkNotNull(reliability, "reliability");
        checkNotNull(recovery, "recovery");
    }
}
