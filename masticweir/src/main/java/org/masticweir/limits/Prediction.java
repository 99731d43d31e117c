package org.masticweir.limits;

/** When a request would get its first token and its end if it were queued now; immutable. */
record Prediction(double waitMs, double firstTokenMs, double finishMs) {
    /**
     * Predicts for {@code r} with {@code ahead} requests before it and {@code free} places.
     *
     * <p>Places come free as fast as requests end in this router's part of the engines.
     */
    static Prediction of(
            WorkRequest r, double ahead, double free, Capacity capacity, ModelLoad load) {
        double holdMs = load.holdMs(capacity.holdMs());
        double missing = Math.max(0, ahead + 1 - Math.max(0, free));
        double places = Math.max(capacity.fairPlaces(), load.running());
        double waitMs = missing * holdMs / places;
        double firstMs =
                capacity.engines() == 0
                        ? Double.POSITIVE_INFINITY
                        : waitMs
                                + r.promptTokens() / capacity.prefillTokensPerMs()
                                + capacity.stepMs();
        double restMs = Math.min((r.maxTokens() - 1) * capacity.stepMs(), holdMs);
        return new Prediction(waitMs, firstMs, firstMs + restMs);
    }

    boolean meetsTargets(WorkRequest r, long nowMs) {
        return nowMs + firstTokenMs <= r.firstTokenDueMs() && nowMs + finishMs <= r.dueMs();
    }
}
