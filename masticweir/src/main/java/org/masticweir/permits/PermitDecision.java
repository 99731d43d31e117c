package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decision on one permit request; immutable.
 *
 * @param retryAfterMs time until a new permit request may be granted, in ms; 0 if this request was
 *     granted
 */
public record PermitDecision(boolean isGranted, long retryAfterMs) {
    private static final PermitDecision GRANTED = new PermitDecision(true, 0);

    public PermitDecision {
        checkArgument(
                isGranted ? retryAfterMs == 0 : retryAfterMs >= 1, "again in %s ms", retryAfterMs);
    }

    public static PermitDecision ofGrant() {
        return GRANTED;
    }

    public static PermitDecision denied(long retryAfterMs) {
        return new PermitDecision(false, Math.max(1, retryAfterMs));
    }
}
