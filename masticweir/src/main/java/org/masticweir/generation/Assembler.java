package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.AttemptId;
import org.masticweir.id.GenerationId;

/**
 * Turns the frames of a generation's attempts into one sequence without gap or repeat.
 *
 * <p>Only the current attempt of the current generation can add a token, and only the next one, so
 * an engine that wakes after its work was moved cannot reach the caller. Not thread-safe: owned by
 * the thread of its request.
 */
public final class Assembler {
    private AttemptId current;
    private int next;
    private boolean started;

    private Assembler(AttemptId current, int next) {
        this.current = checkNotNull(current, "current");
        checkArgument(next >= 0, "next index %s", next);
        this.next = next;
    }

    /** Returns an assembler that waits for token {@code next} of {@code attempt}. */
    public static Assembler startingAt(AttemptId attempt, int next) {
        return new Assembler(attempt, next);
    }

    /** Makes {@code attempt} the only one whose frames count. */
    public void supersedeWith(AttemptId attempt) {
        checkNotNull(attempt, "attempt");
        checkArgument(isLater(attempt), "%s does not supersede %s", attempt, current);
        if (!attempt.generation().equals(current.generation())) {
            next = 0;
        }
        current = attempt;
        started = false;
    }

    /** Takes one frame and tells what it is worth. */
    public Acceptance accept(Frame frame) {
        checkNotNull(frame, "frame");
        if (frame instanceof Frame.Start start) {
            return acceptStart(start);
        }
        if (!frame.attempt().equals(current)) {
            return started ? new Acceptance.Ignored() : new Acceptance.WrongEcho();
        }
        if (!started) {
            return new Acceptance.WrongEcho();
        }
        if (frame instanceof Frame.Tokens tokens) {
            return acceptTokens(tokens);
        }
        return acceptEnd((Frame.End) frame);
    }

    /** Returns the index of the next token wanted, which is the count of tokens accepted. */
    public int next() {
        return next;
    }

    /** Returns the attempt whose frames count. */
    public AttemptId current() {
        return current;
    }

    /** Returns the generation that every accepted token belongs to. */
    public GenerationId generation() {
        return current.generation();
    }

    private boolean isLater(AttemptId attempt) {
        GenerationId mine = current.generation();
        GenerationId other = attempt.generation();
        if (!mine.request().equals(other.request())) {
            return false;
        }
        if (mine.number() != other.number()) {
            return other.number() > mine.number();
        }
        return attempt.number() > current.number();
    }

    private Acceptance acceptStart(Frame.Start start) {
        if (!start.attempt().equals(current) || start.first() != next) {
            return new Acceptance.WrongEcho();
        }
        started = true;
        return new Acceptance.Started();
    }

    private Acceptance acceptTokens(Frame.Tokens frame) {
        if (frame.index() > next) {
            return new Acceptance.Gap(next);
        }
        int repeated = next - frame.index();
        if (repeated >= frame.tokens().length()) {
            return new Acceptance.Ignored();
        }
        int from = next;
        next = frame.index() + frame.tokens().length();
        return new Acceptance.Accepted(
                from, frame.tokens().subArray(repeated, frame.tokens().length()));
    }

    private Acceptance acceptEnd(Frame.End end) {
        if (end.index() > next) {
            return new Acceptance.Gap(next);
        }
        if (end.index() < next) {
            return new Acceptance.WrongEcho();
        }
        return new Acceptance.Whole(next);
    }
}
