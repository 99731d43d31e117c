package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The answer to one ask for a permit; immutable.
 *
 * @param againMs when it is of use to ask again, in ms from now; 0 if granted
 */
public record PermitDecision(boolean granted, long againMs) {
    private static final PermitDecision GRANTED = new PermitDecision(true, 0);

    public PermitDecision {
        checkArgument(granted ? againMs == 0 : againMs >= 1, "again in %s ms", againMs);
    }

    public static PermitDecision ofGrant() {
        return GRANTED;
    }

    public static PermitDecision denied(long againMs) {
        return new PermitDecision(false, Math.max(1, againMs));
    }
}
