package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.store.RowKey;

/**
 * One compare-and-set of a claim's row; immutable.
 *
 * @param ticket number of the write within its claim; an outcome with an older ticket is stale
 * @param expectedRevision revision that the row must have
 * @param notBeforeMs earliest start time of the write
 * @param isUrgent whether a caller waits for the write
 */
public record ClaimWrite(
        RowKey key,
        int ticket,
        long expectedRevision,
        ClaimRow row,
        long notBeforeMs,
        boolean isUrgent) {
    public ClaimWrite {
        checkNotNull(key, "key");
        checkArgument(expectedRevision >= 0, "expected revision %s", expectedRevision);
        checkNotNull(row, "row");
    }
}
