package org.masticweir.limits;

import static java.util.Comparator.comparingDouble;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * The waiting requests of one model version, served by equal shares between classes; not
 * thread-safe.
 *
 * <p>Start-time fair queueing on the time that places are held: the class that got the least is
 * next, and one that was idle starts level with those served now. A class that asks for less than
 * its share waits for one place at most, whatever the others queue.
 *
 * <p>Failure guarded against: in overload a class with a short target takes all places and those
 * with longer ones get none, though they ask for little. No order by target or deadline shows that,
 * since a queue that is full of the one is always more urgent than the other.
 */
final class ModelQueue {
    /** Stands for every class where they share one queue. */
    private static final WorkClassId ALL_CLASSES = WorkClassId.of("all");

    /** Part of the turn under way that is still to come, on average. */
    private static final double REMAINING_WAIT_SHARE = 0.5;

    /** Teams of a class that one tick predicts for. */
    private static final int MAX_PREDICTED_TEAMS_PER_TICK = 64;

    private final TeamWeights teamWeights;
    private final Map<WorkClassId, ClassQueue> classes = new LinkedHashMap<>();
    private final ModelLoad load = new ModelLoad();
    private final RetrySchedule retries;
    private final LimitSettings settings;
    private final LatencySensitiveClasses latencySensitive;

    /** Where the class served last stood before. */
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

    /** Takes note that {@code r} has ended, which was let in {@code heldMs} ago. */
    void markFinished(AdmissionRequest r, boolean wasSent, long heldMs) {
        load.markFinished(wasSent, heldMs);
        if (wasSent) {
            queue(r).holdTime().add(heldMs);
        }
    }

    RetrySchedule retries() {
        return retries;
    }

    /** Takes note of an arrival, so that others leave its class room if it needs that. */
    void recordArrival(AdmissionRequest r, Capacity capacity, long nowMs) {
        latencySensitive.recordArrival(r, queue(r), capacity, nowMs);
    }

    void add(AdmissionRequest r, long nowMs) {
        ClassQueue q = queue(r);
        if (q.size() == 0) {
            q.advanceTo(virtualTime);
        }
        q.add(r, nowMs);
    }

    boolean remove(AdmissionRequest r) {
        return queue(r).remove(r);
    }

    int size() {
        return classes.values().stream().mapToInt(ClassQueue::size).sum();
    }

    int size(TeamId team) {
        return classes.values().stream().mapToInt(q -> q.size(team)).sum();
    }

    /** Tells whether {@code r} may be let in past all that waits. */
    boolean canAdmitNow(AdmissionRequest r, Capacity capacity, int reserved) {
        ClassQueue own = queue(r);
        double startTime = Math.max(virtualTime, own.servedSlotMs());
        int ahead =
                classes.values().stream()
                        .filter(q -> q == own || q.servedSlotMs() <= startTime)
                        .filter(q -> q.next(x -> hasSlot(x, capacity, reserved)).isPresent())
                        .mapToInt(ClassQueue::size)
                        .sum();
        return own.size(r.team()) == 0 && freeSlotsFor(r, capacity, reserved) - ahead >= 1;
    }

    /** Charges the class of {@code r}, which did not wait. */
    void chargeUnqueued(AdmissionRequest r, Capacity capacity) {
        ClassQueue q = queue(r);
        q.advanceTo(virtualTime);
        charge(q, r, capacity);
    }

    /** Returns the next request that there is a place for, if any. */
    Optional<AdmissionRequest> next(Capacity capacity, int reserved) {
        return classes.values().stream()
                .flatMap(q -> q.next(r -> hasSlot(r, capacity, reserved)).stream())
                .min(
                        comparingDouble((AdmissionRequest r) -> queue(r).servedSlotMs())
                                .thenComparingLong(AdmissionRequest::firstTokenDueMs));
    }

    /** Takes out {@code r}, which is let in, and charges its class and team. */
    void serve(AdmissionRequest r, Capacity capacity, long nowMs) {
        ClassQueue q = queue(r);
        q.serve(r, nowMs);
        charge(q, r, capacity);
    }

    /**
     * Charges a class by the time that its requests hold a place, as seen lately.
     *
     * <p>The most tokens that a request may have would charge a class for what its callers ask for
     * and don't get: two classes of one cap may differ ten times in what they use.
     */
    private void charge(ClassQueue q, AdmissionRequest r, Capacity capacity) {
        virtualTime = Math.max(virtualTime, q.servedSlotMs());
        q.charge(q.holdTime().meanMs(r.maxTokens() * capacity.stepMs()));
    }

    /** Predicts for {@code r}, which has just come, behind all that is queued before it. */
    Prediction predict(AdmissionRequest r, Capacity capacity, long nowMs) {
        double waits = queue(r).requestsAhead(r, queue(r).size(r.team())) + 1;
        return predict(r, waits, capacity, nowMs);
    }

    private Prediction predict(AdmissionRequest r, double waits, Capacity capacity, long nowMs) {
        double slots = Math.max(capacity.fairShareSlots(), load.running());
        double headWaitMs = queue(r).headWaitMs(holdMs(capacity) / slots, nowMs);
        return Prediction.of(r, waits * headWaitMs, capacity, holdMs(capacity));
    }

    /** Tells whether {@code r} would be late even if it were sent now. */
    boolean isTooLate(AdmissionRequest r, Capacity capacity, long nowMs) {
        if (!settings.queueDeadlines()) {
            return false;
        }
        return settings.predictedRefusal()
                ? !Prediction.of(r, 0, capacity, holdMs(capacity)).meetsTargets(r, nowMs)
                : nowMs >= r.firstTokenDueMs();
    }

    /**
     * Takes out those that can no longer meet their targets and adds them to {@code late}.
     *
     * <p>Failure guarded against: to predict for each team looks at all teams, and with thousands
     * of them waiting one tick would last longer than the time to the next. Only so many are
     * predicted for in a tick, in turn; what can't be in time any more is found at once.
     */
    void removeLate(Capacity capacity, long nowMs, List<AdmissionRequest> late) {
        if (!settings.queueDeadlines()) {
            return;
        }
        for (ClassQueue q : classes.values()) {
            for (TeamId team : q.waitingTeams()) {
                removeTooLate(q, team, capacity, nowMs, late);
            }
            if (settings.predictedRefusal()) {
                q.nextTeams(MAX_PREDICTED_TEAMS_PER_TICK)
                        .forEach(team -> removeLate(q, team, capacity, nowMs, late));
            }
        }
    }

    private void removeTooLate(
            ClassQueue q, TeamId id, Capacity capacity, long nowMs, List<AdmissionRequest> late) {
        for (TeamQueue team = q.team(id); team != null; team = q.team(id)) {
            AdmissionRequest first = team.first();
            if (!isTooLate(first, capacity, nowMs)) {
                return;
            }
            q.remove(first);
            late.add(first);
        }
    }

    /**
     * Takes out what is predicted to be late of one team.
     *
     * <p>Only a team's first and last are tried, until both hold: the first has least time left,
     * the last waits longest, and one between them comes to the front before it is due. Without
     * class shares that last does not hold; what is late then waits for the front.
     */
    private void removeLate(
            ClassQueue q, TeamId id, Capacity capacity, long nowMs, List<AdmissionRequest> late) {
        for (TeamQueue team = q.team(id); team != null; team = q.team(id)) {
            AdmissionRequest first = team.first();
            AdmissionRequest last = team.last();
            int before = team.size() - 1;
            if (isLate(first, 0, capacity, nowMs)) {
                q.remove(first);
                late.add(first);
            } else if (isLate(last, before, capacity, nowMs)) {
                q.remove(last);
                late.add(last);
            } else {
                return;
            }
        }
    }

    private boolean isLate(AdmissionRequest r, int before, Capacity capacity, long nowMs) {
        double waits = queue(r).requestsAhead(r, before) + REMAINING_WAIT_SHARE;
        return !predict(r, waits, capacity, nowMs).meetsTargets(r, nowMs);
    }

    private boolean hasSlot(AdmissionRequest r, Capacity capacity, int reserved) {
        return freeSlotsFor(r, capacity, reserved) >= 1;
    }

    /** Returns the places that {@code r} may use of those that {@code capacity} has free. */
    private double freeSlotsFor(AdmissionRequest r, Capacity capacity, int reserved) {
        double extra =
                latencySensitive.extraSlots(
                        r, queue(r), capacity, teamWeights.isOverShare(r.team()));
        return capacity.freeSlots() + extra - load.notYetSent() - reserved;
    }

    private double holdMs(Capacity capacity) {
        return load.holdTime().meanMs(capacity.holdMs());
    }

    private ClassQueue queue(AdmissionRequest r) {
        WorkClassId id = settings.classShares() ? r.workClass().id() : ALL_CLASSES;
        return classes.computeIfAbsent(id, k -> new ClassQueue(teamWeights::weight, settings));
    }
}
