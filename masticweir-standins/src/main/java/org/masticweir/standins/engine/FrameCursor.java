package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Turns one sequence into frames from a given index on, wrongly when a fault asks for it.
 *
 * <p>Not thread-safe: the I/O thread of its stream uses it.
 */
final class FrameCursor {
    private final Engine engine;
    private final Sequence sequence;
    private final int attempt;
    private final boolean wrongGeneration;
    private int index;
    private boolean started;
    private boolean ended;

    private FrameCursor(
            Engine engine, Sequence sequence, int from, int attempt, WrongResume wrong) {
        this.engine = checkNotNull(engine, "engine");
        this.sequence = checkNotNull(sequence, "sequence");
        this.attempt = attempt;
        this.wrongGeneration = wrong == WrongResume.GENERATION;
        this.index = wrong == WrongResume.INDEX ? from + 1 : from;
    }

    static FrameCursor of(
            Engine engine, Sequence sequence, int from, int attempt, WrongResume wrong) {
        return new FrameCursor(engine, sequence, from, attempt, wrong);
    }

    Sequence sequence() {
        return sequence;
    }

    int attempt() {
        return attempt;
    }

    boolean ended() {
        return ended;
    }

    /** Returns the next frame, or nothing when the engine has not computed it yet. */
    Optional<Frame> next() {
        if (!started) {
            started = true;
            return Optional.of(new Frame.Start(request(), generation(), attempt, index));
        }
        Engine.Slice slice = engine.read(sequence, index);
        if (!slice.tokens().isEmpty()) {
            return Optional.of(tokens(slice.tokens()));
        }
        if (slice.last() && !ended) {
            ended = true;
            return Optional.of(new Frame.End(request(), generation(), attempt, index));
        }
        return Optional.empty();
    }

    private Frame tokens(ImmutableList<Integer> computed) {
        int first = index;
        index += computed.size();
        ImmutableList<Integer> shown = wrongGeneration ? foreign(first, index) : computed;
        return new Frame.Tokens(request(), generation(), attempt, first, shown);
    }

    /** Returns the tokens of another seed, as an engine that mixed up generations sends them. */
    private ImmutableList<Integer> foreign(int from, int to) {
        long seed = sequence.request().seed() + 1;
        return IntStream.range(from, to)
                .mapToObj(i -> TokenSource.token(seed, i))
                .collect(ImmutableList.toImmutableList());
    }

    private String request() {
        return sequence.request().request();
    }

    private int generation() {
        int real = sequence.request().generation();
        return wrongGeneration ? real + 1 : real;
    }
}
