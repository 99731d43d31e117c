package org.masticweir.settings;

import com.google.common.collect.ImmutableList;
import org.masticweir.routing.ChooserKind;

/** The settings of the traffic: callers, engines, limits and recovery. */
final class ServingSetting {
    private static final int MINUTE_MS = 60_000;
    private static final int MIB = 1 << 20;

    private static final SettingRows ROWS = new SettingRows();

    static final Setting<Integer> MAX_BODY_BYTES =
            ROWS.integer(
                    "callers",
                    "max_body_bytes",
                    MIB,
                    1024,
                    64 * MIB,
                    "Longest body of a caller's request.");
    static final Setting<Integer> MAX_HEADER_BYTES =
            ROWS.integer(
                    "callers",
                    "max_header_bytes",
                    16_384,
                    1024,
                    MIB,
                    "Longest headers of a caller's request.");
    static final Setting<Integer> MAX_REQUESTS =
            ROWS.integer(
                    "callers",
                    "max_requests",
                    20_000,
                    1,
                    1_000_000,
                    "Requests held at once; more are refused.");
    static final Setting<Integer> STALL_MS =
            ROWS.integer(
                    "callers",
                    "stall_ms",
                    15_000,
                    100,
                    10 * MINUTE_MS,
                    "A caller that takes no byte for so long is dropped.");
    static final Setting<Integer> ORPHAN_MS =
            ROWS.integer(
                    "callers",
                    "orphan_ms",
                    10_000,
                    0,
                    10 * MINUTE_MS,
                    "Generating goes on for so long without a caller.");
    static final Setting<Integer> MAX_TEAMS_SHOWN =
            ROWS.integer(
                    "callers",
                    "max_teams_shown",
                    50,
                    1,
                    10_000,
                    "Teams that have histograms of their own; the rest share one.");

    static final Setting<Integer> PROBE_TIMEOUT_MS =
            ROWS.integer(
                    "recovery",
                    "probe_timeout_ms",
                    250,
                    10,
                    MINUTE_MS,
                    "A probe of a silent engine without an answer by then has failed.");
    static final Setting<Integer> SILENCE_FLOOR_MS =
            ROWS.integer(
                    "recovery",
                    "silence_floor_ms",
                    150,
                    10,
                    MINUTE_MS,
                    "Shortest silence between tokens that leads to a probe.");
    static final Setting<Integer> SILENCE_START_MS =
            ROWS.integer(
                    "recovery",
                    "silence_start_ms",
                    2000,
                    10,
                    10 * MINUTE_MS,
                    "Silence that leads to a probe while an engine's gaps are not yet known.");
    static final Setting<Integer> CONNECT_TIMEOUT_MS =
            ROWS.integer(
                    "recovery",
                    "connect_timeout_ms",
                    500,
                    10,
                    MINUTE_MS,
                    "A connection to an engine that is not open by then has failed.");
    static final Setting<Integer> MAX_ATTEMPTS =
            ROWS.integer(
                    "recovery",
                    "max_attempts",
                    8,
                    1,
                    100,
                    "Attempts in a row at one request without a new token.");

    static final Setting<Integer> STATE_POLL_MS =
            ROWS.integer(
                    "engines",
                    "state_poll_ms",
                    200,
                    20,
                    MINUTE_MS,
                    "Time between two reads of an engine's load report.");
    static final Setting<Integer> SHARE_ABOVE =
            ROWS.integer(
                    "engines",
                    "share_above",
                    64,
                    0,
                    100_000,
                    "With more back ends listed, routers of a domain share reports.");
    static final Setting<Integer> SHARED_POLL_MS =
            ROWS.integer(
                    "engines",
                    "shared_poll_ms",
                    1000,
                    100,
                    MINUTE_MS,
                    "Time between two reads of a load report that routers share.");

    static final Setting<Boolean> CLASS_SHARES =
            ROWS.onOff(
                    "limits", "class_shares", "Classes are served by equal shares of place time.");
    static final Setting<Boolean> QUEUE_DEADLINES =
            ROWS.onOff("limits", "queue_deadlines", "What waits and would be late is refused.");
    static final Setting<Boolean> FAIR_SHARES =
            ROWS.onOff("limits", "fair_shares", "Teams of a class are served by their shares.");
    static final Setting<Boolean> PREDICTED_REFUSAL =
            ROWS.onOff("limits", "predicted_refusal", "What is predicted to be late is refused.");
    static final Setting<Boolean> RECOVERY_ADMISSION =
            ROWS.onOff("limits", "recovery_admission", "Recoveries start a few at a time.");
    static final Setting<Integer> HEADROOM_PERCENT =
            ROWS.integer(
                    "limits",
                    "headroom_percent",
                    10,
                    0,
                    90,
                    "Part of the places kept for prompt classes, and from teams over their share.");
    static final Setting<Integer> OVERCOMMIT_PERCENT =
            ROWS.integer(
                    "limits",
                    "overcommit_percent",
                    10,
                    0,
                    100,
                    "What prompt classes may send beyond all places, to wait in the engines.");
    static final Setting<Integer> BURST_PERCENT =
            ROWS.integer(
                    "limits",
                    "burst_percent",
                    400,
                    100,
                    10_000,
                    "Part of its even share of free places that a router may fill at once.");
    static final Setting<Integer> RECOVERY_SHARE_PERCENT =
            ROWS.integer(
                    "limits",
                    "recovery_share_percent",
                    25,
                    1,
                    100,
                    "Part of a router's places on which recoveries start at a time.");
    static final Setting<Integer> SHARE_EXCHANGE_MS =
            ROWS.integer(
                    "limits",
                    "share_exchange_ms",
                    2_000,
                    0,
                    60_000,
                    "Time between two tellings of teams' use to routers of the domain; 0 for none.");
    static final Setting<Integer> MAX_QUEUED =
            ROWS.integer("limits", "max_queued", 2048, 1, 1_000_000, "New requests that may wait.");

    static final Setting<Integer> BUDGET_PERCENT =
            ROWS.integer(
                    "retries",
                    "budget_percent",
                    10,
                    0,
                    1000,
                    "Retries for each hundred first sends; 1000 bounds nothing.");
    static final Setting<Integer> BUDGET_FLOOR =
            ROWS.integer(
                    "retries",
                    "budget_floor",
                    3,
                    0,
                    1000,
                    "Retries in ten seconds that are allowed in any case.");
    static final Setting<Integer> MAX_SENDS =
            ROWS.integer(
                    "retries", "max_sends", 3, 1, 100, "Sends of one request before its start.");

    static final Setting<Integer> COPY_FRAMES_PER_S =
            ROWS.integer(
                    "copies",
                    "frames_per_s",
                    8_000,
                    1,
                    1_000_000,
                    "Frames of copied tokens beyond which they wait up to 10 ms to share one.");

    static final Setting<ChooserKind> CHOOSER =
            ROWS.choice(
                    "routing",
                    "chooser",
                    ChooserKind.class,
                    ChooserKind.EXPECTED_DELAY,
                    "How an engine is chosen; all but the default are baselines.");

    private ServingSetting() {}

    /** Returns the rows in the order of the reference. */
    static ImmutableList<Setting<?>> rows() {
        return ROWS.all();
    }
}
