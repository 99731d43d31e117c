package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.id.EngineId;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;

/**
 * Finds the orders that former holders left open, by reading the journal once after a takeover.
 *
 * <p>An order is sent only after its intent is committed and while the lease's {@code mayAct} holds
 * at its sender. A scan begun under the next holder's lease therefore sees the intent of every
 * order that any former holder sent or may still send, and engines without an open one need not be
 * adopted. Owned by the control thread.
 */
final class JournalScan {
    private static final Logger LOG = LogManager.getLogger(JournalScan.class);
    private static final int PAGE_ROWS = 500;

    private final ControlContext context;
    private final Map<EngineId, JournalRow> open = new HashMap<>();
    private String after = "";
    private boolean underWay;
    private boolean done;
    private long notBeforeMs = Long.MIN_VALUE;

    private JournalScan(ControlContext context) {
        this.context = checkNotNull(context, "context");
    }

    static JournalScan of(ControlContext context) {
        return new JournalScan(context);
    }

    /** Reads the next page if one is due. */
    void tick() {
        if (done || underWay || context.nowMs() < notBeforeMs) {
            return;
        }
        underWay = true;
        context.table()
                .list(JournalRow.TABLE, after, PAGE_ROWS, context.tableTimeoutMs())
                .thenAcceptAsync(this::onPage, context.control());
    }

    boolean isDone() {
        return done;
    }

    /** Returns the engines with an order left open, and their rows. */
    Map<EngineId, JournalRow> open() {
        return open;
    }

    private void onPage(ReadOutcome<List<Row>> outcome) {
        underWay = false;
        if (!(outcome instanceof ReadOutcome.Done<List<Row>> page)) {
            notBeforeMs = context.nowMs() + context.settings().orders().retryMs();
            return;
        }
        List<Row> rows = page.value();
        rows.forEach(this::take);
        if (rows.size() < PAGE_ROWS) {
            done = true;
        } else {
            after = rows.get(rows.size() - 1).key().key();
            tick();
        }
    }

    private void take(Row row) {
        decode(row)
                .filter(JournalRow::open)
                .ifPresent(r -> open.put(EngineId.of(row.key().key()), r));
    }

    private static Optional<JournalRow> decode(Row row) {
        try {
            return Optional.of(JournalRow.decode(row.value()));
        } catch (IllegalArgumentException e) {
            LOG.error("control: journal row {} not readable, {}", row.key(), e.getMessage());
            return Optional.empty();
        }
    }
}
