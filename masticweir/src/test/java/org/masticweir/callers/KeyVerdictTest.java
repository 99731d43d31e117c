package org.masticweir.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Submission;
import org.masticweir.error.Verdict;

/**
 * Tests what is told of a key.
 *
 * <p>The story: a letter runs at one router, its caller is cut off and submits the key at another
 * one, which has sent nothing and says NOT_RUN; the caller writes the letter by hand.
 */
class KeyVerdictTest {
    private static final MasticweirException REFUSED =
            MasticweirException.notRun(ErrorCode.OVERLOADED, "not admitted").retryAfterMs(1_200);

    private static MasticweirException told(boolean sole, MasticweirException error) {
        return KeyVerdict.soleIf(() -> sole).told(error);
    }

    @Test
    void theOnlySubmissionHearsThatItsRequestWasNotRun() {
        assertSame(REFUSED, told(true, REFUSED));
        assertEquals(Verdict.NOT_RUN, REFUSED.verdict());
        assertEquals(Submission.NOT_SENT, REFUSED.submission());
    }

    @Test
    void anyOtherHearsOnlyThatItWasNotSentItself() {
        MasticweirException told = told(false, REFUSED);
        assertEquals(Verdict.MAY_HAVE_RUN, told.verdict());
        assertEquals(Submission.NOT_SENT, told.submission());
        assertEquals(ErrorCode.OVERLOADED, told.code());
        assertEquals(OptionalLong.of(1_200), told.retryAfterMs());
    }

    @Test
    void whatSaysNoMoreThanThatStays() {
        for (Verdict verdict : new Verdict[] {Verdict.MAY_HAVE_RUN, Verdict.COMPLETED}) {
            MasticweirException error =
                    MasticweirException.of(ErrorCode.DUPLICATE, verdict, "claimed");
            assertSame(error, told(false, error));
            assertEquals(Submission.MAY_HAVE_BEEN_SENT, error.submission());
        }
    }
}
