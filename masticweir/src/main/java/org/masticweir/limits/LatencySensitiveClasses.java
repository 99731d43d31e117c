package org.masticweir.limits;

/**
 * Determines which classes need a slot at once and how many extra slots they may use; not
 * thread-safe.
 *
 * <p>A class is latency-sensitive if its target for the first token and the hold time of its
 * requests are both far below the time that a slot stays occupied. If such requests waited for
 * longer requests, they would be late, whatever the share of their class. Serving these requests
 * first costs the other classes little. A class with long requests is not latency-sensitive,
 * however short its target.
 *
 * <p>Prevents late lookups while reports occupy all slots for seconds. Without this, lookups get
 * every slot that becomes free, but too few slots become free, and a third of the lookups is late
 * or refused. Other classes therefore leave slots free, and a few latency-sensitive requests may
 * wait within the engines, which serve the lower priority number first as soon as a slot becomes
 * free; a router detects a free slot only with the next report.
 */
final class LatencySensitiveClasses {
    /**
     * Hold time below which requests are short, as a fraction of the time that a slot stays
     * occupied.
     */
    private static final double MAX_HOLD_RATIO = 0.25;

    /**
     * Target below which a class is urgent, as a fraction of the time that a slot stays occupied.
     */
    private static final double MAX_TARGET_RATIO = 0.5;

    /** How long headroom is kept after the last latency-sensitive arrival. */
    private static final long HEADROOM_RETENTION_MS = 10_000;

    private final ModelLoad load;
    private final LimitSettings settings;
    private long lastArrivalMs;
    private boolean hasRecentArrival;

    LatencySensitiveClasses(ModelLoad load, LimitSettings settings) {
        this.load = load;
        this.settings = settings;
    }

    /** Records an arrival of the class of {@code q}. */
    void recordArrival(AdmissionRequest r, ClassQueue q, Capacity capacity, long nowMs) {
        if (isLatencySensitive(r, q, capacity)) {
            lastArrivalMs = nowMs;
            hasRecentArrival = true;
        } else if (nowMs - lastArrivalMs >= HEADROOM_RETENTION_MS) {
            hasRecentArrival = false;
        }
    }

    /**
     * Returns the slots that {@code r} may fill beyond the free ones; below 0 if {@code r} has to
     * leave some slots free.
     *
     * <p>Prevents that the burst of one team fills all slots for the whole run time of its
     * requests. A small team gets the next slot, but no slot becomes free in time, and its request
     * is refused. Longer requests of a team above its share therefore leave headroom too.
     */
    double extraSlots(
            AdmissionRequest r, ClassQueue q, Capacity capacity, boolean isTeamOverShare) {
        if (isLatencySensitive(r, q, capacity)) {
            return Math.floor(settings.overcommitFraction() * capacity.reachableSlots());
        }
        double share =
                Math.max(
                        hasRecentArrival ? settings.headroomFraction() : 0,
                        isTeamOverShare ? settings.teamHeadroomFraction() : 0);
        return -Math.floor(share * capacity.reachableSlots());
    }

    private boolean isLatencySensitive(AdmissionRequest r, ClassQueue q, Capacity capacity) {
        double occupiedMs = load.holdTime().lengthBiasedMeanMs(capacity.holdMs());
        double classHoldMs = q.holdTime().meanMs(r.maxTokens() * capacity.stepMs());
        return r.workClass().firstTokenMs() < MAX_TARGET_RATIO * occupiedMs
                && classHoldMs < MAX_HOLD_RATIO * occupiedMs;
    }
}
