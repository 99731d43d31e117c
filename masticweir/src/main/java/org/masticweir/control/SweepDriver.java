package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import org.masticweir.claims.ClaimRow;
import org.masticweir.claims.ClaimSweep;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.Transaction;

/** Deletes old claims page by page while the lease is held; owned by the control thread. */
final class SweepDriver {
    private final ControlContext context;
    private final LeaseDriver lease;
    private final ClaimSweep sweep;
    private boolean underWay;
    private long notBeforeMs = Long.MIN_VALUE;

    private SweepDriver(ControlContext context, LeaseDriver lease) {
        this.context = checkNotNull(context, "context");
        this.lease = checkNotNull(lease, "lease");
        SweepSettings settings = context.settings().sweep();
        sweep =
                ClaimSweep.withRetention(
                        settings.retentionMs(), settings.pageRows(), settings.claims());
    }

    static SweepDriver of(ControlContext context, LeaseDriver lease) {
        return new SweepDriver(context, lease);
    }

    /** Reads the next page if one is due. */
    void tick() {
        if (underWay || context.nowMs() < notBeforeMs) {
            return;
        }
        underWay = true;
        notBeforeMs = context.nowMs() + context.settings().sweep().everyMs();
        context.table()
                .list(
                        ClaimRow.TABLE,
                        sweep.nextPageAfter(),
                        sweep.pageRows(),
                        context.tableTimeoutMs())
                .thenAcceptAsync(this::onPage, context.control());
    }

    private void onPage(ReadOutcome<List<Row>> outcome) {
        underWay = false;
        if (!(outcome instanceof ReadOutcome.Done<List<Row>> page)
                || lease.actingFencing().isEmpty()) {
            return;
        }
        Optional<Transaction> deletion = sweep.onPage(page.value(), context.clock().wallMs());
        // Whatever the outcome, the next round comes upon the same rows again.
        deletion.ifPresent(t -> context.table().transact(t, context.tableTimeoutMs()));
    }
}
