package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Settings of the control of one failure domain.
 *
 * @param tickMs how often the control thread looks for what is due
 * @param tableTimeoutMs deadline of one call to the table
 */
public record ControlSettings(
        LeasePolicy lease,
        OrderSettings orders,
        LoadSettings loads,
        SweepSettings sweep,
        long tickMs,
        long tableTimeoutMs) {
    private static final ControlSettings DEFAULTS =
            new ControlSettings(
                    LeasePolicy.defaults(),
                    OrderSettings.defaults(),
                    LoadSettings.defaults(),
                    SweepSettings.defaults(),
                    200,
                    500);

    public ControlSettings {
        checkNotNull(lease, "lease");
        checkNotNull(orders, "orders");
        checkNotNull(loads, "loads");
        checkNotNull(sweep, "sweep");
        checkArgument(tickMs >= 1, "tick every %s ms", tickMs);
        checkArgument(tableTimeoutMs >= 1, "table timeout %s ms", tableTimeoutMs);
    }

    /** Returns these settings with another sweep of claims. */
    public ControlSettings sweeping(SweepSettings other) {
        return new ControlSettings(lease, orders, loads, other, tickMs, tableTimeoutMs);
    }

    /** Returns these settings with another time before a version is unloaded. */
    public ControlSettings unloadingAfter(long ms) {
        return new ControlSettings(
                lease, orders.unloadingAfter(ms), loads, sweep, tickMs, tableTimeoutMs);
    }

    /** Returns these settings with another longest time of a load. */
    public ControlSettings loadingWithin(long ms) {
        return new ControlSettings(lease, orders, loads.within(ms), sweep, tickMs, tableTimeoutMs);
    }

    public static ControlSettings defaults() {
        return DEFAULTS;
    }
}
