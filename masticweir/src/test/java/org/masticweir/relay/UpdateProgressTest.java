package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.masticweir.store.Revision;

/** Detection of missing updates when messages between routers are lost, duplicated or reordered. */
class UpdateProgressTest {
    private final UpdateProgress progress = new UpdateProgress();

    @Test
    void updatesAreIncompleteBeforeTheFirstFullList() {
        assertFalse(progress.recordUpdates(Revision.of(5), Revision.of(9), Revision.of(8)));
        assertEquals(UpdateProgress.BEFORE_FIRST_UPDATE, progress.completeTo());
        assertTrue(
                progress.recordUpdates(
                        UpdateProgress.BEFORE_FIRST_UPDATE, Revision.of(9), Revision.of(8)));
        assertEquals(Revision.of(9), progress.completeTo());
    }

    @Test
    void consecutiveUpdatesAreComplete() {
        progress.recordReading(Revision.of(10), Revision.of(8));
        assertTrue(progress.recordUpdates(Revision.of(8), Revision.of(12), Revision.of(12)));
        assertTrue(progress.recordUpdates(Revision.of(12), Revision.of(20), Revision.of(12)));
        assertEquals(Revision.of(20), progress.completeTo());
        assertEquals(Revision.of(12), progress.newestUpdate());
    }

    @Test
    void nextMessageRevealsALostOne() {
        progress.recordReading(Revision.of(10), Revision.of(8));
        assertFalse(progress.recordUpdates(Revision.of(12), Revision.of(14), Revision.of(14)));
        assertEquals(Revision.of(10), progress.completeTo());
        assertTrue(progress.recordUpdates(Revision.of(10), Revision.of(14), Revision.of(14)));
        assertEquals(Revision.of(14), progress.newestUpdate());
    }

    @Test
    void duplicateAndOlderMessagesChangeNothing() {
        progress.recordReading(Revision.of(10), Revision.of(8));
        progress.recordUpdates(Revision.of(8), Revision.of(12), Revision.of(12));
        assertTrue(progress.recordUpdates(Revision.of(8), Revision.of(12), Revision.of(12)));
        assertTrue(progress.recordUpdates(Revision.of(3), Revision.of(5), Revision.of(5)));
        assertEquals(Revision.of(12), progress.completeTo());
        assertEquals(Revision.of(12), progress.newestUpdate());
    }

    @Test
    void newestUpdateIsNotBeyondAGap() {
        progress.recordReading(Revision.of(10), Revision.of(8));
        progress.recordUpdates(Revision.of(12), Revision.of(14), Revision.of(14));
        assertEquals(Revision.of(10), progress.newestUpdate());
    }
}
