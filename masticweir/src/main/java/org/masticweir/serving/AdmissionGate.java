package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.masticweir.id.RequestId;
import org.masticweir.limits.AdmissionController;
import org.masticweir.limits.AdmissionDecision;
import org.masticweir.limits.AdmissionRequest;
import org.masticweir.time.Clock;

/**
 * Lets new work wait for its admission without holding a thread; thread-safe.
 *
 * <p>Traffic threads ask the one {@link AdmissionController} directly, under its short lock. A
 * hand-over to the control thread would add its delay to every first token, and stripes would each
 * see only a part of the queue, so fair shares and class order would not hold.
 */
public final class AdmissionGate {
    private final AdmissionController admission;
    private final Clock clock;
    private final Runnable tickSoon;
    private final ConcurrentMap<RequestId, Waiting> waiting = new ConcurrentHashMap<>();

    private AdmissionGate(AdmissionController admission, Clock clock, Runnable tickSoon) {
        this.admission = checkNotNull(admission, "admission");
        this.clock = checkNotNull(clock, "clock");
        this.tickSoon = checkNotNull(tickSoon, "tickSoon");
    }

    /**
     * Returns a gate at which nothing waits.
     *
     * @param tickSoon has {@link #tick} called within a few milliseconds
     */
    static AdmissionGate create(AdmissionController admission, Clock clock, Runnable tickSoon) {
        return new AdmissionGate(admission, clock, tickSoon);
    }

    /**
     * Offers new work; {@code then} gets the admission or the refusal, once.
     *
     * <p>It is called at once where that can be decided, else later on {@code thread}.
     */
    void offer(AdmissionRequest work, Executor thread, Consumer<AdmissionDecision> then) {
        // Put first: the control thread may decide before the offer has returned here.
        waiting.put(work.id(), new Waiting(thread, then));
        AdmissionDecision decision = admission.offer(work, clock.nowMs());
        if (decision instanceof AdmissionDecision.Queued) {
            tickSoon.run();
            return;
        }
        waiting.remove(work.id());
        then.accept(decision);
    }

    /** Counts an admitted request as sent; the in-flight counts must hold it already. */
    void sent(RequestId id) {
        admission.recordSend(id);
    }

    /** Takes note that a request has ended, whether it waited or ran; may be called again. */
    void finished(RequestId id) {
        waiting.remove(checkNotNull(id, "id"));
        admission.recordEnd(id, clock.nowMs());
    }

    /** Decides on what waits. */
    void tick() {
        for (AdmissionDecision decision : admission.tick(clock.nowMs())) {
            Waiting decided = waiting.remove(decision.request());
            if (decided != null) {
                decided.thread.execute(() -> decided.then.accept(decision));
            }
        }
    }

    boolean anyWaiting() {
        return admission.status().queued() > 0;
    }

    private record Waiting(Executor thread, Consumer<AdmissionDecision> then) {}
}
