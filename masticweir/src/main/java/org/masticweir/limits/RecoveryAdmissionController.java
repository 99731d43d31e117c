package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.Comparator.comparing;
import static java.util.Comparator.comparingInt;
import static java.util.Comparator.comparingLong;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.masticweir.error.ErrorCode;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;
import org.masticweir.limits.RecoveryDecision.GiveUp;
import org.masticweir.limits.RecoveryDecision.Start;
import org.masticweir.limits.RecoveryDecision.Wait;

/**
 * Starts recoveries before new requests, but only a limited number at a time.
 *
 * <p>Without this, all generations of a lost rack would be sent to the remaining engines at once.
 * Each generation is recomputed from its first token. The remaining engines would be busy with
 * prefill, and their own streams would stall and be considered lost in turn. A recovery counts as
 * starting until its first new token, and starting recoveries may use only a fraction of this
 * router's slots.
 *
 * <p>Thread-safe: each call holds one lock for a short time.
 */
public final class RecoveryAdmissionController {
    private static final int MIN_STARTING = 2;
    private static final int MAX_WAITING = 8_192;

    /**
     * Time after which a recovery no longer counts as starting if its first token is never
     * reported.
     */
    private static final long START_TIMEOUT_MS = 10_000;

    private final CapacitySource capacity;
    private final LimitSettings settings;
    private final NavigableSet<RecoveryRequest> waitingByPriority =
            new TreeSet<>(
                    comparingInt((RecoveryRequest r) -> r.workClass().firstTokenMs())
                            .thenComparing(comparingLong(RecoveryRequest::dueMs))
                            .thenComparing(comparing(r -> r.generation().toString())));
    private final Map<GenerationId, RecoveryRequest> waitingByGeneration = new LinkedHashMap<>();
    private final Map<GenerationId, StartingRecovery> startingByGeneration = new LinkedHashMap<>();

    private RecoveryAdmissionController(CapacitySource capacity, LimitSettings settings) {
        this.capacity = checkNotNull(capacity, "capacity");
        this.settings = checkNotNull(settings, "settings");
    }

    public static RecoveryAdmissionController create(
            CapacitySource capacity, LimitSettings settings) {
        return new RecoveryAdmissionController(capacity, settings);
    }

    /** Returns a controller with the default settings. */
    public static RecoveryAdmissionController create(CapacitySource capacity) {
        return create(capacity, LimitSettings.defaults());
    }

    /**
     * Decides on a lost generation. A recovery that was already starting was lost again and is
     * decided on anew.
     */
    public synchronized RecoveryDecision offer(RecoveryRequest r, long nowMs) {
        checkNotNull(r, "r");
        recordEnd(r.generation());
        if (nowMs >= r.dueMs()) {
            return new GiveUp(r.generation(), ErrorCode.DEADLINE_EXCEEDED);
        }
        if (waitingByPriority.size() >= MAX_WAITING) {
            return new GiveUp(r.generation(), ErrorCode.ENGINE_LOST);
        }
        int limit = limit(new ModelKey(r.model(), r.version()), nowMs);
        if (waitingCount(r.model()) == 0 && startingCount(r.model()) < limit) {
            return start(r, nowMs);
        }
        waitingByPriority.add(r);
        waitingByGeneration.put(r.generation(), r);
        return new Wait(r.generation());
    }

    /** Marks a recovery as resumed: its first new token has arrived. */
    public synchronized void recordResume(GenerationId generation) {
        startingByGeneration.remove(checkNotNull(generation, "generation"));
    }

    /** Removes a generation that needs no recovery any more, whatever its state. */
    public synchronized void recordEnd(GenerationId generation) {
        startingByGeneration.remove(checkNotNull(generation, "generation"));
        RecoveryRequest r = waitingByGeneration.remove(generation);
        if (r != null) {
            waitingByPriority.remove(r);
        }
    }

    /** Decides on the waiting recoveries. */
    public synchronized ImmutableList<RecoveryDecision> tick(long nowMs) {
        startingByGeneration.values().removeIf(s -> nowMs - s.sinceMs >= START_TIMEOUT_MS);
        ImmutableList.Builder<RecoveryDecision> decisions = ImmutableList.builder();
        Map<ModelKey, Integer> limits = new HashMap<>();
        for (Iterator<RecoveryRequest> it = waitingByPriority.iterator(); it.hasNext(); ) {
            RecoveryRequest r = it.next();
            ModelKey key = new ModelKey(r.model(), r.version());
            int limit = limits.computeIfAbsent(key, k -> limit(k, nowMs));
            boolean isOverdue = nowMs >= r.dueMs();
            if (isOverdue || startingCount(r.model()) < limit) {
                it.remove();
                waitingByGeneration.remove(r.generation());
                decisions.add(
                        isOverdue
                                ? new GiveUp(r.generation(), ErrorCode.DEADLINE_EXCEEDED)
                                : start(r, nowMs));
            }
        }
        return decisions.build();
    }

    /**
     * Returns the number of waiting recoveries of {@code model}, which take precedence over new
     * requests.
     */
    public synchronized int waitingCount(ModelId model) {
        return (int) waitingByPriority.stream().filter(r -> r.model().equals(model)).count();
    }

    private Start start(RecoveryRequest r, long nowMs) {
        startingByGeneration.put(r.generation(), new StartingRecovery(r.model(), nowMs));
        return new Start(r.generation());
    }

    private long startingCount(ModelId model) {
        return startingByGeneration.values().stream().filter(s -> s.model.equals(model)).count();
    }

    private int limit(ModelKey key, long nowMs) {
        Capacity c = capacity.capacityOf(key.model(), key.version(), nowMs);
        if (c.engines() == 0) {
            return 0;
        }
        if (!settings.hasRecoveryAdmission()) {
            return Integer.MAX_VALUE;
        }
        return Math.max(MIN_STARTING, (int) (settings.recoveryFraction() * c.fairShareSlots()));
    }

    /** A recovery that was sent and has produced no new token yet. */
    private record StartingRecovery(ModelId model, long sinceMs) {}
}
