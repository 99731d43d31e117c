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
 * Admits new requests, queues them or refuses them, based on the targets of their class.
 *
 * <p>Usage: {@link #offer} each request. After {@link Admitted}, send the request and call {@link
 * #recordSend} once {@code InFlight} counts the request. Call {@link #tick} every few milliseconds
 * to decide on queued requests. Call {@link #recordEnd} when an admitted request ends in any way.
 *
 * <p>Without this, the queue would grow in overload until every queued request is answered too
 * late. A request is refused as soon as it is predicted to miss its target, so the queue holds only
 * requests that can still be served in time.
 *
 * <p>Thread-safe: each call holds one lock for a short time.
 */
public final class AdmissionController {
    /** A team may use the size of the queue divided by this number. */
    private static final int TEAM_QUEUE_DIVISOR = 4;

    /**
     * Additional queue entries for teams without queued requests, so that other teams can't block
     * these teams.
     */
    private static final int RESERVED_FOR_IDLE_TEAMS = 512;

    private static final int MAX_RUNNING = 16_384;

    /**
     * Maximum number of model versions with a queue. A deployment has few, so a larger number is an
     * error of the caller.
     */
    private static final int MAX_MODELS = 256;

    private final CapacitySource capacity;
    private final TeamWeights teamWeights;
    private final ToIntFunction<ModelId> waitingRecoveryCount;
    private final RandomGenerator random;
    private final LimitSettings settings;
    private final Map<ModelKey, ModelQueue> queues = new HashMap<>();
    private final Map<RequestId, AdmissionRequest> queuedRequests = new HashMap<>();
    private final Map<RequestId, RunningRequest> runningRequests = new HashMap<>();

    private AdmissionController(
            CapacitySource capacity,
            TeamWeights teamWeights,
            ToIntFunction<ModelId> waitingRecoveryCount,
            RandomGenerator random,
            LimitSettings settings) {
        this.capacity = checkNotNull(capacity, "capacity");
        this.teamWeights = checkNotNull(teamWeights, "teamWeights");
        this.waitingRecoveryCount = checkNotNull(waitingRecoveryCount, "waitingRecoveryCount");
        this.random = checkNotNull(random, "random");
        this.settings = checkNotNull(settings, "settings");
    }

    /**
     * Returns a controller that has admitted nothing yet.
     *
     * @param teamWeights weights of the teams, for example {@link TeamShares}
     * @param waitingRecoveryCount number of waiting recoveries of a model, which take precedence
     *     over new requests, for example {@link RecoveryAdmissionController#waitingCount}
     */
    public static AdmissionController create(
            CapacitySource capacity,
            TeamWeights teamWeights,
            ToIntFunction<ModelId> waitingRecoveryCount,
            RandomGenerator random,
            LimitSettings settings) {
        return new AdmissionController(
                capacity, teamWeights, waitingRecoveryCount, random, settings);
    }

    /** Returns a controller with the default settings. */
    public static AdmissionController create(
            CapacitySource capacity,
            TeamWeights teamWeights,
            ToIntFunction<ModelId> waitingRecoveryCount,
            RandomGenerator random) {
        return create(
                capacity, teamWeights, waitingRecoveryCount, random, LimitSettings.defaults());
    }

    /** Decides on {@code r}. A request must not be offered again before it has ended. */
    public synchronized AdmissionDecision offer(AdmissionRequest r, long nowMs) {
        checkNotNull(r, "r");
        checkArgument(!isTracked(r.id()), "request %s offered twice", r.id());
        Capacity c = capacity.capacityOf(r.model(), r.version(), nowMs);
        ModelQueue queue = queueOf(r);
        queue.recordArrival(r, c, nowMs);
        boolean admitNow = queue.canAdmitNow(r, c, reservedSlots(r));
        Prediction p = queue.predict(r, c, nowMs);
        boolean isLate = admitNow ? queue.isTooLate(r, c, nowMs) : !p.meetsTargets(r, nowMs);
        Optional<ErrorCode> refusal = findRefusal(r, isLate, c, queue);
        if (refusal.isPresent()) {
            return refuse(r, refusal.get(), p, c, queue, nowMs);
        }
        if (admitNow) {
            queue.chargeUnqueued(r, c);
            return admit(r, queue, nowMs);
        }
        queue.add(r, nowMs);
        queuedRequests.put(r.id(), r);
        return new Queued(r.id(), Math.round(p.waitMs()));
    }

    /**
     * Marks an admitted request as sent; call this method once the capacity source counts the
     * request as well.
     */
    public synchronized void recordSend(RequestId id) {
        RunningRequest run = runningRequests.get(checkNotNull(id, "id"));
        if (run != null && !run.isSent) {
            run.isSent = true;
            queueOf(run.request).load().markSent();
        }
    }

    /** Removes request {@code id}, which has ended or was cancelled, admitted or still queued. */
    public synchronized void recordEnd(RequestId id, long nowMs) {
        AdmissionRequest queuedRequest = queuedRequests.remove(checkNotNull(id, "id"));
        if (queuedRequest != null) {
            queueOf(queuedRequest).remove(queuedRequest);
        }
        RunningRequest run = runningRequests.remove(id);
        if (run != null) {
            queueOf(run.request).markFinished(run.request, run.isSent, nowMs - run.admittedAtMs);
        }
    }

    /**
     * Decides on the queued requests: refuses the requests that would be late, then admits further
     * requests while slots are free.
     */
    public synchronized ImmutableList<AdmissionDecision> tick(long nowMs) {
        ImmutableList.Builder<AdmissionDecision> decisions = ImmutableList.builder();
        queues.forEach((key, queue) -> tick(key, queue, nowMs, decisions));
        queues.values()
                .removeIf(
                        q ->
                                q.queuedCount() == 0
                                        && q.load().runningCount() == 0
                                        && hasTooManyQueues());
        return decisions.build();
    }

    /** Returns the numbers of queued and running requests. */
    public synchronized AdmissionStatus status() {
        return new AdmissionStatus(queuedRequests.size(), runningRequests.size());
    }

    private void tick(
            ModelKey key,
            ModelQueue queue,
            long nowMs,
            ImmutableList.Builder<AdmissionDecision> decisions) {
        if (queue.queuedCount() == 0) {
            return;
        }
        Capacity c = capacity.capacityOf(key.model(), key.version(), nowMs);
        int reserved = waitingRecoveryCount.applyAsInt(key.model());
        List<AdmissionRequest> late = new ArrayList<>();
        Optional<AdmissionRequest> next = queue.next(c, reserved);
        while (next.isPresent()) {
            AdmissionRequest r = next.get();
            if (queue.isTooLate(r, c, nowMs)) {
                queue.remove(r);
                late.add(r);
            } else {
                queue.serve(r, c, nowMs);
                queuedRequests.remove(r.id());
                decisions.add(admit(r, queue, nowMs));
            }
            next = queue.next(c, reserved);
        }
        queue.removeLate(c, nowMs, late);
        for (AdmissionRequest r : late) {
            queuedRequests.remove(r.id());
            Prediction p = queue.predict(r, c, nowMs);
            decisions.add(refuse(r, lateErrorCode(c), p, c, queue, nowMs));
        }
    }

    private Optional<ErrorCode> findRefusal(
            AdmissionRequest r, boolean isLate, Capacity c, ModelQueue queue) {
        if (c.engines() == 0 || (settings.hasPredictedRefusal() && isLate)) {
            return Optional.of(lateErrorCode(c));
        }
        int maxQueued = settings.maxQueuedRequests();
        if (settings.hasFairShares()
                && queue.queuedCount(r.team()) >= Math.max(1, maxQueued / TEAM_QUEUE_DIVISOR)) {
            return Optional.of(ErrorCode.OVER_LIMIT);
        }
        boolean isTeamIdle = settings.hasFairShares() && queue.queuedCount(r.team()) == 0;
        int limit = isTeamIdle ? maxQueued + RESERVED_FOR_IDLE_TEAMS : maxQueued;
        boolean isFull = queuedRequests.size() >= limit || runningRequests.size() >= MAX_RUNNING;
        return isFull ? Optional.of(ErrorCode.OVERLOADED) : Optional.empty();
    }

    private static ErrorCode lateErrorCode(Capacity c) {
        return c.engines() == 0 ? ErrorCode.NO_ENGINE : ErrorCode.OVERLOADED;
    }

    private Admitted admit(AdmissionRequest r, ModelQueue queue, long nowMs) {
        runningRequests.put(r.id(), new RunningRequest(r, nowMs));
        queue.load().markAdmitted();
        return new Admitted(r.id());
    }

    private Refused refuse(
            AdmissionRequest r,
            ErrorCode code,
            Prediction p,
            Capacity c,
            ModelQueue queue,
            long nowMs) {
        double interval = queue.load().holdTime().meanMs(c.holdMs()) / c.fairShareSlots();
        return new Refused(r.id(), code, queue.retries().reserve(p.waitMs(), interval, nowMs));
    }

    private boolean isTracked(RequestId id) {
        return queuedRequests.containsKey(id) || runningRequests.containsKey(id);
    }

    private boolean hasTooManyQueues() {
        return queues.size() > MAX_MODELS;
    }

    private int reservedSlots(AdmissionRequest r) {
        return waitingRecoveryCount.applyAsInt(r.model());
    }

    private ModelQueue queueOf(AdmissionRequest r) {
        return queues.computeIfAbsent(
                new ModelKey(r.model(), r.version()),
                k -> new ModelQueue(teamWeights, new RetrySchedule(random), settings));
    }

    /** An admitted request. */
    private static final class RunningRequest {
        private final AdmissionRequest request;
        private final long admittedAtMs;
        private boolean isSent;

        RunningRequest(AdmissionRequest request, long admittedAtMs) {
            this.request = request;
            this.admittedAtMs = admittedAtMs;
        }
    }
}
