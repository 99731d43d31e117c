package org.masticweir.standins.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Continuous batching: each step decodes one token of every running sequence.
 *
 * <p>Prefill is cut into chunks that share the steps, so a long prompt slows the others only a
 * little. Not thread-safe: the engine's lock guards it.
 */
final class Batch {
    /** Most tokens prefilled in one step, over all sequences. */
    private static final int PREFILL_CHUNK_TOKENS = 256;

    private static final long US_PER_MS = 1000;

    /** What one step computes, and how long that takes on an engine at full speed. */
    record Step(long durationUs, ImmutableList<Prefill> prefills, ImmutableList<Sequence> decodes) {
        /** A chunk of one sequence's prefill. */
        record Prefill(Sequence sequence, int tokens) {}
    }

    private final EngineSettings settings;
    private final PrefixCache cache;
    private final EngineRecords records;
    private final List<Sequence> running = new ArrayList<>();
    private final PriorityQueue<Sequence> waiting =
            new PriorityQueue<>(Sequence.BY_PRIORITY_THEN_ARRIVAL);

    private Batch(EngineSettings settings, PrefixCache cache, EngineRecords records) {
        this.settings = settings;
        this.cache = cache;
        this.records = records;
    }

    static Batch of(EngineSettings settings, PrefixCache cache, EngineRecords records) {
        return new Batch(settings, cache, records);
    }

    boolean hasRoom() {
        int room = settings.maxBatch() + settings.maxWaiting();
        return running.size() + waiting.size() < room;
    }

    void add(Sequence sequence) {
        waiting.add(sequence);
    }

    void remove(Sequence sequence) {
        running.remove(sequence);
        waiting.remove(sequence);
    }

    Load load() {
        return new Load(running.size(), waiting.size());
    }

    /** Lets waiting sequences in and returns the next step, or nothing when there is no work. */
    Optional<Step> begin() {
        while (running.size() < settings.maxBatch() && !waiting.isEmpty()) {
            enter(waiting.remove());
        }
        return running.isEmpty() ? Optional.empty() : Optional.of(plan());
    }

    private void enter(Sequence sequence) {
        sequence.prefill(cache.cachedTokens(sequence.promptBlocks()));
        running.add(sequence);
    }

    private Step plan() {
        ImmutableList.Builder<Step.Prefill> prefills = ImmutableList.builder();
        ImmutableList.Builder<Sequence> decodes = ImmutableList.builder();
        int budget = PREFILL_CHUNK_TOKENS;
        for (Sequence sequence : running) {
            int tokens = Math.min(budget, sequence.prefillLeft());
            if (sequence.prefillLeft() == 0) {
                decodes.add(sequence);
            } else if (tokens > 0) {
                prefills.add(new Step.Prefill(sequence, tokens));
                budget -= tokens;
            }
        }
        ImmutableList<Sequence> decoding = decodes.build();
        long us = (PREFILL_CHUNK_TOKENS - budget) * settings.prefillUsPerToken();
        return new Step(us + decodeUs(decoding.size()), prefills.build(), decoding);
    }

    private long decodeUs(int sequences) {
        long each = settings.stepPerSequenceUs();
        return sequences == 0 ? 0 : settings.stepMs() * US_PER_MS + each * sequences;
    }

    /** Applies a step whose time has passed to the sequences that were not stopped meanwhile. */
    void finish(Step step, long nowMs) {
        step.prefills().stream()
                .filter(prefill -> !prefill.sequence().stopped())
                .forEach(prefill -> prefill(prefill, nowMs));
        step.decodes().stream()
                .filter(sequence -> !sequence.stopped())
                .forEach(sequence -> decode(sequence, nowMs));
    }

    private void prefill(Step.Prefill prefill, long nowMs) {
        Sequence sequence = prefill.sequence();
        records.prefilled(prefill.tokens());
        if (sequence.prefill(prefill.tokens())) {
            cache.storeAll(sequence.promptBlocks(), nowMs);
        }
    }

    private void decode(Sequence sequence, long nowMs) {
        sequence.decode().ifPresent(block -> cache.store(block, nowMs));
        records.decoded(sequence.run());
        if (sequence.done()) {
            running.remove(sequence);
        }
    }
}
