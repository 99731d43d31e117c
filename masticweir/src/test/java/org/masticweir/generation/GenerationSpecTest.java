package org.masticweir.generation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.masticweir.id.RequestId;

/** Numbers of generations. */
class GenerationSpecTest {
    private static final PinnedVersion MODEL = PinnedVersion.of("1", "");
    private static final RequestId LETTER = RequestId.of("letter");
    private static final long RETENTION_MS = 15 * 60_000;
    private static final long YEAR_MS = 365L * 24 * 3_600_000;

    private static int claimedAt(long wallMs) {
        return GenerationSpec.claimed(LETTER, MODEL, wallMs).id().number();
    }

    /**
     * A caller has half a letter, loses its connection, and comes back through a router that knows
     * only the claim's row with the whole letter.
     *
     * <p>Its tokens were called void, as that router had drawn a number of its own. Both routers
     * now name the generation alike.
     */
    @Test
    void aClaimedRequestHasOneNumberAtEveryRouter() {
        assertEquals(
                GenerationSpec.claimed(LETTER, MODEL, 10 * RETENTION_MS),
                GenerationSpec.claimed(LETTER, MODEL, 10 * RETENTION_MS + 60_000));
    }

    @Property(tries = 1_000, seed = "7")
    void runsThatNoRowKeepsApartDiffer(@ForAll @LongRange(min = 0, max = YEAR_MS) long wallMs) {
        assertNotEquals(claimedAt(wallMs), claimedAt(wallMs + RETENTION_MS));
        assertTrue(claimedAt(wallMs) >= 1);
    }

    @Test
    void eachRunOfAnIdempotentRequestHasANumberOfItsOwn() {
        GenerationSpec one = GenerationSpec.firstOf(LETTER, MODEL);
        assertNotEquals(one.id(), GenerationSpec.firstOf(LETTER, MODEL).id());
    }
}
