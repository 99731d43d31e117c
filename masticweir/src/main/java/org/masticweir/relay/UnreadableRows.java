package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.google.common.base.Ascii;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.store.Revision;
import org.masticweir.store.RowKey;

/**
 * Logs and counts rows of the store that cannot be parsed, once for each revision of a row;
 * confined to the control thread.
 *
 * <p>Prevents a flood of log lines: another writer may leave an invalid row in a table that is read
 * in full again and again.
 */
final class UnreadableRows {
    private static final Logger LOG = LogManager.getLogger(UnreadableRows.class);

    /**
     * Maximum number of rows stored; beyond it, the row reported first is dropped and may be
     * reported again.
     */
    private static final int MAX_ROWS = 1_024;

    /**
     * Maximum length of a logged reason, in characters: the reason can quote the row, which can be
     * long.
     */
    private static final int MAX_REASON_CHARS = 200;

    private final Counter counter;
    private final Map<RowKey, Revision> reportedRevisions =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<RowKey, Revision> eldest) {
                    return size() > MAX_ROWS;
                }
            };

    UnreadableRows(Counter counter) {
        this.counter = checkNotNull(counter, "counter");
    }

    /** Reports a version of the catalog that cannot be parsed; the version in force stays. */
    void reportCatalog(String source, String reason) {
        counter.inc();
        LOG.error(
                "config: a version from {} is not understood, {}",
                source,
                Ascii.truncate(reason, MAX_REASON_CHARS, "..."));
    }

    void report(RowKey row, Revision revision, String reason) {
        if (revision.equals(reportedRevisions.put(row, revision))) {
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
