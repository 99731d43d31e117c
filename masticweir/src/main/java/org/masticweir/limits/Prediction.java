package org.masticweir.limits;

/** When a request would get its first token and its end if it were queued now; immutable. */
record Prediction(double waitMs, double firstTokenMs, double finishMs) {
    /** Predicts for {@code r}, which is sent in {@code waitMs}, without delay in the engine. */
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
