package org.masticweir.settings;

import com.google.common.collect.ImmutableList;

/** The settings of what routers agree on: peers, claims, orders, configuration, shutdown. */
final class ControlSetting {
    private static final int MINUTE_MS = 60_000;
    private static final int DAY_MS = 86_400_000;
    private static final int WEEK_MS = 7 * DAY_MS;
    private static final int MIB = 1 << 20;

    private static final SettingRows ROWS = new SettingRows();

    static final Setting<Integer> HEARTBEAT_MS =
            ROWS.integer(
                    "peers",
                    "heartbeat_ms",
                    500,
                    50,
                    MINUTE_MS,
                    "Shortest time between two heartbeats.");
    static final Setting<Integer> HEARTBEAT_MAX_MS =
            ROWS.integer(
                    "peers",
                    "heartbeat_max_ms",
                    5000,
                    50,
                    MINUTE_MS,
                    "Longest time between two heartbeats.");
    static final Setting<Integer> HEARTBEAT_BYTES_PER_S =
            ROWS.integer(
                    "peers",
                    "heartbeat_bytes_per_s",
                    6000,
                    100,
                    100 * MIB,
                    "The time between heartbeats grows with the number of peers so that they take"
                            + " no more.");
    static final Setting<Integer> SUSPECT_MS =
            ROWS.integer(
                    "peers",
                    "suspect_ms",
                    1500,
                    100,
                    10 * MINUTE_MS,
                    "A router silent for so long is suspect, at the shortest time between heartbeats.");
    static final Setting<Integer> DEAD_MS =
            ROWS.integer(
                    "peers",
                    "dead_ms",
                    4000,
                    100,
                    10 * MINUTE_MS,
                    "A router silent for so long counts as lost, at the shortest time between"
                            + " heartbeats.");
    static final Setting<Integer> LINK_SILENCE_MS =
            ROWS.integer(
                    "peers",
                    "link_silence_ms",
                    2000,
                    200,
                    MINUTE_MS,
                    "A link that brings nothing for so long while a reply is due is closed.");
    static final Setting<Integer> HANDSHAKE_MS =
            ROWS.integer(
                    "peers",
                    "handshake_ms",
                    2000,
                    100,
                    MINUTE_MS,
                    "A link under TLS may take so much longer to be up than a plain one, 1000 ms.");

    static final Setting<Integer> BALANCER_LAG_MS =
            ROWS.integer(
                    "shutdown",
                    "balancer_lag_ms",
                    2000,
                    0,
                    MINUTE_MS,
                    "A leaving router still takes requests for so long.");
    static final Setting<Integer> DRAIN_MS =
            ROWS.integer(
                    "shutdown",
                    "drain_ms",
                    20 * MINUTE_MS,
                    0,
                    DAY_MS,
                    "A leaving router finishes its requests for so long at most.");

    static final Setting<Integer> BATCH_WAIT_MS =
            ROWS.integer(
                    "claims",
                    "batch_wait_ms",
                    5,
                    0,
                    1000,
                    "Longest wait of a claim for others to share its transaction.");
    static final Setting<Integer> RETENTION_MS =
            ROWS.integer(
                    "claims",
                    "retention_ms",
                    DAY_MS,
                    15 * MINUTE_MS,
                    WEEK_MS,
                    "Claims and verdicts are kept for so long.");
    static final Setting<Integer> CLAIMS_SHARE_ABOVE =
            ROWS.integer(
                    "claims",
                    "share_above",
                    4,
                    1,
                    100_000,
                    "With more routers serving in the domain, one of them writes the claims of"
                            + " all.");
    static final Setting<Integer> WRITER_WAIT_MS =
            ROWS.integer(
                    "claims",
                    "writer_wait_ms",
                    150,
                    10,
                    1000,
                    "A router writes for itself when the writer did not take its claim in so long.");
    static final Setting<Integer> WRITER_AVOID_MS =
            ROWS.integer(
                    "claims",
                    "writer_avoid_ms",
                    2000,
                    100,
                    60_000,
                    "A writer that failed is left out for so long, and up to eight times as long"
                            + " when it fails again.");

    static final Setting<Integer> UNLOAD_AFTER_MS =
            ROWS.integer(
                    "control",
                    "unload_after_ms",
                    30 * MINUTE_MS,
                    1000,
                    DAY_MS,
                    "A version that nothing declares is unloaded after so long; must be above the"
                            + " longest generation.");
    static final Setting<Integer> LOAD_TIMEOUT_MS =
            ROWS.integer(
                    "control",
                    "load_timeout_ms",
                    2 * MINUTE_MS,
                    1000,
                    DAY_MS,
                    "Longest time that fetching weights takes; after a loss of the router that"
                            + " fetched, the engine waits for so long.");

    static final Setting<Integer> CONFIG_RETRY_MS =
            ROWS.integer(
                    "config",
                    "retry_ms",
                    100,
                    10,
                    MINUTE_MS,
                    "Time before a failed read or write of a change is tried again.");
    static final Setting<Integer> SETTLE_WAIT_MS =
            ROWS.integer(
                    "config",
                    "settle_wait_ms",
                    3000,
                    100,
                    MINUTE_MS,
                    "A change not settled with the table by then is answered as unknown.");
    static final Setting<Integer> DOMAIN_WAIT_MS =
            ROWS.integer(
                    "config",
                    "domain_wait_ms",
                    5000,
                    100,
                    MINUTE_MS,
                    "A written change some domain lacks by then is answered as pending.");

    private ControlSetting() {}

    /** Returns the rows in the order of the reference. */
    static ImmutableList<Setting<?>> rows() {
        return ROWS.all();
    }
}
