package org.masticweir.settings;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/** The settings of the process: its addresses, its platform, its logs and its keys. */
final class ProcessSetting {
    private static final int MINUTE_MS = 60_000;
    private static final int MIB = 1 << 20;

    private static final SettingRows ROWS = new SettingRows();

    static final Setting<RouterId> ID =
            ROWS.add(
                    Setting.required(
                            "router",
                            "id",
                            ValueRule.id(RouterId::of),
                            "Name of this router, unlike every other router's."));
    static final Setting<DomainId> DOMAIN =
            ROWS.add(
                    Setting.required(
                            "router",
                            "domain",
                            ValueRule.id(DomainId::of),
                            "Failure domain in which this router runs."));
    static final Setting<InetSocketAddress> CALLER_ADDRESS =
            ROWS.address("router", "caller_address", "Where callers are served.");
    static final Setting<InetSocketAddress> OPERATOR_ADDRESS =
            ROWS.address("router", "operator_address", "Where the command line is served.");
    static final Setting<InetSocketAddress> PEER_ADDRESS =
            ROWS.address("router", "peer_address", "Where other routers connect.");
    static final Setting<InetSocketAddress> ADVERTISED_PEER_ADDRESS =
            ROWS.add(
                    Setting.optional(
                            "router",
                            "advertised_peer_address",
                            ValueRule.address(),
                            "",
                            "Address told to other routers; peer_address when left out."));
    static final Setting<Integer> IO_THREADS =
            ROWS.integer("router", "io_threads", 2, 1, 64, "Threads that carry traffic.");

    static final Setting<InetSocketAddress> PLATFORM_ADDRESS =
            ROWS.address("platform", "address", "Where the platform's service answers.");
    static final Setting<Integer> PLATFORM_DEADLINE_MS =
            ROWS.integer(
                    "platform",
                    "deadline_ms",
                    800,
                    10,
                    MINUTE_MS,
                    "A platform call without an answer by then has an unknown outcome.");
    static final Setting<Integer> CONFIG_POLL_MS =
            ROWS.integer(
                    "platform",
                    "config_poll_ms",
                    1000,
                    100,
                    MINUTE_MS,
                    "Time between two reads of the configuration's row.");
    static final Setting<Integer> INSTANCES_POLL_MS =
            ROWS.integer(
                    "platform",
                    "instances_poll_ms",
                    500,
                    50,
                    MINUTE_MS,
                    "Shortest time between two reads of the instance list.");
    static final Setting<Integer> INSTANCES_POLL_MAX_MS =
            ROWS.integer(
                    "platform",
                    "instances_poll_max_ms",
                    4000,
                    50,
                    MINUTE_MS,
                    "Longest time between two reads of the instance list.");
    static final Setting<Integer> INSTANCES_BYTES_PER_S =
            ROWS.integer(
                    "platform",
                    "instances_bytes_per_s",
                    4000,
                    100,
                    100 * MIB,
                    "The time between reads grows with the list so that a router reads no more.");

    static final Setting<LogLayout> LOG_LAYOUT =
            ROWS.choice("log", "layout", LogLayout.class, LogLayout.TEXT, "Form of each log line.");
    static final Setting<LogLevel> LOG_LEVEL =
            ROWS.choice(
                    "log", "level", LogLevel.class, LogLevel.INFO, "Lowest level that is logged.");

    static final Setting<String> KEYSTORE_FILE =
            ROWS.file(
                    "security",
                    "keystore_file",
                    "PKCS #12 file with key and certificate; callers and operators are served by"
                            + " TLS when it is named.");
    static final Setting<String> KEYSTORE_PASSWORD_FILE =
            ROWS.file(
                    "security",
                    "keystore_password_file",
                    "File whose first line is the password of keystore_file.");
    static final Setting<String> OPERATOR_CREDENTIALS_FILE =
            ROWS.file(
                    "security",
                    "operator_credentials_file",
                    "File of lines name = SHA-256 of a credential; operators need one of them when"
                            + " it is named.");
    static final Setting<String> PEER_KEYSTORE_FILE =
            ROWS.file(
                    "security",
                    "peer_keystore_file",
                    "PKCS #12 file with key and certificate; links between routers use TLS when it"
                            + " is named.");
    static final Setting<String> PEER_KEYSTORE_PASSWORD_FILE =
            ROWS.file(
                    "security",
                    "peer_keystore_password_file",
                    "File whose first line is the password of peer_keystore_file.");
    static final Setting<String> PEER_TRUST_FILE =
            ROWS.file(
                    "security",
                    "peer_trust_file",
                    "PEM file of certificates; other routers must show one of them or one that"
                            + " they signed.");

    private ProcessSetting() {}

    /** Returns the rows in the order of the reference. */
    static ImmutableList<Setting<?>> rows() {
        return ROWS.all();
    }
}
