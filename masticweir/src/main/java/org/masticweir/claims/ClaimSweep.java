package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import org.masticweir.store.Row;
import org.masticweir.store.Transaction;

/**
 * Selects old claims for deletion, page by page.
 *
 * <p>The holder of the domain's lease reads the page after {@link #nextPageAfter}, passes it to
 * {@link #onPage} and commits the returned transaction. A row is deleted only at the revision that
 * was read, so a row that was claimed again in the meantime is kept, and two concurrent sweeps do
 * no harm; after a conflict the next round handles the row. Ages are in wall time. The difference
 * between the routers' clocks must therefore be much smaller than the retention minus the time for
 * which a claim permits sending. Owned by the control thread.
 */
public final class ClaimSweep {
    /** Minimum ratio of the retention to the time for which a claim permits sending. */
    public static final int RETENTION_FACTOR = 10;

    private final long retentionMs;
    private final int pageRows;
    private String nextPageAfter = "";

    private ClaimSweep(long retentionMs, int pageRows) {
        this.retentionMs = retentionMs;
        this.pageRows = pageRows;
    }

    /** Returns a sweep that starts at the first row and keeps claims for {@code retentionMs}. */
    public static ClaimSweep withRetention(long retentionMs, int pageRows, ClaimPolicy policy) {
        checkNotNull(policy, "policy");
        checkArgument(pageRows >= 1, "page rows %s", pageRows);
        checkArgument(
                retentionMs >= RETENTION_FACTOR * policy.sendWithinMs(),
                "retention %s ms is too close to the %s ms for which a claim permits sending",
                retentionMs,
                policy.sendWithinMs());
        return new ClaimSweep(retentionMs, pageRows);
    }

    /** Returns the key after which the next page starts; empty for the first page. */
    public String nextPageAfter() {
        return nextPageAfter;
    }

    public int pageRows() {
        return pageRows;
    }

    /** Advances past {@code rows} and returns the deletion of the old ones, if any. */
    public Optional<Transaction> onPage(List<Row> rows, long wallMs) {
        Transaction.Builder t = Transaction.builder();
        int oldRows = 0;
        for (Row row : rows) {
            if (isOld(row, wallMs)) {
                t.check(row.key(), row.revision()).delete(row.key());
                oldRows++;
            }
        }
        nextPageAfter = rows.size() < pageRows ? "" : rows.get(rows.size() - 1).key().key();
        return oldRows == 0 ? Optional.empty() : Optional.of(t.build());
    }

    /**
     * Returns whether the row is old. A row that can't be read is kept, since its request could run
     * again after a deletion.
     */
    private boolean isOld(Row row, long wallMs) {
        try {
            return wallMs - ClaimRow.decode(row.value()).wallMs() > retentionMs;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
