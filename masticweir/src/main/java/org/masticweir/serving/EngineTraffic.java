package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineFailure;

/**
 * Hands what traffic threads see of engines to the control thread.
 *
 * <p>Nothing is queued: each engine has counters and histograms of fixed size, so a burst of events
 * costs no memory. Traffic threads take no lock and allocate nothing per token. Thread-safe; {@link
 * #drainEvents}, {@link #drainPaces} and {@link #retain} are for the control thread only.
 */
public final class EngineTraffic {
    private final ConcurrentMap<EngineId, EventCounts> events = new ConcurrentHashMap<>();
    private final ConcurrentMap<Key, PaceRecorder> paces = new ConcurrentHashMap<>();
    private final AtomicBoolean told = new AtomicBoolean();
    private final List<Consumer<Set<EngineId>>> retainers = new CopyOnWriteArrayList<>();
    private volatile Runnable wakeUp = () -> {};

    private EngineTraffic() {}

    public static EngineTraffic create() {
        return new EngineTraffic();
    }

    /** Runs {@code wakeUp} on the first failure after each {@link #drainEvents}. */
    public void wakeWith(Runnable wakeUp) {
        this.wakeUp = checkNotNull(wakeUp, "wakeUp");
    }

    /** Lets {@code retainer} too forget engines whenever {@link #retain} does. */
    public void alsoRetain(Consumer<Set<EngineId>> retainer) {
        retainers.add(checkNotNull(retainer, "retainer"));
    }

    /** Returns the recorder of one attempt's tokens; ask once for each attempt and keep it. */
    PaceRecorder pace(EngineId engine, ModelId model) {
        return paces.computeIfAbsent(new Key(engine, model), k -> new PaceRecorder());
    }

    /** Counts a failure, and wakes the control thread unless it has been woken already. */
    void failed(EngineId engine, EngineFailure failure) {
        counts(engine).failed(checkNotNull(failure, "failure"));
        if (told.compareAndSet(false, true)) {
            wakeUp.run();
        }
    }

    /** Counts the outcome of a probe. */
    void probed(EngineId engine, boolean alive) {
        counts(engine).probed(alive);
    }

    /** Returns the failures and probes counted since the last call. */
    public ImmutableList<EngineEvents> drainEvents() {
        // Cleared first: what is counted from here on wakes the control thread again.
        told.set(false);
        ImmutableList.Builder<EngineEvents> drained = ImmutableList.builder();
        events.forEach((engine, counts) -> counts.drain(engine).ifPresent(drained::add));
        return drained.build();
    }

    /** Returns the token times recorded since the last call. */
    public ImmutableList<PaceInterval> drainPaces() {
        ImmutableList.Builder<PaceInterval> drained = ImmutableList.builder();
        paces.forEach((k, pace) -> pace.drain(k.engine, k.model).ifPresent(drained::add));
        return drained.build();
    }

    /** Forgets all engines outside {@code known}. */
    public void retain(Set<EngineId> known) {
        checkNotNull(known, "known");
        events.keySet().retainAll(known);
        paces.keySet().removeIf(k -> !known.contains(k.engine));
        retainers.forEach(r -> r.accept(known));
    }

    private EventCounts counts(EngineId engine) {
        return events.computeIfAbsent(checkNotNull(engine, "engine"), id -> new EventCounts());
    }

    private record Key(EngineId engine, ModelId model) {
        Key {
            checkNotNull(engine, "engine");
            checkNotNull(model, "model");
        }
    }
}
