package org.masticweir.limits;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.masticweir.id.TeamId;

/** The waiting requests of one model version, more prompt classes first; not thread-safe. */
final class ModelQueue {
    /** One pick in so many starts from the least prompt class, so that none waits for ever. */
    private static final int REVERSED_ONE_IN = 8;

    private final ToDoubleFunction<TeamId> weight;
    private final NavigableMap<Integer, ClassQueue> classes = new TreeMap<>();
    private final ModelLoad load = new ModelLoad();
    private final ReturnSchedule returns;
    private final LimitTuning tuning;
    private int mostPromptMs = Integer.MAX_VALUE;
    private int picks;

    ModelQueue(ToDoubleFunction<TeamId> weight, ReturnSchedule returns, LimitTuning tuning) {
        this.weight = weight;
        this.returns = returns;
        this.tuning = tuning;
    }

    ModelLoad load() {
        return load;
    }

    ReturnSchedule returns() {
        return returns;
    }

    /** Takes note of a class, so that others leave it headroom. */
    void see(WorkRequest r) {
        mostPromptMs = Math.min(mostPromptMs, r.workClass().firstTokenMs());
    }

    void add(WorkRequest r) {
        classes.computeIfAbsent(promptness(r), ms -> new ClassQueue(weight, tuning)).add(r);
    }

    boolean remove(WorkRequest r) {
        ClassQueue q = classes.get(promptness(r));
        return q != null && q.remove(r);
    }

    int size() {
        return classes.values().stream().mapToInt(ClassQueue::size).sum();
    }

    int size(TeamId team) {
        return classes.values().stream().mapToInt(q -> q.size(team)).sum();
    }

    /** Returns the places that {@code r} may use of those that {@code capacity} has free. */
    double freeFor(WorkRequest r, Capacity capacity, int reserved) {
        boolean mostPrompt = r.workClass().firstTokenMs() <= mostPromptMs;
        double headroom =
                mostPrompt ? 0 : Math.floor(tuning.headroom() * capacity.reachablePlaces());
        return capacity.freePlaces() - load.notYetSent() - reserved - headroom;
    }

    /** Predicts for {@code r} behind all that is queued before it. */
    Prediction predict(WorkRequest r, Capacity capacity, int reserved) {
        ClassQueue own = classes.get(promptness(r));
        int before = own == null ? 0 : own.size(r.team());
        return predict(r, before, capacity, reserved);
    }

    private Prediction predict(WorkRequest r, int before, Capacity capacity, int reserved) {
        int promptness = promptness(r);
        ClassQueue own = classes.get(promptness);
        double ahead = own == null ? 0 : own.ahead(r.team(), before);
        for (ClassQueue q : classes.headMap(promptness).values()) {
            ahead += q.size();
        }
        return Prediction.of(r, ahead, freeFor(r, capacity, reserved), capacity, load);
    }

    /** Takes out and returns the next request that {@code admissible} lets in, if any. */
    Optional<WorkRequest> poll(Predicate<WorkRequest> admissible) {
        boolean reversed = picks % REVERSED_ONE_IN == REVERSED_ONE_IN - 1;
        for (ClassQueue q : (reversed ? classes.descendingMap() : classes).values()) {
            if (q.size() > 0 && admissible.test(q.next())) {
                WorkRequest r = q.next();
                q.serve(r);
                picks++;
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** Takes out those that can no longer meet their targets and adds them to {@code late}. */
    void dropLate(Capacity capacity, int reserved, long nowMs, List<WorkRequest> late) {
        if (!tuning.queueDeadlines()) {
            return;
        }
        for (ClassQueue q : classes.values()) {
            for (TeamId team : q.waitingTeams()) {
                dropLate(q, team, capacity, reserved, nowMs, late);
            }
        }
    }

    /**
     * Takes out what is late of one team.
     *
     * <p>Only a team's first and last are tried, until both hold: the first has least time left,
     * the last waits longest, and one between them comes to the front before it is due. Without
     * class priority that last does not hold; what is late then waits for the front.
     */
    private void dropLate(
            ClassQueue q,
            TeamId id,
            Capacity capacity,
            int reserved,
            long nowMs,
            List<WorkRequest> late) {
        for (TeamQueue team = q.team(id); team != null; team = q.team(id)) {
            WorkRequest first = team.first();
            WorkRequest last = team.last();
            int before = team.size() - 1;
            if (isLate(first, 0, capacity, reserved, nowMs)) {
                q.remove(first);
                late.add(first);
            } else if (isLate(last, before, capacity, reserved, nowMs)) {
                q.remove(last);
                late.add(last);
            } else {
                return;
            }
        }
    }

    private boolean isLate(WorkRequest r, int before, Capacity capacity, int reserved, long nowMs) {
        return tuning.predictedRefusal()
                ? !predict(r, before, capacity, reserved).meetsTargets(r, nowMs)
                : nowMs >= r.firstTokenDueMs();
    }

    /** Returns the key of the queue of {@code r}; lower ones go first. */
    private int promptness(WorkRequest r) {
        return tuning.classPriority() ? r.workClass().firstTokenMs() : 0;
    }
}
