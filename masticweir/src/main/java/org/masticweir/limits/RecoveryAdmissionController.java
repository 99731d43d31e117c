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
 * Lets recoveries start ahead of new work, but only so many at a time.
 *
 * <p>Failure guarded against: a rack is lost and all its generations are sent to the survivors at
 * once; each is computed again from its first token, all survivors are busy with prompts, their own
 * streams stall and are taken for lost in turn. A recovery counts from its start until its first
 * new token, and no more than a share of this router's places may be in that state.
 *
 * <p>Thread-safe: each call holds one lock for a short time.
 */
public final class RecoveryAdmissionController {
    private static final int MIN_STARTING = 2;
    private static final int MAX_WAITING = 8_192;

    /** Time after which a start no longer counts, should its first token never be reported. */
    private static final long START_TIMEOUT_MS = 10_000;

    private final CapacitySource capacity;
    private final LimitSettings settings;
    private final NavigableSet<RecoveryRequest> waitingCount =
            new TreeSet<>(
                    comparingInt((RecoveryRequest r) -> r.workClass().firstTokenMs())
                            .thenComparing(comparingLong(RecoveryRequest::dueMs))
                            .thenComparing(comparing(r -> r.generation().toString())));
    private final Map<GenerationId, RecoveryRequest> waitingByGeneration = new LinkedHashMap<>();
    private final Map<GenerationId, Starting> starting = new LinkedHashMap<>();

    private RecoveryAdmissionController(CapacitySource capacity, LimitSettings settings) {
        this.capacity = checkNotNull(capacity, "capacity");
        this.settings = checkNotNull(settings, "settings");
    }

    public static RecoveryAdmissionController create(
            CapacitySource capacity, LimitSettings settings) {
        return new RecoveryAdmissionController(capacity, settings);
    }

    /** Returns an admission with the default tuning. */
    public static RecoveryAdmissionController create(CapacitySource capacity) {
        return create(capacity, LimitSettings.defaults());
    }

    /** Decides on a lost generation; one that was starting already is taken as lost again. */
    public synchronized RecoveryDecision offer(RecoveryRequest r, long nowMs) {
        checkNotNull(r, "r");
        recordEnd(r.generation());
        if (nowMs >= r.dueMs()) {
            return new GiveUp(r.generation(), ErrorCode.DEADLINE_EXCEEDED);
        }
        if (waitingCount.size() >= MAX_WAITING) {
            return new GiveUp(r.generation(), ErrorCode.ENGINE_LOST);
        }
        int limit = limit(new ModelKey(r.model(), r.version()), nowMs);
        if (waitingCount(r.model()) == 0 && startingCount(r.model()) < limit) {
            return start(r, nowMs);
        }
        waitingCount.add(r);
        waitingByGeneration.put(r.generation(), r);
        return new Wait(r.generation());
    }

    /** Takes note that a recovered generation has its first new token. */
    public synchronized void recordResume(GenerationId generation) {
        starting.remove(checkNotNull(generation, "generation"));
    }

    /** Takes note that a generation needs no recovery any more, whatever its state. */
    public synchronized void recordEnd(GenerationId generation) {
        starting.remove(checkNotNull(generation, "generation"));
        RecoveryRequest r = waitingByGeneration.remove(generation);
        if (r != null) {
            waitingCount.remove(r);
        }
    }

    /** Decides on what waits. */
    public synchronized ImmutableList<RecoveryDecision> tick(long nowMs) {
        starting.values().removeIf(s -> nowMs - s.sinceMs >= START_TIMEOUT_MS);
        ImmutableList.Builder<RecoveryDecision> decisions = ImmutableList.builder();
        Map<ModelKey, Integer> limits = new HashMap<>();
        for (Iterator<RecoveryRequest> it = waitingCount.iterator(); it.hasNext(); ) {
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

    /** Returns the recoveries of {@code model} that wait and go ahead of new work. */
    public synchronized int waitingCount(ModelId model) {
        return (int) waitingCount.stream().filter(r -> r.model().equals(model)).count();
    }

    private Start start(RecoveryRequest r, long nowMs) {
        starting.put(r.generation(), new Starting(r.model(), nowMs));
        return new Start(r.generation());
    }

    private long startingCount(ModelId model) {
        return starting.values().stream().filter(s -> s.model.equals(model)).count();
    }

    private int limit(ModelKey key, long nowMs) {
        Capacity c = capacity.capacityOf(key.model(), key.version(), nowMs);
        if (c.engines() == 0) {
            return 0;
        }
        if (!settings.recoveryAdmission()) {
            return Integer.MAX_VALUE;
        }
        return Math.max(MIN_STARTING, (int) (settings.recoveryShare() * c.fairShareSlots()));
    }

    /** A recovery that was sent and has no new token yet. */
    private record Starting(ModelId model, long sinceMs) {}
}
