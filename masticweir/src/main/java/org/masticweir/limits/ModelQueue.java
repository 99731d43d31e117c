package org.masticweir.limits;

import static java.util.Comparator.comparingDouble;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * The queued requests of one model version, with equal shares for its classes; not thread-safe.
 *
 * <p>Start-time fair queueing on slot time: the class with the least slot time is served next, and
 * a class that was idle starts at the current virtual time. A class that needs less than its share
 * waits for at most one slot, however many requests the other classes queue.
 *
 * <p>Prevents starvation of classes with longer targets. If requests were ordered by target or
 * deadline, the full queue of a class with a short target would always be more urgent in overload.
 * This class would use all slots, and the other classes would get none, though they need few.
 */
final class ModelQueue {
    /** Key of the common queue when classes are not separated. */
    private static final WorkClassId ALL_CLASSES = WorkClassId.of("all");

    /** Mean fraction of the current first request's wait that remains. */
    private static final double REMAINING_WAIT_SHARE = 0.5;

    /** Teams of a class for which one tick computes predictions. */
    private static final int MAX_PREDICTED_TEAMS_PER_TICK = 64;

    private final TeamWeights teamWeights;
    private final Map<WorkClassId, ClassQueue> queuesByClass = new LinkedHashMap<>();
    private final ModelLoad load = new ModelLoad();
    private final RetrySchedule retries;
    private final LimitSettings settings;
    private final LatencySensitiveClasses latencySensitive;

    /** Virtual time of the class served last, before it was charged. */
    private double virtualTime;

    ModelQueue(TeamWeights teamWeights, RetrySchedule retries, LimitSettings settings) {
        this.teamWeights = teamWeights;
        this.retries = retries;
        this.settings = settings;
        latencySensitive = new LatencySensitiveClasses(load, settings);
    }

    ModelLoad load() {
        return load;
    }

    /** Removes {@code r}, which was admitted {@code heldMs} ago and has ended. */
    void markFinished(AdmissionRequest r, boolean wasSent, long heldMs) {
        load.markFinished(wasSent, heldMs);
        if (wasSent) {
            queueOf(r).holdTime().add(heldMs);
        }
    }

    RetrySchedule retries() {
        return retries;
    }

    /**
     * Records an arrival, so that other classes leave headroom if the class of {@code r} needs it.
     */
    void recordArrival(AdmissionRequest r, Capacity capacity, long nowMs) {
        latencySensitive.recordArrival(r, queueOf(r), capacity, nowMs);
    }

    void add(AdmissionRequest r, long nowMs) {
        ClassQueue q = queueOf(r);
        if (q.queuedCount() == 0) {
            q.advanceTo(virtualTime);
        }
        q.add(r, nowMs);
    }

    boolean remove(AdmissionRequest r) {
        return queueOf(r).remove(r);
    }

    int queuedCount() {
        return queuesByClass.values().stream().mapToInt(ClassQueue::queuedCount).sum();
    }

    int queuedCount(TeamId team) {
        return queuesByClass.values().stream().mapToInt(q -> q.queuedCount(team)).sum();
    }

    /** Returns whether {@code r} may be admitted at once, before all queued requests. */
    boolean canAdmitNow(AdmissionRequest r, Capacity capacity, int reserved) {
        ClassQueue own = queueOf(r);
        double startTime = Math.max(virtualTime, own.servedSlotMs());
        int ahead =
                queuesByClass.values().stream()
                        .filter(q -> q == own || q.servedSlotMs() <= startTime)
                        .filter(q -> q.next(x -> hasSlot(x, capacity, reserved)).isPresent())
                        .mapToInt(ClassQueue::queuedCount)
                        .sum();
        return own.queuedCount(r.team()) == 0 && freeSlotsFor(r, capacity, reserved) - ahead >= 1;
    }

    /** Charges the class of {@code r}, which was admitted without queueing. */
    void chargeUnqueued(AdmissionRequest r, Capacity capacity) {
        ClassQueue q = queueOf(r);
        q.advanceTo(virtualTime);
        charge(q, r, capacity);
    }

    /** Returns the next request for which a slot is free, if any. */
    Optional<AdmissionRequest> next(Capacity capacity, int reserved) {
        return queuesByClass.values().stream()
                .flatMap(q -> q.next(r -> hasSlot(r, capacity, reserved)).stream())
                .min(
                        comparingDouble((AdmissionRequest r) -> queueOf(r).servedSlotMs())
                                .thenComparingLong(AdmissionRequest::firstTokenDueMs));
    }

    /** Removes {@code r}, which is admitted, and charges its class and team. */
    void serve(AdmissionRequest r, Capacity capacity, long nowMs) {
        ClassQueue q = queueOf(r);
        q.serve(r, nowMs);
        charge(q, r, capacity);
    }

    /**
     * Charges a class the recent mean time that its requests occupy a slot.
     *
     * <p>The maximum token count of a request includes tokens that the caller requests but doesn't
     * get: the usage of two classes with the same maximum may differ by a factor of ten.
     */
    private void charge(ClassQueue q, AdmissionRequest r, Capacity capacity) {
        virtualTime = Math.max(virtualTime, q.servedSlotMs());
        q.charge(q.holdTime().meanMs(r.maxTokens() * capacity.stepMs()));
    }

    /**
     * Predicts the times of {@code r}, which has just arrived, after all requests queued before it.
     */
    Prediction predict(AdmissionRequest r, Capacity capacity, long nowMs) {
        double waits = queueOf(r).requestsAhead(r, queueOf(r).queuedCount(r.team())) + 1;
        return predict(r, waits, capacity, nowMs);
    }

    private Prediction predict(AdmissionRequest r, double waits, Capacity capacity, long nowMs) {
        double slots = Math.max(capacity.fairShareSlots(), load.runningCount());
        double headWaitMs = queueOf(r).headWaitMs(holdMs(capacity) / slots, nowMs);
        return Prediction.of(r, waits * headWaitMs, capacity, holdMs(capacity));
    }

    /** Returns whether {@code r} would be late even if it were sent now. */
    boolean isTooLate(AdmissionRequest r, Capacity capacity, long nowMs) {
        if (!settings.hasQueueDeadlines()) {
            return false;
        }
        return settings.hasPredictedRefusal()
                ? !Prediction.of(r, 0, capacity, holdMs(capacity)).meetsTargets(r, nowMs)
                : nowMs >= r.firstTokenDueMs();
    }

    /**
     * Removes the requests that can no longer meet their targets and adds them to {@code late}.
     *
     * <p>A prediction for one team iterates over all teams; with thousands of queued teams, a tick
     * would last longer than the tick interval. Each tick therefore predicts for a limited number
     * of teams, in rotation; requests that would be late even if sent now are found in every tick.
     */
    void removeLate(Capacity capacity, long nowMs, List<AdmissionRequest> late) {
        if (!settings.hasQueueDeadlines()) {
            return;
        }
        for (ClassQueue q : queuesByClass.values()) {
            for (TeamId team : q.waitingTeams()) {
                removeTooLate(q, team, capacity, nowMs, late);
            }
            if (settings.hasPredictedRefusal()) {
                q.nextTeams(MAX_PREDICTED_TEAMS_PER_TICK)
                        .forEach(team -> removeLate(q, team, capacity, nowMs, late));
            }
        }
    }

    private void removeTooLate(
            ClassQueue q, TeamId id, Capacity capacity, long nowMs, List<AdmissionRequest> late) {
        for (TeamQueue team = q.queueOf(id); team != null; team = q.queueOf(id)) {
            AdmissionRequest first = team.first();
            if (!isTooLate(first, capacity, nowMs)) {
                return;
            }
            q.remove(first);
            late.add(first);
        }
    }

    /**
     * Removes the requests of one team that are predicted to be late.
     *
     * <p>Checks only the team's first and last request, until both are in time: the first request
     * has the least time left, the last request waits longest, and each request in between reaches
     * the front before its deadline. Without class shares, requests in between may reach the front
     * too late; such requests stay queued until then.
     */
    private void removeLate(
            ClassQueue q, TeamId id, Capacity capacity, long nowMs, List<AdmissionRequest> late) {
        for (TeamQueue team = q.queueOf(id); team != null; team = q.queueOf(id)) {
            AdmissionRequest first = team.first();
            AdmissionRequest last = team.last();
            int requestsBefore = team.size() - 1;
            if (isLate(first, 0, capacity, nowMs)) {
                q.remove(first);
                late.add(first);
            } else if (isLate(last, requestsBefore, capacity, nowMs)) {
                q.remove(last);
                late.add(last);
            } else {
                return;
            }
        }
    }

    private boolean isLate(AdmissionRequest r, int requestsBefore, Capacity capacity, long nowMs) {
        double waits = queueOf(r).requestsAhead(r, requestsBefore) + REMAINING_WAIT_SHARE;
        return !predict(r, waits, capacity, nowMs).meetsTargets(r, nowMs);
    }

    private boolean hasSlot(AdmissionRequest r, Capacity capacity, int reserved) {
        return freeSlotsFor(r, capacity, reserved) >= 1;
    }

    /** Returns the free slots of {@code capacity} that {@code r} may use. */
    private double freeSlotsFor(AdmissionRequest r, Capacity capacity, int reserved) {
        double extra =
                latencySensitive.extraSlots(
                        r, queueOf(r), capacity, teamWeights.isOverShare(r.team()));
        return capacity.freeSlots() + extra - load.unsentCount() - reserved;
    }

    private double holdMs(Capacity capacity) {
        return load.holdTime().meanMs(capacity.holdMs());
    }

    private ClassQueue queueOf(AdmissionRequest r) {
        WorkClassId id = settings.hasClassShares() ? r.workClass().id() : ALL_CLASSES;
        return queuesByClass.computeIfAbsent(
                id, k -> new ClassQueue(teamWeights::weight, settings));
    }
}
