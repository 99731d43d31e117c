package org.masticweir.limits;

/** Predicted times until the first token and the end of a request that is queued now; immutable. */
record Prediction(double waitMs, double firstTokenMs, double finishMs) {
    /**
     * Predicts the times of {@code r}, which is sent after {@code waitMs} and does not wait in the
     * engine.
     */
    static Prediction of(AdmissionRequest r, double waitMs, Capacity capacity, double holdMs) {
        double firstMs =
                capacity.engines() == 0
                        ? Double.POSITIVE_INFINITY
                        : waitMs
                                + r.promptTokens() / capacity.prefillTokensPerMs()
                                + capacity.stepMs();
        double restMs = Math.min((r.maxTokens() - 1) * capacity.stepMs(), holdMs);
        return new Prediction(waitMs, firstMs, firstMs + restMs);
    }

    boolean meetsTargets(AdmissionRequest r, long nowMs) {
        return nowMs + firstTokenMs <= r.firstTokenDueMs() && nowMs + finishMs <= r.dueMs();
    }
}
