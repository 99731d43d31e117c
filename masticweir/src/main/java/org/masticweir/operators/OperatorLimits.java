package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on one call of an operator.
 *
 * @param maxBodyBytes longest body, which holds the whole document
 * @param answerTimeoutMs longest wait for an answer, so that no call waits silently
 */
public record OperatorLimits(int maxBodyBytes, long answerTimeoutMs) {
    private static final OperatorLimits DEFAULTS = new OperatorLimits(1 << 20, 15_000);

    public OperatorLimits {
        checkArgument(maxBodyBytes >= 1, "body bytes %s", maxBodyBytes);
        checkArgument(answerTimeoutMs >= 1, "answer timeout %s ms", answerTimeoutMs);
    }

    public static OperatorLimits defaults() {
        return DEFAULTS;
    }
}
