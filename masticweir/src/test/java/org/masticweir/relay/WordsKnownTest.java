package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Whether words between routers are missing, when they are lost, doubled or reordered. */
class WordsKnownTest {
    private final WordsKnown known = new WordsKnown();

    @Test
    void nothingFollowsBeforeTheFirstReading() {
        assertFalse(known.told(5, 9, 8));
        assertEquals(WordsKnown.START, known.completeTo());
        assertTrue(known.told(WordsKnown.START, 9, 8));
        assertEquals(9, known.completeTo());
    }

    @Test
    void wordsThatFollowAreComplete() {
        known.read(10, 8);
        assertTrue(known.told(8, 12, 12));
        assertTrue(known.told(12, 20, 12));
        assertEquals(20, known.completeTo());
        assertEquals(12, known.newest());
    }

    @Test
    void aLostMessageShowsInTheNextOne() {
        known.read(10, 8);
        assertFalse(known.told(12, 14, 14));
        assertEquals(10, known.completeTo());
        assertTrue(known.told(10, 14, 14));
        assertEquals(14, known.newest());
    }

    @Test
    void doubledAndOlderMessagesChangeNothing() {
        known.read(10, 8);
        known.told(8, 12, 12);
        assertTrue(known.told(8, 12, 12));
        assertTrue(known.told(3, 5, 5));
        assertEquals(12, known.completeTo());
        assertEquals(12, known.newest());
    }

    @Test
    void whatIsToldOnFollowsWhatIsKnownWithoutAGap() {
        known.read(10, 8);
        known.told(12, 14, 14);
        assertEquals(10, known.newest());
    }
}
