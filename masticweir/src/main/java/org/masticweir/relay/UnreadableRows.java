package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.google.common.base.Ascii;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.store.RowKey;

/**
 * Reports rows of the store that can't be read, each revision of a row once; confined to the
 * control thread.
 *
 * <p>Failure that it answers: another writer leaves a row that is no entry. A table that is read
 * whole again and again would otherwise fill the log with it.
 */
final class UnreadableRows {
    private static final Logger LOG = LogManager.getLogger(UnreadableRows.class);

    /** Rows remembered; past that, the one that was reported longest ago may be reported again. */
    private static final int MAX_ROWS = 1_024;

    /** Longest reason logged, in characters: it may quote the row, which can be long. */
    private static final int MAX_REASON_CHARS = 200;

    private final Counter counter;
    private final Map<RowKey, Long> reportedRevisions =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<RowKey, Long> eldest) {
                    return size() > MAX_ROWS;
                }
            };

    UnreadableRows(Counter counter) {
        this.counter = checkNotNull(counter, "counter");
    }

    void report(RowKey row, long revision, String reason) {
        Long before = reportedRevisions.put(row, revision);
        if (before != null && before == revision) {
            return;
        }
        counter.inc();
        LOG.warn(
                "instances: row {} at revision {} names no server, {}",
                row,
                revision,
                Ascii.truncate(reason, MAX_REASON_CHARS, "..."));
    }
}
