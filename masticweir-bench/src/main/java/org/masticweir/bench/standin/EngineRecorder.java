package org.masticweir.bench.standin;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the engines' records of one load, over the death of engines.
 *
 * <p>An engine's records die with it, so that {@link #beforeKill} must read them first; a token
 * computed between that and the kill is not counted. Thread-safe, blocks.
 */
public final class EngineRecorder {
    private final StandInControl control;
    private final ImmutableList<EngineProcess> engines;
    private final Map<String, Long> prefillBefore = new HashMap<>();
    private final List<EngineRun> runs = new ArrayList<>();
    private final List<String> refusals = new ArrayList<>();
    private long prefillTokens;

    private EngineRecorder(StandInControl control, List<EngineProcess> engines) {
        this.control = checkNotNull(control, "control");
        this.engines = ImmutableList.copyOf(engines);
    }

    /** Returns a recorder that counts what {@code engines} compute from now on. */
    public static EngineRecorder start(StandInControl control, List<EngineProcess> engines) {
        EngineRecorder recorder = new EngineRecorder(control, engines);
        recorder.begin();
        return recorder;
    }

    private synchronized void begin() {
        for (EngineProcess engine : engines) {
            control.reading(engine.address())
                    .ifPresent(r -> prefillBefore.put(engine.id(), r.prefillTokens()));
        }
    }

    /** Takes the records of an engine that is to be killed right after. */
    public synchronized void beforeKill(EngineProcess engine) {
        take(engine);
        prefillBefore.put(engine.id(), 0L);
    }

    /** Reads all engines that answer and returns what was computed. */
    public synchronized EngineLedger finish() {
        engines.forEach(this::take);
        return EngineLedger.of(runs, refusals, prefillTokens);
    }

    private void take(EngineProcess engine) {
        control.reading(engine.address())
                .ifPresentOrElse(
                        r -> add(engine.id(), r),
                        () -> System.err.println("no records of engine " + engine.id()));
    }

    private void add(String engine, EngineReading reading) {
        prefillTokens += reading.prefillTokens() - prefillBefore.getOrDefault(engine, 0L);
        refusals.addAll(reading.refusals());
        for (EngineReading.Run r : reading.generations()) {
            runs.add(
                    new EngineRun(
                            engine,
                            r.request(),
                            r.generation(),
                            r.attempt(),
                            r.seed(),
                            r.first(),
                            r.produced()));
        }
    }
}
