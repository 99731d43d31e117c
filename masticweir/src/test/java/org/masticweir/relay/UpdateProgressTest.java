package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Detection of missing updates when messages between routers are lost, duplicated or reordered. */
class UpdateProgressTest {
    private final UpdateProgress progress = new UpdateProgress();

    @Test
    void updatesAreIncompleteBeforeTheFirstFullList() {
        assertFalse(progress.recordUpdates(5, 9, 8));
        assertEquals(UpdateProgress.BEFORE_FIRST_UPDATE, progress.completeTo());
        assertTrue(progress.recordUpdates(UpdateProgress.BEFORE_FIRST_UPDATE, 9, 8));
        assertEquals(9, progress.completeTo());
    }

    @Test
    void consecutiveUpdatesAreComplete() {
        progress.recordReading(10, 8);
        assertTrue(progress.recordUpdates(8, 12, 12));
        assertTrue(progress.recordUpdates(12, 20, 12));
        assertEquals(20, progress.completeTo());
        assertEquals(12, progress.newestUpdate());
    }

    @Test
    void nextMessageRevealsALostOne() {
        progress.recordReading(10, 8);
        assertFalse(progress.recordUpdates(12, 14, 14));
        assertEquals(10, progress.completeTo());
        assertTrue(progress.recordUpdates(10, 14, 14));
        assertEquals(14, progress.newestUpdate());
    }

    @Test
    void duplicateAndOlderMessagesChangeNothing() {
        progress.recordReading(10, 8);
        progress.recordUpdates(8, 12, 12);
        assertTrue(progress.recordUpdates(8, 12, 12));
        assertTrue(progress.recordUpdates(3, 5, 5));
        assertEquals(12, progress.completeTo());
        assertEquals(12, progress.newestUpdate());
    }

    @Test
    void newestUpdateIsNotBeyondAGap() {
        progress.recordReading(10, 8);
        progress.recordUpdates(12, 14, 14);
        assertEquals(10, progress.newestUpdate());
    }
}
