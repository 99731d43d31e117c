package org.masticweir.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.primitives.ImmutableIntArray;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.masticweir.claims.ClaimRow;
import org.masticweir.error.Verdict;
import org.masticweir.id.RouterId;

/** Tests answers as claims keep them. */
final class StoredAnswerTest {
    private static Optional<StoredAnswer> kept(String result, ImmutableIntArray tokens) {
        ClaimRow claimed = ClaimRow.claimed("n1", RouterId.of("r1"), 0);
        ClaimRow done = claimed.done(Verdict.COMPLETED, StoredAnswer.encode(result, tokens));
        return StoredAnswer.decode(ClaimRow.decode(done.encode()).result());
    }

    @Test
    void tokensAndTextComeBackAsTheyWere() {
        ImmutableIntArray tokens = ImmutableIntArray.of(7, 0, 2_147_483_647);
        assertEquals(Optional.of(new StoredAnswer("", tokens)), kept("", tokens));
        StoredAnswer text = new StoredAnswer("tokens:1", ImmutableIntArray.of());
        assertEquals(Optional.of(text), kept("tokens:1", ImmutableIntArray.of()));
    }

    /**
     * A caller asked again, at another router, for a letter of 1,800 tokens that had been written,
     * and was told COMPLETED with no token: the row had no room for it and kept an empty text.
     */
    @Test
    void anAnswerTooLongForItsRowIsNotTakenForAnEmptyOne() {
        int[] many = new int[ClaimRow.MAX_RESULT_CHARS];
        assertEquals(Optional.empty(), kept("", ImmutableIntArray.copyOf(many)));
    }
}
