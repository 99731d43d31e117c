package org.masticweir.settings;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.routing.ChooserKind;

/**
 * The table of a daemon's settings: name with unit, range, default and a sentence on each.
 *
 * <p>A new setting is one row here and one component in {@link DaemonSettings}.
 */
final class DaemonSetting {
    private static final int MINUTE_MS = 60_000;
    private static final int DAY_MS = 86_400_000;
    private static final int WEEK_MS = 7 * DAY_MS;
    private static final int MIB = 1 << 20;

    private static final Pattern FILE = Pattern.compile("\\S.*");

    private static final List<Setting<?>> ROWS = new ArrayList<>();

    static final Setting<RouterId> ID =
            add(
                    Setting.required(
                            "router",
                            "id",
                            ValueRule.id(RouterId::of),
                            "Name of this router, unlike every other router's."));
    static final Setting<DomainId> DOMAIN =
            add(
                    Setting.required(
                            "router",
                            "domain",
                            ValueRule.id(DomainId::of),
                            "Failure domain in which this router runs."));
    static final Setting<InetSocketAddress> CALLER_ADDRESS =
            address("router", "caller_address", "Where callers are served.");
    static final Setting<InetSocketAddress> OPERATOR_ADDRESS =
            address("router", "operator_address", "Where the command line is served.");
    static final Setting<InetSocketAddress> PEER_ADDRESS =
            address("router", "peer_address", "Where other routers connect.");
    static final Setting<InetSocketAddress> ADVERTISED_PEER_ADDRESS =
            add(
                    Setting.optional(
                            "router",
                            "advertised_peer_address",
                            ValueRule.address(),
                            "",
                            "Address told to other routers; peer_address when left out."));
    static final Setting<Integer> IO_THREADS =
            integer("router", "io_threads", 2, 1, 64, "Threads that carry traffic.");

    static final Setting<InetSocketAddress> PLATFORM_ADDRESS =
            address("platform", "address", "Where the platform's service answers.");
    static final Setting<Integer> PLATFORM_DEADLINE_MS =
            integer(
                    "platform",
                    "deadline_ms",
                    800,
                    10,
                    MINUTE_MS,
                    "A platform call without an answer by then has an unknown outcome.");
    static final Setting<Integer> CONFIG_POLL_MS =
            integer(
                    "platform",
                    "config_poll_ms",
                    1000,
                    100,
                    MINUTE_MS,
                    "Time between two reads of the configuration's row.");
    static final Setting<Integer> INSTANCES_POLL_MS =
            integer(
                    "platform",
                    "instances_poll_ms",
                    500,
                    50,
                    MINUTE_MS,
                    "Shortest time between two reads of the instance list.");
    static final Setting<Integer> INSTANCES_POLL_MAX_MS =
            integer(
                    "platform",
                    "instances_poll_max_ms",
                    4000,
                    50,
                    MINUTE_MS,
                    "Longest time between two reads of the instance list.");
    static final Setting<Integer> INSTANCES_BYTES_PER_S =
            integer(
                    "platform",
                    "instances_bytes_per_s",
                    4000,
                    100,
                    100 * MIB,
                    "The time between reads grows with the list so that a router reads no more.");

    static final Setting<LogLayout> LOG_LAYOUT =
            choice("log", "layout", LogLayout.class, LogLayout.TEXT, "Form of each log line.");
    static final Setting<LogLevel> LOG_LEVEL =
            choice("log", "level", LogLevel.class, LogLevel.INFO, "Lowest level that is logged.");

    static final Setting<Integer> MAX_BODY_BYTES =
            integer(
                    "callers",
                    "max_body_bytes",
                    MIB,
                    1024,
                    64 * MIB,
                    "Longest body of a caller's request.");
    static final Setting<Integer> MAX_HEADER_BYTES =
            integer(
                    "callers",
                    "max_header_bytes",
                    16_384,
                    1024,
                    MIB,
                    "Longest headers of a caller's request.");
    static final Setting<Integer> MAX_REQUESTS =
            integer(
                    "callers",
                    "max_requests",
                    20_000,
                    1,
                    1_000_000,
                    "Requests held at once; more are refused.");
    static final Setting<Integer> STALL_MS =
            integer(
                    "callers",
                    "stall_ms",
                    15_000,
                    100,
                    10 * MINUTE_MS,
                    "A caller that takes no byte for so long is dropped.");
    static final Setting<Integer> ORPHAN_MS =
            integer(
                    "callers",
                    "orphan_ms",
                    10_000,
                    0,
                    10 * MINUTE_MS,
                    "Generating goes on for so long without a caller.");
    static final Setting<Integer> MAX_TEAMS_SHOWN =
            integer(
                    "callers",
                    "max_teams_shown",
                    50,
                    1,
                    10_000,
                    "Teams that have histograms of their own; the rest share one.");

    static final Setting<Integer> PROBE_TIMEOUT_MS =
            integer(
                    "recovery",
                    "probe_timeout_ms",
                    250,
                    10,
                    MINUTE_MS,
                    "A probe of a silent engine without an answer by then has failed.");
    static final Setting<Integer> SILENCE_FLOOR_MS =
            integer(
                    "recovery",
                    "silence_floor_ms",
                    150,
                    10,
                    MINUTE_MS,
                    "Shortest silence between tokens that leads to a probe.");
    static final Setting<Integer> SILENCE_START_MS =
            integer(
                    "recovery",
                    "silence_start_ms",
                    2000,
                    10,
                    10 * MINUTE_MS,
                    "Silence that leads to a probe while an engine's gaps are not yet known.");
    static final Setting<Integer> CONNECT_TIMEOUT_MS =
            integer(
                    "recovery",
                    "connect_timeout_ms",
                    500,
                    10,
                    MINUTE_MS,
                    "A connection to an engine that is not open by then has failed.");
    static final Setting<Integer> MAX_ATTEMPTS =
            integer(
                    "recovery",
                    "max_attempts",
                    8,
                    1,
                    100,
                    "Attempts in a row at one request without a new token.");
    static final Setting<Integer> STATE_POLL_MS =
            integer(
                    "engines",
                    "state_poll_ms",
                    200,
                    20,
                    MINUTE_MS,
                    "Time between two reads of an engine's load report.");
    static final Setting<Integer> SHARE_ABOVE =
            integer(
                    "engines",
                    "share_above",
                    64,
                    0,
                    100_000,
                    "With more back ends listed, routers of a domain share reports.");
    static final Setting<Integer> SHARED_POLL_MS =
            integer(
                    "engines",
                    "shared_poll_ms",
                    1000,
                    100,
                    MINUTE_MS,
                    "Time between two reads of a load report that routers share.");

    static final Setting<Integer> HEARTBEAT_MS =
            integer(
                    "peers",
                    "heartbeat_ms",
                    500,
                    50,
                    MINUTE_MS,
                    "Shortest time between two heartbeats.");
    static final Setting<Integer> HEARTBEAT_MAX_MS =
            integer(
                    "peers",
                    "heartbeat_max_ms",
                    5000,
                    50,
                    MINUTE_MS,
                    "Longest time between two heartbeats.");
    static final Setting<Integer> HEARTBEAT_BYTES_PER_S =
            integer(
                    "peers",
                    "heartbeat_bytes_per_s",
                    6000,
                    100,
                    100 * MIB,
                    "The time between heartbeats grows with the number of peers so that they take"
                            + " no more.");
    static final Setting<Integer> SUSPECT_MS =
            integer(
                    "peers",
                    "suspect_ms",
                    1500,
                    100,
                    10 * MINUTE_MS,
                    "A router silent for so long is suspect, at the shortest time between heartbeats.");
    static final Setting<Integer> DEAD_MS =
            integer(
                    "peers",
                    "dead_ms",
                    4000,
                    100,
                    10 * MINUTE_MS,
                    "A router silent for so long counts as lost, at the shortest time between"
                            + " heartbeats.");
    static final Setting<Integer> LINK_SILENCE_MS =
            integer(
                    "peers",
                    "link_silence_ms",
                    2000,
                    200,
                    MINUTE_MS,
                    "A link that brings nothing for so long while a reply is due is closed.");
    static final Setting<Integer> HANDSHAKE_MS =
            integer(
                    "peers",
                    "handshake_ms",
                    2000,
                    100,
                    MINUTE_MS,
                    "A link under TLS may take so much longer to be up than a plain one, 1000 ms.");
    static final Setting<Integer> BALANCER_LAG_MS =
            integer(
                    "shutdown",
                    "balancer_lag_ms",
                    2000,
                    0,
                    MINUTE_MS,
                    "A leaving router still takes requests for so long.");
    static final Setting<Integer> DRAIN_MS =
            integer(
                    "shutdown",
                    "drain_ms",
                    20 * MINUTE_MS,
                    0,
                    DAY_MS,
                    "A leaving router finishes its requests for so long at most.");

    static final Setting<Integer> BATCH_WAIT_MS =
            integer(
                    "claims",
                    "batch_wait_ms",
                    5,
                    0,
                    1000,
                    "Longest wait of a claim for others to share its transaction.");
    static final Setting<Integer> RETENTION_MS =
            integer(
                    "claims",
                    "retention_ms",
                    DAY_MS,
                    15 * MINUTE_MS,
                    WEEK_MS,
                    "Claims and verdicts are kept for so long.");

    static final Setting<Integer> CLAIMS_SHARE_ABOVE =
            integer(
                    "claims",
                    "share_above",
                    4,
                    1,
                    100_000,
                    "With more routers serving in the domain, one of them writes the claims of"
                            + " all.");
    static final Setting<Integer> WRITER_WAIT_MS =
            integer(
                    "claims",
                    "writer_wait_ms",
                    150,
                    10,
                    1000,
                    "A router writes for itself when the writer did not take its claim in so long.");
    static final Setting<Integer> WRITER_AVOID_MS =
            integer(
                    "claims",
                    "writer_avoid_ms",
                    2000,
                    100,
                    60_000,
                    "A writer that failed is left out for so long, and up to eight times as long"
                            + " when it fails again.");

    static final Setting<Integer> UNLOAD_AFTER_MS =
            integer(
                    "control",
                    "unload_after_ms",
                    30 * MINUTE_MS,
                    1000,
                    DAY_MS,
                    "A version that nothing declares is unloaded after so long; must be above the"
                            + " longest generation.");
    static final Setting<Integer> LOAD_TIMEOUT_MS =
            integer(
                    "control",
                    "load_timeout_ms",
                    2 * MINUTE_MS,
                    1000,
                    DAY_MS,
                    "Longest time that fetching weights takes; after a loss of the router that"
                            + " fetched, the engine waits for so long.");

    static final Setting<String> KEYSTORE_FILE =
            file(
                    "security",
                    "keystore_file",
                    "PKCS #12 file with key and certificate; callers and operators are served by"
                            + " TLS when it is named.");
    static final Setting<String> KEYSTORE_PASSWORD_FILE =
            file(
                    "security",
                    "keystore_password_file",
                    "File whose first line is the password of keystore_file.");
    static final Setting<String> OPERATOR_CREDENTIALS_FILE =
            file(
                    "security",
                    "operator_credentials_file",
                    "File of lines name = SHA-256 of a credential; operators need one of them when"
                            + " it is named.");

    static final Setting<String> PEER_KEYSTORE_FILE =
            file(
                    "security",
                    "peer_keystore_file",
                    "PKCS #12 file with key and certificate; links between routers use TLS when it"
                            + " is named.");
    static final Setting<String> PEER_KEYSTORE_PASSWORD_FILE =
            file(
                    "security",
                    "peer_keystore_password_file",
                    "File whose first line is the password of peer_keystore_file.");
    static final Setting<String> PEER_TRUST_FILE =
            file(
                    "security",
                    "peer_trust_file",
                    "PEM file of certificates; other routers must show one of them or one that"
                            + " they signed.");

    static final Setting<Integer> CONFIG_RETRY_MS =
            integer(
                    "config",
                    "retry_ms",
                    100,
                    10,
                    MINUTE_MS,
                    "Time before a failed read or write of a change is tried again.");
    static final Setting<Integer> SETTLE_WAIT_MS =
            integer(
                    "config",
                    "settle_wait_ms",
                    3000,
                    100,
                    MINUTE_MS,
                    "A change not settled with the table by then is answered as unknown.");
    static final Setting<Integer> DOMAIN_WAIT_MS =
            integer(
                    "config",
                    "domain_wait_ms",
                    5000,
                    100,
                    MINUTE_MS,
                    "A written change some domain lacks by then is answered as pending.");

    static final Setting<Boolean> CLASS_SHARES =
            onOff("limits", "class_shares", "Classes are served by equal shares of place time.");
    static final Setting<Boolean> QUEUE_DEADLINES =
            onOff("limits", "queue_deadlines", "What waits and would be late is refused.");
    static final Setting<Boolean> FAIR_SHARES =
            onOff("limits", "fair_shares", "Teams of a class are served by their shares.");
    static final Setting<Boolean> PREDICTED_REFUSAL =
            onOff("limits", "predicted_refusal", "What is predicted to be late is refused.");
    static final Setting<Boolean> RECOVERY_ADMISSION =
            onOff("limits", "recovery_admission", "Recoveries start a few at a time.");
    static final Setting<Integer> HEADROOM_PERCENT =
            integer(
                    "limits",
                    "headroom_percent",
                    10,
                    0,
                    90,
                    "Part of the places kept for prompt classes, and from teams over their share.");
    static final Setting<Integer> OVERCOMMIT_PERCENT =
            integer(
                    "limits",
                    "overcommit_percent",
                    10,
                    0,
                    100,
                    "What prompt classes may send beyond all places, to wait in the engines.");
    static final Setting<Integer> BURST_PERCENT =
            integer(
                    "limits",
                    "burst_percent",
                    400,
                    100,
                    10_000,
                    "Part of its even share of free places that a router may fill at once.");
    static final Setting<Integer> RECOVERY_SHARE_PERCENT =
            integer(
                    "limits",
                    "recovery_share_percent",
                    25,
                    1,
                    100,
                    "Part of a router's places on which recoveries start at a time.");
    static final Setting<Integer> MAX_QUEUED =
            integer("limits", "max_queued", 2048, 1, 1_000_000, "New requests that may wait.");

    static final Setting<Integer> BUDGET_PERCENT =
            integer(
                    "retries",
                    "budget_percent",
                    10,
                    0,
                    1000,
                    "Retries for each hundred first sends; 1000 bounds nothing.");
    static final Setting<Integer> BUDGET_FLOOR =
            integer(
                    "retries",
                    "budget_floor",
                    3,
                    0,
                    1000,
                    "Retries in ten seconds that are allowed in any case.");
    static final Setting<Integer> MAX_SENDS =
            integer("retries", "max_sends", 3, 1, 100, "Sends of one request before its start.");

    static final Setting<Integer> COPY_FRAMES_PER_S =
            integer(
                    "copies",
                    "frames_per_s",
                    8_000,
                    1,
                    1_000_000,
                    "Frames of copied tokens beyond which they wait up to 10 ms to share one.");

    static final Setting<ChooserKind> CHOOSER =
            choice(
                    "routing",
                    "chooser",
                    ChooserKind.class,
                    ChooserKind.EXPECTED_DELAY,
                    "How an engine is chosen; all but the default are baselines.");

    private DaemonSetting() {}

    /** Returns every row in the order of the reference. */
    static ImmutableList<Setting<?>> rows() {
        return ImmutableList.copyOf(ROWS);
    }

    private static <T> Setting<T> add(Setting<T> row) {
        ROWS.add(row);
        return row;
    }

    private static Setting<InetSocketAddress> address(String section, String key, String doc) {
        return add(Setting.required(section, key, ValueRule.address(), doc));
    }

    private static Setting<String> file(String section, String key, String doc) {
        ValueRule<String> rule = ValueRule.text("the path of a file", FILE, "name.txt");
        return add(Setting.optional(section, key, rule, "", doc));
    }

    private static Setting<Integer> integer(
            String section, String key, int standard, int min, int max, String doc) {
        ValueRule<Integer> rule = ValueRule.integer(key, min, max);
        return add(Setting.optional(section, key, rule, Integer.toString(standard), doc));
    }

    private static Setting<Boolean> onOff(String section, String key, String doc) {
        return add(Setting.optional(section, key, ValueRule.bool(), "true", doc));
    }

    private static <E extends Enum<E>> Setting<E> choice(
            String section, String key, Class<E> type, E standard, String doc) {
        String word = Ascii.toLowerCase(standard.name());
        return add(Setting.optional(section, key, ValueRule.enumOf(type), word, doc));
    }
}
