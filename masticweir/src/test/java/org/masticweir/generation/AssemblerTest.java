package org.masticweir.generation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.primitives.ImmutableIntArray;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.AttemptId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;

/** What single frames are worth. */
class AssemblerTest {
    private static final RequestId REQUEST = RequestId.of("r");
    private static final Acceptance IGNORED = new Acceptance.Ignored();
    private static final Acceptance WRONG = new Acceptance.WrongEcho();

    private final Assembler assembler = Assembler.startingAt(attempt(1, 1), 0);

    private static AttemptId attempt(int generation, int number) {
        return AttemptId.of(GenerationId.of(REQUEST, generation), number);
    }

    private static Frame tokens(AttemptId attempt, int index, int... ids) {
        return new Frame.Tokens(attempt, index, ImmutableIntArray.copyOf(ids));
    }

    private static Acceptance accepted(int from, int... ids) {
        return new Acceptance.Accepted(from, ImmutableIntArray.copyOf(ids));
    }

    private Acceptance take(int index, int... ids) {
        return assembler.accept(tokens(assembler.current(), index, ids));
    }

    /** Frames of the attempt that counts. */
    @Nested
    class Current {
        @BeforeEach
        void start() {
            assertEquals(
                    new Acceptance.Started(), assembler.accept(new Frame.Start(attempt(1, 1), 0)));
        }

        @Test
        void nextTokensAreAccepted() {
            assertEquals(accepted(0, 11, 12), take(0, 11, 12));
            assertEquals(accepted(2, 13), take(2, 13));
            assertEquals(3, assembler.next());
        }

        /** A frame comes twice, or overlaps one that came: only what is new counts. */
        @Test
        void repeatsAreDropped() {
            take(0, 11, 12);
            assertEquals(IGNORED, take(0, 11, 12));
            assertEquals(IGNORED, take(1, 12));
            assertEquals(accepted(2, 13), take(1, 12, 13));
        }

        @Test
        void gapNamesTheNextToken() {
            take(0, 11);
            assertEquals(new Acceptance.Gap(1), take(2, 13));
            assertEquals(1, assembler.next());
        }

        @Test
        void endCountsOnlyRightAfterTheLastToken() {
            take(0, 11, 12);
            assertEquals(new Acceptance.Gap(2), assembler.accept(new Frame.End(attempt(1, 1), 3)));
            assertEquals(WRONG, assembler.accept(new Frame.End(attempt(1, 1), 1)));
            assertEquals(
                    new Acceptance.Whole(2), assembler.accept(new Frame.End(attempt(1, 1), 2)));
        }
    }

    /** Engines that resume something else than they were asked to. */
    @Nested
    class Echo {
        @Test
        void tokensBeforeTheEchoAreWrong() {
            assertEquals(WRONG, take(0, 11));
        }

        @Test
        void wrongFirstIndexIsWrong() {
            assertEquals(WRONG, assembler.accept(new Frame.Start(attempt(1, 1), 1)));
        }

        @Test
        void otherGenerationIsWrong() {
            assertEquals(WRONG, assembler.accept(new Frame.Start(attempt(2, 1), 0)));
        }
    }

    /** Attempts after another. */
    @Nested
    class Superseding {
        @BeforeEach
        void acceptTwoTokens() {
            assembler.accept(new Frame.Start(attempt(1, 1), 0));
            take(0, 11, 12);
        }

        /** An engine that was paused wakes after its work was moved and sends what it had. */
        @Test
        void framesOfTheOlderAttemptAreIgnored() {
            assembler.supersedeWith(attempt(1, 2));
            assembler.accept(new Frame.Start(attempt(1, 2), 2));
            assertEquals(IGNORED, assembler.accept(tokens(attempt(1, 1), 2, 93)));
            assertEquals(accepted(2, 13), take(2, 13));
        }

        @Test
        void newGenerationStartsAtItsFirstToken() {
            assembler.supersedeWith(attempt(2, 1));
            assembler.accept(new Frame.Start(attempt(2, 1), 0));
            assertEquals(accepted(0, 21), take(0, 21));
            assertEquals(attempt(2, 1).generation(), assembler.generation());
        }

        @Test
        void olderAttemptOrOtherRequestDoesNotSupersede() {
            AttemptId other = AttemptId.of(GenerationId.of(RequestId.of("q"), 9), 9);
            for (AttemptId id : new AttemptId[] {attempt(1, 1), other}) {
                assertThrows(IllegalArgumentException.class, () -> assembler.supersedeWith(id));
            }
        }
    }
}
