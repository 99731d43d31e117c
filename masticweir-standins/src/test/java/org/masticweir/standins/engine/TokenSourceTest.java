package org.masticweir.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests the token function that answers are checked by. */
class TokenSourceTest {
    @Property(seed = "7")
    void tokensAreNeverNegative(@ForAll long seed, @ForAll @IntRange(max = 1_000_000) int index) {
        assertTrue(TokenSource.token(seed, index) >= 0);
    }

    /** The values come from a separate implementation of the formula. */
    @Example
    void tokensFollowTheWrittenFormula() {
        assertEquals(480_349_049, TokenSource.token(42, 2));
        assertEquals(133_324_344, TokenSource.token(42, 5));
        assertEquals(1_459_951_569, TokenSource.token(-1, 0));
    }

    @Property(seed = "7")
    void neighbouringSeedsTellTheirTokensApart(
            @ForAll @IntRange(max = 100_000) int seed, @ForAll @IntRange(max = 100) int index) {
        assertNotEquals(fourTokens(seed, index), fourTokens(seed + 1L, index));
    }

    private static List<Integer> fourTokens(long seed, int from) {
        return IntStream.range(from, from + 4).mapToObj(i -> TokenSource.token(seed, i)).toList();
    }
}
