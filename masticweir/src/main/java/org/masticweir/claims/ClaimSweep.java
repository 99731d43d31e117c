package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import org.masticweir.store.Row;
import org.masticweir.store.Transaction;

/**
 * Decides which claims are old enough to be deleted, page by page.
 *
 * <p>Whoever holds the domain's lease reads the page after {@link #nextPageAfter}, passes it to
 * {@link #onPage} and commits what that returns. A row is deleted only at the revision that was
 * read, so that one claimed anew in between stays, and two sweepers at once do no harm; after a
 * conflict the next round takes it up. Ages are wall time, so routers' clocks must agree far better
 * than the retention less the time for which a claim permits sending. Owned by the control thread.
 */
public final class ClaimSweep {
    /** Retention is at least this many times as long as a claim permits sending. */
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
                "retention %s ms is too near to the %s ms a claim permits sending",
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

    /** Moves on past {@code rows} and returns the deletion of those that are old, if any. */
    public Optional<Transaction> onPage(List<Row> rows, long wallMs) {
        Transaction.Builder t = Transaction.builder();
        int old = 0;
        for (Row row : rows) {
            if (isOld(row, wallMs)) {
                t.check(row.key(), row.revision()).delete(row.key());
                old++;
            }
        }
        nextPageAfter = rows.size() < pageRows ? "" : rows.get(rows.size() - 1).key().key();
        return old == 0 ? Optional.empty() : Optional.of(t.build());
    }

    /** A row that can't be read is kept: deleting it would let its request run again. */
    private boolean isOld(Row row, long wallMs) {
        try {
            return wallMs - ClaimRow.decode(row.value()).wallMs() > retentionMs;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
