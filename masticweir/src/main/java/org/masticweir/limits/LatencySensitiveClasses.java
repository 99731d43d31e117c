package org.masticweir.limits;

/**
 * Tells which classes need a place at once, and what room they have that others don't; not
 * thread-safe.
 *
 * <p>A class is prompt if both its target for the first token and the time that its requests hold a
 * place are far below the time that a place stays taken. Waiting its turn among longer work would
 * make it late, whatever its share, and to go ahead costs the others little. A class with long work
 * is not prompt, however short its target.
 *
 * <p>Failure guarded against: lookups come while all places are held by reports for seconds. Each
 * place that comes free is theirs, yet too few do, and a third of them is late or refused. So other
 * classes leave places free for them, and a few of them may wait within the engines, which put the
 * lower priority number first as soon as any of their places is free; a router learns that only
 * with the next report.
 */
final class LatencySensitiveClasses {
    /** Part of the time that a place stays taken below which requests are short. */
    private static final double MAX_HOLD_RATIO = 0.25;

    /** Part of that time below which a target is short. */
    private static final double MAX_TARGET_RATIO = 0.5;

    /** Headroom is kept for so long after a prompt class was seen last. */
    private static final long HEADROOM_RETENTION_MS = 10_000;

    private final ModelLoad load;
    private final LimitSettings settings;
    private long lastArrivalMs;
    private boolean isActive;

    LatencySensitiveClasses(ModelLoad load, LimitSettings settings) {
        this.load = load;
        this.settings = settings;
    }

    /** Takes note of an arrival of the class of {@code q}. */
    void recordArrival(AdmissionRequest r, ClassQueue q, Capacity capacity, long nowMs) {
        if (isLatencySensitive(r, q, capacity)) {
            lastArrivalMs = nowMs;
            isActive = true;
        } else if (nowMs - lastArrivalMs >= HEADROOM_RETENTION_MS) {
            isActive = false;
        }
    }

    /**
     * Returns the places that {@code r} may fill beyond those free; below 0 if it leaves some.
     *
     * <p>Failure guarded against: one team's burst fills all places for as long as its requests
     * run. The next place is a small team's, yet there is none for a good part of its target, and
     * it is refused. Longer work of a team over its share therefore leaves headroom too.
     */
    double extraSlots(
            AdmissionRequest r, ClassQueue q, Capacity capacity, boolean isTeamOverShare) {
        if (isLatencySensitive(r, q, capacity)) {
            return Math.floor(settings.overcommitShare() * capacity.reachableSlots());
        }
        double share =
                Math.max(
                        isActive ? settings.headroomShare() : 0,
                        isTeamOverShare ? settings.teamHeadroomShare() : 0);
        return -Math.floor(share * capacity.reachableSlots());
    }

    private boolean isLatencySensitive(AdmissionRequest r, ClassQueue q, Capacity capacity) {
        double occupiedMs = load.holdTime().lengthBiasedMeanMs(capacity.holdMs());
        double classHoldMs = q.holdTime().meanMs(r.maxTokens() * capacity.stepMs());
        return r.workClass().firstTokenMs() < MAX_TARGET_RATIO * occupiedMs
                && classHoldMs < MAX_HOLD_RATIO * occupiedMs;
    }
}
