package org.masticweir.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import org.masticweir.engine.LoadReport;

/**
 * A continuous-batching engine with 16 slots and delayed load reports, on a clock that the caller
 * advances.
 */
final class BatchEngine {
    static final int SLOTS = 16;
    static final int STEP_MS = 30;
    static final int PREFILL_TOKENS_PER_MS = 10;
    private static final int CHUNK_TOKENS = 256;
    private static final int REPORT_LAG_MS = 200;

    /** One sequence; the engine starts sequences with a lower {@code priority} first. */
    static final class Sequence {
        final int call;
        private final int priority;
        private int remainingPromptTokens;
        private int remainingTokens;

        Sequence(int call, int priority, int prompt, int tokens) {
            this.call = call;
            this.priority = priority;
            this.remainingPromptTokens = prompt;
            this.remainingTokens = tokens;
        }
    }

    private record Sample(long atMs, int load) {}

    private final PriorityQueue<Sequence> waitingSequences =
            new PriorityQueue<>(
                    Comparator.<Sequence>comparingInt(s -> s.priority)
                            .thenComparingInt(s -> s.call));
    private final List<Sequence> running = new ArrayList<>();
    private final List<Sequence> decoding = new ArrayList<>();
    private final Deque<Sample> samples = new ArrayDeque<>(List.of(new Sample(0, 0)));
    private long stepEndsMs = -1;

    void submit(Sequence s) {
        waitingSequences.add(s);
    }

    /**
     * Runs until {@code now}; {@code token} receives each sequence with a new token and whether
     * this token was the last token of the sequence.
     */
    void runTo(long now, BiConsumer<Sequence, Boolean> token) {
        if (stepEndsMs >= 0 && now >= stepEndsMs) {
            stepEndsMs = -1;
            for (Sequence s : decoding) {
                s.remainingTokens--;
                token.accept(s, s.remainingTokens == 0);
            }
            running.removeIf(s -> s.remainingTokens == 0);
        }
        while (running.size() < SLOTS && !waitingSequences.isEmpty()) {
            running.add(waitingSequences.remove());
        }
        if (stepEndsMs < 0 && !running.isEmpty()) {
            stepEndsMs = now + beginStep();
        }
        int load = running.size() + waitingSequences.size();
        if (samples.getLast().load != load) {
            samples.add(new Sample(now, load));
        }
    }

    private long beginStep() {
        decoding.clear();
        int budget = CHUNK_TOKENS;
        for (Sequence s : running) {
            if (s.remainingPromptTokens == 0) {
                decoding.add(s);
            }
            int tokens = Math.min(budget, s.remainingPromptTokens);
            s.remainingPromptTokens -= tokens;
            budget -= tokens;
        }
        int prefillMs = (CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_MS;
        return Math.max(1, prefillMs + (decoding.isEmpty() ? 0 : STEP_MS));
    }

    LoadReport report(long now) {
        int load = 0;
        while (samples.size() > 1 && second().atMs <= now - REPORT_LAG_MS) {
            samples.removeFirst();
        }
        if (samples.getFirst().atMs <= now - REPORT_LAG_MS) {
            load = samples.getFirst().load;
        }
        return LoadReport.of(Math.min(load, SLOTS), Math.max(0, load - SLOTS), SLOTS);
    }

    private Sample second() {
        return samples.stream().skip(1).findFirst().orElseThrow();
    }
}
