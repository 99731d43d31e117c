package org.masticweir.standins.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/**
 * What an engine really ran, for checkers; kept for the life of the process.
 *
 * <p>Not thread-safe: the engine's lock guards it.
 */
final class EngineRecords {
    /**
     * One run: its first index, and how many tokens it computed after that.
     *
     * @param atMs when it was admitted, on the machine's monotonic clock
     */
    record Generation(
            String request,
            int generation,
            int attempt,
            long seed,
            int first,
            int produced,
            boolean cancelled,
            long atMs) {}

    /** All of it, as the control interface shows it. */
    record Snapshot(
            ImmutableList<Generation> generations,
            long prefillTokens,
            long decodeTokens,
            ImmutableList<String> refusals,
            long stateReads,
            ImmutableList<Orders.Recorded> orders) {}

    /** One run while it goes on. */
    static final class Run {
        private final String request;
        private final int generation;
        private final int attempt;
        private final long seed;
        private final int first;
        private final long atMs;
        private int produced;
        private boolean cancelled;

        private Run(GenerationRequest spec, long atMs) {
            this.atMs = atMs;
            request = spec.request();
            generation = spec.generation();
            attempt = spec.attempt();
            seed = spec.seed();
            first = spec.prefix().size();
        }

        void cancelled() {
            cancelled = true;
        }

        private Generation view() {
            return new Generation(
                    request, generation, attempt, seed, first, produced, cancelled, atMs);
        }
    }

    private final List<Run> runs = new ArrayList<>();
    private final List<String> refusals = new ArrayList<>();
    private long prefillTokens;
    private long decodeTokens;
    private long stateReads;

    /** Takes note of a run that was asked for and not admitted. */
    void refused(GenerationRequest spec) {
        refusals.add(spec.request());
    }

    /** Returns the record of a run that has been admitted just now. */
    Run open(GenerationRequest spec, long nowMs) {
        Run run = new Run(spec, nowMs);
        runs.add(run);
        return run;
    }

    void prefilled(int tokens) {
        prefillTokens += tokens;
    }

    void decoded(Run run) {
        run.produced++;
        decodeTokens++;
    }

    void stateRead() {
        stateReads++;
    }

    Snapshot snapshot(ImmutableList<Orders.Recorded> orders) {
        ImmutableList<Generation> generations =
                runs.stream().map(Run::view).collect(ImmutableList.toImmutableList());
        return new Snapshot(
                generations,
                prefillTokens,
                decodeTokens,
                ImmutableList.copyOf(refusals),
                stateReads,
                orders);
    }
}
