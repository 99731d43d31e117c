package org.masticweir.serving;

import com.google.common.collect.ImmutableMultiset;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.masticweir.id.EngineId;
import org.masticweir.routing.EngineFailure;

/** Counts one engine's failures and probes between two looks at them; thread-safe. */
final class EventCounts {
    private static final EngineFailure[] FAILURES = EngineFailure.values();

    private final AtomicIntegerArray failures = new AtomicIntegerArray(FAILURES.length);
    private final AtomicInteger goodProbes = new AtomicInteger();
    private final AtomicInteger failedProbes = new AtomicInteger();

    void failed(EngineFailure failure) {
        failures.incrementAndGet(failure.ordinal());
    }

    void probed(boolean alive) {
        (alive ? goodProbes : failedProbes).incrementAndGet();
    }

    /** Returns what was counted since the last call, if anything was. */
    Optional<EngineEvents> drain(EngineId engine) {
        ImmutableMultiset.Builder<EngineFailure> seen = ImmutableMultiset.builder();
        for (EngineFailure failure : FAILURES) {
            seen.addCopies(failure, failures.getAndSet(failure.ordinal(), 0));
        }
        EngineEvents drained =
                new EngineEvents(
                        engine, seen.build(), goodProbes.getAndSet(0), failedProbes.getAndSet(0));
        return drained.isEmpty() ? Optional.empty() : Optional.of(drained);
    }
}
