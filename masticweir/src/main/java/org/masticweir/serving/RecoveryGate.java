package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.masticweir.id.GenerationId;
import org.masticweir.limits.RecoveryAdmissionController;
import org.masticweir.limits.RecoveryDecision;
import org.masticweir.limits.RecoveryRequest;
import org.masticweir.time.Clock;

/** Lets recoveries wait for their turn without holding a thread; thread-safe. */
public final class RecoveryGate {
    private final RecoveryAdmissionController admission;
    private final Clock clock;
    private final Runnable tickSoon;
    private final ConcurrentMap<GenerationId, Waiting> waiting = new ConcurrentHashMap<>();

    private RecoveryGate(RecoveryAdmissionController admission, Clock clock, Runnable tickSoon) {
        this.admission = checkNotNull(admission, "admission");
        this.clock = checkNotNull(clock, "clock");
        this.tickSoon = checkNotNull(tickSoon, "tickSoon");
    }

    static RecoveryGate create(
            RecoveryAdmissionController admission, Clock clock, Runnable tickSoon) {
        return new RecoveryGate(admission, clock, tickSoon);
    }

    /**
     * Offers a recovery; {@code then} gets its start or its end, once.
     *
     * <p>It is called at once where that can be decided, else later on {@code thread}.
     */
    void offer(RecoveryRequest recovery, Executor thread, Consumer<RecoveryDecision> then) {
        // Put first: the control thread may decide before the offer has returned here.
        waiting.put(recovery.generation(), new Waiting(thread, then));
        RecoveryDecision decision = admission.offer(recovery, clock.nowMs());
        if (decision instanceof RecoveryDecision.Wait) {
            tickSoon.run();
            return;
        }
        waiting.remove(recovery.generation());
        then.accept(decision);
    }

    /** Takes note that a recovered generation has its first new token. */
    void resumed(GenerationId generation) {
        admission.recordResume(generation);
    }

    /** Takes note that a generation needs no recovery any more. */
    void ended(GenerationId generation) {
        waiting.remove(checkNotNull(generation, "generation"));
        admission.recordEnd(generation);
    }

    /** Decides on what waits. */
    void tick() {
        for (RecoveryDecision decision : admission.tick(clock.nowMs())) {
            Waiting decided = waiting.remove(decision.generation());
            if (decided != null) {
                decided.thread.execute(() -> decided.then.accept(decision));
            }
        }
    }

    boolean anyWaiting() {
        return !waiting.isEmpty();
    }

    private record Waiting(Executor thread, Consumer<RecoveryDecision> then) {}
}
