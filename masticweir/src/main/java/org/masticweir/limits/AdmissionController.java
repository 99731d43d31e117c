package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.masticweir.error.ErrorCode;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.limits.AdmissionDecision.Admitted;
import org.masticweir.limits.AdmissionDecision.Queued;
import org.masticweir.limits.AdmissionDecision.Refused;

/**
 * Lets new work in, keeps it waiting or refuses it, by the targets of its class.
 *
 * <p>Use: {@link #offer} each request; send it on {@link Admitted} and call {@link #recordSend}
 * once {@code InFlight} knows of it; call {@link #tick} every few milliseconds for those queued;
 * call {@link #recordEnd} when an admitted request ends in whatever way.
 *
 * <p>Failure guarded against: in overload a queue grows until everything in it is answered too
 * late. A request is refused as soon as the prediction says that it would miss its target, so what
 * waits is what can still be served in time.
 *
 * <p>Thread-safe: each call holds one lock for a short time.
 */
public final class AdmissionController {
    /** One team may hold one in so many of the queue's places. */
    private static final int TEAM_PART = 4;

    /**
     * Places beyond the bound for teams with nothing queued, so that others can't shut them out.
     */
    private static final int RESERVED_FOR_IDLE_TEAMS = 512;

    private static final int MAX_RUNNING = 16_384;

    /** Model versions with a queue; a deployment has few, so more of them are a caller's error. */
    private static final int MAX_MODELS = 256;

    private final CapacitySource capacity;
    private final TeamWeights teams;
    private final ToIntFunction<ModelId> recoveriesWaiting;
    private final RandomGenerator random;
    private final LimitSettings tuning;
    private final Map<ModelVersion, ModelQueue> queues = new HashMap<>();
    private final Map<RequestId, AdmissionRequest> queued = new HashMap<>();
    private final Map<RequestId, Running> running = new HashMap<>();

    private AdmissionController(
            CapacitySource capacity,
            TeamWeights teams,
            ToIntFunction<ModelId> recoveriesWaiting,
            RandomGenerator random,
            LimitSettings tuning) {
        this.capacity = checkNotNull(capacity, "capacity");
        this.teams = checkNotNull(teams, "teams");
        this.recoveriesWaiting = checkNotNull(recoveriesWaiting, "recoveriesWaiting");
        this.random = checkNotNull(random, "random");
        this.tuning = checkNotNull(tuning, "tuning");
    }

    /**
     * Returns an admission that has let nothing in yet.
     *
     * @param teams how teams are to be served, for example {@link TeamShares}
     * @param recoveriesWaiting recoveries of a model that go ahead of new work, for example {@link
     *     RecoveryAdmissionController#waitingCount}
     */
    public static AdmissionController create(
            CapacitySource capacity,
            TeamWeights teams,
            ToIntFunction<ModelId> recoveriesWaiting,
            RandomGenerator random,
            LimitSettings tuning) {
        return new AdmissionController(capacity, teams, recoveriesWaiting, random, tuning);
    }

    /** Returns an admission with the default tuning. */
    public static AdmissionController create(
            CapacitySource capacity,
            TeamWeights teams,
            ToIntFunction<ModelId> recoveriesWaiting,
            RandomGenerator random) {
        return create(capacity, teams, recoveriesWaiting, random, LimitSettings.defaults());
    }

    /** Decides on {@code r}; a request offered before and not finished is an error. */
    public synchronized AdmissionDecision offer(AdmissionRequest r, long nowMs) {
        checkNotNull(r, "r");
        checkArgument(!knows(r.id()), "request %s offered twice", r.id());
        Capacity c = capacity.capacityOf(r.model(), r.version(), nowMs);
        ModelQueue queue = queue(r);
        queue.see(r, c, nowMs);
        boolean now = queue.goesAhead(r, c, reserved(r));
        Prediction p = queue.predict(r, c, nowMs);
        boolean late = now ? queue.tooLate(r, c, nowMs) : !p.meetsTargets(r, nowMs);
        Optional<ErrorCode> refusal = refusal(r, late, c, queue);
        if (refusal.isPresent()) {
            return refuse(r, refusal.get(), p, c, queue, nowMs);
        }
        if (now) {
            queue.passed(r, c);
            return admit(r, queue, nowMs);
        }
        queue.add(r, nowMs);
        queued.put(r.id(), r);
        return new Queued(r.id(), Math.round(p.waitMs()));
    }

    /** Counts an admitted request as sent, once the capacity source counts it too. */
    public synchronized void recordSend(RequestId id) {
        Running run = running.get(checkNotNull(id, "id"));
        if (run != null && !run.sent) {
            run.sent = true;
            queue(run.request).load().sent();
        }
    }

    /** Takes note that {@code id} has ended or was cancelled, whether it was let in or waits. */
    public synchronized void recordEnd(RequestId id, long nowMs) {
        AdmissionRequest waiting = queued.remove(checkNotNull(id, "id"));
        if (waiting != null) {
            queue(waiting).remove(waiting);
        }
        Running run = running.remove(id);
        if (run != null) {
            queue(run.request).finished(run.request, run.sent, nowMs - run.admittedAtMs);
        }
    }

    /** Decides on what waits: refuses what would be late, then lets in what there is room for. */
    public synchronized ImmutableList<AdmissionDecision> tick(long nowMs) {
        ImmutableList.Builder<AdmissionDecision> decisions = ImmutableList.builder();
        queues.forEach((key, queue) -> tick(key, queue, nowMs, decisions));
        queues.values().removeIf(q -> q.size() == 0 && q.load().running() == 0 && tooMany());
        return decisions.build();
    }

    /** Returns the counts of what waits and runs. */
    public synchronized AdmissionStatus status() {
        return new AdmissionStatus(queued.size(), running.size());
    }

    private void tick(
            ModelVersion key,
            ModelQueue queue,
            long nowMs,
            ImmutableList.Builder<AdmissionDecision> decisions) {
        if (queue.size() == 0) {
            return;
        }
        Capacity c = capacity.capacityOf(key.model(), key.version(), nowMs);
        int reserved = recoveriesWaiting.applyAsInt(key.model());
        List<AdmissionRequest> late = new ArrayList<>();
        Optional<AdmissionRequest> next = queue.next(c, reserved);
        while (next.isPresent()) {
            AdmissionRequest r = next.get();
            if (queue.tooLate(r, c, nowMs)) {
                queue.remove(r);
                late.add(r);
            } else {
                queue.serve(r, c, nowMs);
                queued.remove(r.id());
                decisions.add(admit(r, queue, nowMs));
            }
            next = queue.next(c, reserved);
        }
        queue.dropLate(c, nowMs, late);
        for (AdmissionRequest r : late) {
            queued.remove(r.id());
            Prediction p = queue.predict(r, c, nowMs);
            decisions.add(refuse(r, lateCode(c), p, c, queue, nowMs));
        }
    }

    private Optional<ErrorCode> refusal(
            AdmissionRequest r, boolean late, Capacity c, ModelQueue queue) {
        if (c.engines() == 0 || (tuning.predictedRefusal() && late)) {
            return Optional.of(lateCode(c));
        }
        int max = tuning.maxQueued();
        if (tuning.fairShares() && queue.size(r.team()) >= Math.max(1, max / TEAM_PART)) {
            return Optional.of(ErrorCode.OVER_LIMIT);
        }
        boolean idle = tuning.fairShares() && queue.size(r.team()) == 0;
        int limit = idle ? max + RESERVED_FOR_IDLE_TEAMS : max;
        boolean full = queued.size() >= limit || running.size() >= MAX_RUNNING;
        return full ? Optional.of(ErrorCode.OVERLOADED) : Optional.empty();
    }

    private static ErrorCode lateCode(Capacity c) {
        return c.engines() == 0 ? ErrorCode.NO_ENGINE : ErrorCode.OVERLOADED;
    }

    private Admitted admit(AdmissionRequest r, ModelQueue queue, long nowMs) {
        running.put(r.id(), new Running(r, nowMs));
        queue.load().admitted();
        return new Admitted(r.id());
    }

    private Refused refuse(
            AdmissionRequest r,
            ErrorCode code,
            Prediction p,
            Capacity c,
            ModelQueue queue,
            long nowMs) {
        double interval = queue.load().hold().meanMs(c.holdMs()) / c.fairShareSlots();
        return new Refused(r.id(), code, queue.returns().book(p.waitMs(), interval, nowMs));
    }

    private boolean knows(RequestId id) {
        return queued.containsKey(id) || running.containsKey(id);
    }

    private boolean tooMany() {
        return queues.size() > MAX_MODELS;
    }

    private int reserved(AdmissionRequest r) {
        return recoveriesWaiting.applyAsInt(r.model());
    }

    private ModelQueue queue(AdmissionRequest r) {
        return queues.computeIfAbsent(
                new ModelVersion(r.model(), r.version()),
                k -> new ModelQueue(teams, new ReturnSchedule(random), tuning));
    }

    /** A request that was let in. */
    private static final class Running {
        private final AdmissionRequest request;
        private final long admittedAtMs;
        private boolean sent;

        Running(AdmissionRequest request, long admittedAtMs) {
            this.request = request;
            this.admittedAtMs = admittedAtMs;
        }
    }
}
