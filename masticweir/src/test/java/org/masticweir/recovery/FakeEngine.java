package org.masticweir.recovery;

import com.google.common.primitives.ImmutableIntArray;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;

/** An engine that computes tokens no other computation gives, and obeys attempt numbers. */
final class FakeEngine {
    private static final long RETRY_MS = 50;

    private final EngineId id;
    private final TokenOrigins origins;
    private final Consumer<RecoveryEvent> events;
    private final Map<GenerationId, Run> runs = new HashMap<>();
    private boolean alive = true;
    private boolean paused;
    private boolean refusing;
    private boolean echoesWrong;
    private int admissions;

    FakeEngine(EngineId id, TokenOrigins origins, Consumer<RecoveryEvent> events) {
        this.id = id;
        this.origins = origins;
        this.events = events;
    }

    /** One generation in this engine's memory. */
    private static final class Run {
        private final List<Integer> tokens;
        private AttemptId attempt;
        private int streamed;
        private int shift;
        private boolean endSent;
        private boolean read = true;

        Run(AttemptId attempt, List<Integer> prefix) {
            this.attempt = attempt;
            tokens = new ArrayList<>(prefix);
            streamed = prefix.size();
        }

        void readFrom(AttemptId by, int from) {
            attempt = by;
            streamed = from;
            shift = 0;
            endSent = false;
            read = true;
        }
    }

    EngineId id() {
        return id;
    }

    boolean paused() {
        return paused;
    }

    int admissions() {
        return admissions;
    }

    /** Puts one fault on this engine, or takes it off. */
    void fault(int kind) {
        switch (kind) {
            case 0 -> die();
            case 1 -> paused = !paused;
            case 2 -> refusing = !refusing;
            case 3 -> echoesWrong = true;
            default -> alive = true;
        }
    }

    private void die() {
        for (Run run : runs.values()) {
            events.accept(new RecoveryEvent.LinkLost(run.attempt, true));
        }
        runs.clear();
        alive = false;
        paused = false;
    }

    /** Takes a generation with the prefix as it is at the caller's router. */
    void send(AttemptId attempt, List<Integer> prefix) {
        if (!alive) {
            events.accept(new RecoveryEvent.LinkLost(attempt, true));
        } else if (refusing) {
            events.accept(new RecoveryEvent.Refused(attempt, RETRY_MS));
        } else if (isOld(attempt)) {
            events.accept(new RecoveryEvent.LinkLost(attempt, true));
        } else {
            admissions++;
            runs.put(attempt.generation(), new Run(attempt, prefix));
            start(attempt, prefix.size());
        }
    }

    void reread(AttemptId attempt, int from) {
        if (!alive || isOld(attempt)) {
            events.accept(new RecoveryEvent.LinkLost(attempt, true));
        } else if (refusing) {
            events.accept(new RecoveryEvent.Refused(attempt, RETRY_MS));
        } else if (!runs.containsKey(attempt.generation())) {
            events.accept(new RecoveryEvent.Unknown(attempt));
        } else {
            runs.get(attempt.generation()).readFrom(attempt, from);
            start(attempt, from);
        }
    }

    void probe(AttemptId attempt) {
        Run run = runs.get(attempt.generation());
        if (!alive) {
            events.accept(new RecoveryEvent.ProbeFailed(attempt));
        } else if (run == null) {
            events.accept(new RecoveryEvent.Unknown(attempt));
        } else {
            events.accept(new RecoveryEvent.ProbeAnswered(attempt, run.tokens.size()));
        }
    }

    void cancel(AttemptId attempt) {
        Run run = runs.get(attempt.generation());
        if (run != null && attempt.number() >= run.attempt.number()) {
            runs.remove(attempt.generation());
        }
    }

    /** Loses the reader of {@code attempt}; the generation goes on. */
    void closeStream(AttemptId attempt) {
        Run run = runs.get(attempt.generation());
        if (run != null && run.attempt.equals(attempt)) {
            run.read = false;
        }
    }

    /** Computes up to {@code count} tokens of each generation. */
    void compute(int count) {
        if (paused) {
            return;
        }
        runs.forEach((generation, run) -> compute(generation, run, count));
    }

    private void compute(GenerationId generation, Run run, int count) {
        for (int i = 0; i < count && run.tokens.size() < TokenOrigins.ANSWER_TOKENS; i++) {
            run.tokens.add(origins.compute(generation, run.tokens));
        }
    }

    /** Streams what was computed since the last time. */
    void flush() {
        if (!paused) {
            runs.values().stream().filter(r -> r.read).forEach(this::flush);
        }
    }

    private void flush(Run run) {
        int size = run.tokens.size();
        if (run.streamed < size) {
            List<Integer> part = run.tokens.subList(run.streamed, size);
            ImmutableIntArray tokens = ImmutableIntArray.copyOf(part);
            received(run.attempt, new Frame.Tokens(run.attempt, run.streamed + run.shift, tokens));
            run.streamed = size;
        }
        if (size == TokenOrigins.ANSWER_TOKENS && !run.endSent) {
            run.endSent = true;
            received(run.attempt, new Frame.End(run.attempt, size + run.shift));
        }
    }

    /** Echoes the attempt; a wrong echo numbers all of its tokens from another index. */
    private void start(AttemptId attempt, int from) {
        if (echoesWrong) {
            echoesWrong = false;
            runs.get(attempt.generation()).shift = from > 0 ? -1 : 1;
        }
        int first = from + runs.get(attempt.generation()).shift;
        received(attempt, new Frame.Start(attempt, first));
    }

    private void received(AttemptId attempt, Frame frame) {
        events.accept(new RecoveryEvent.Received(attempt, frame));
    }

    private boolean isOld(AttemptId attempt) {
        Run run = runs.get(attempt.generation());
        return run != null && attempt.number() <= run.attempt.number();
    }
}
