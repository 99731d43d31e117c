package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;

/** Drives the lease of one failure domain over the table; owned by the control thread. */
final class LeaseDriver {
    private static final Logger LOG = LogManager.getLogger(LeaseDriver.class);

    private final ControlContext context;
    private final LeaseState lease;

    private LeaseDriver(ControlContext context) {
        this.context = checkNotNull(context, "context");
        lease =
                LeaseState.of(
                        "domain-" + context.domain(), context.self(), context.settings().lease());
    }

    static LeaseDriver of(ControlContext context) {
        return new LeaseDriver(context);
    }

    /** Makes the call to the table that is due. */
    void tick() {
        lease.onTick(context.nowMs()).ifPresent(this::make);
    }

    /** Returns the fencing number to act under now; empty while this router may not act. */
    OptionalLong actingFencing() {
        return lease.mayAct(context.nowMs())
                ? OptionalLong.of(lease.fencing())
                : OptionalLong.empty();
    }

    boolean mayActUnder(long fencing) {
        return lease.mayAct(context.nowMs()) && lease.fencing() == fencing;
    }

    /** Returns the number last acted under; 0 before the first time. */
    long lastFencing() {
        return lease.fencing();
    }

    void release() {
        lease.release();
    }

    boolean isReleased() {
        return lease.isReleased();
    }

    private void make(LeaseAction action) {
        if (action instanceof LeaseAction.Read read) {
            context.table()
                    .read(read.key(), context.tableTimeoutMs())
                    .thenAcceptAsync(outcome -> onRead(read.ticket(), outcome), context.control());
        } else if (action instanceof LeaseAction.Write write) {
            context.table()
                    .transact(write.transaction(), context.tableTimeoutMs())
                    .thenAcceptAsync(
                            o -> lease.onWritten(write.ticket(), o, context.nowMs()),
                            context.control());
        }
    }

    private void onRead(int ticket, ReadOutcome<Row> outcome) {
        if (outcome instanceof ReadOutcome.Done<Row> done) {
            try {
                lease.onRow(ticket, done.value(), context.nowMs());
            } catch (IllegalArgumentException e) {
                LOG.error("control: lease row of {} not readable, {}", context.domain(), e);
            }
        } else {
            lease.onNotRead(ticket, context.nowMs());
        }
    }
}
