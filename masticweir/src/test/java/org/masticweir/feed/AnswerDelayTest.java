package org.masticweir.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How long an answer is awaited, by how late answers have come. */
class AnswerDelayTest {
    private static final long LEAST_MS = 700;

    private final AnswerDelay delay = new AnswerDelay(LEAST_MS);

    @Test
    void isTheLeastAtFirstAndWhileAnswersArePrompt() {
        assertEquals(LEAST_MS, delay.graceMs());
        for (int i = 0; i < 100; i++) {
            delay.answered(4);
        }
        assertEquals(LEAST_MS, delay.graceMs());
    }

    @Test
    void doublesWithEachCallWithoutAnAnswerUpToABound() {
        delay.unanswered();
        assertEquals(2 * LEAST_MS, delay.graceMs());
        for (int i = 0; i < 10; i++) {
            delay.unanswered();
        }
        assertEquals(AnswerDelay.MAX_GRACE_MS, delay.graceMs());
    }

    /** Answers late by a spread: hardly one of them may be given up. */
    @Test
    void awaitsNearlyAllAnswersOfASpread() {
        SplittableRandom random = new SplittableRandom(39);
        int late = 0;
        for (int i = 0; i < 1_000; i++) {
            long ms = 500 + random.nextLong(1_500);
            late += ms > delay.graceMs() ? 1 : 0;
            delay.answered(ms);
        }
        assertTrue(late <= 5, late + " of 1,000 answers not awaited");
    }
}
