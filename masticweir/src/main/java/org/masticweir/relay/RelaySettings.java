package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.settings.IniSection;
import org.masticweir.settings.IniText;
import org.masticweir.settings.LogLevel;
import org.masticweir.settings.ProblemLog;
import org.masticweir.settings.ValueRule;

/**
 * Settings of a router that passes requests on to servers; immutable.
 *
 * @param callers address that callers connect to
 * @param balancer address of the readiness check of the balancer
 * @param peers address that other routers connect to
 * @param tunnels address at which other routers request tunnels to servers
 * @param metrics address of the metrics page
 * @param store address of the platform's store
 * @param changeBoundMs time after which a change of the catalog must be in force at all routers
 * @param retryRatio retries allowed for each request, over all routers
 * @param retryAllowance additional retries allowed in ten seconds, over all routers; the platform
 *     scales it with the deployment, so the value can have a fractional part
 * @param quarantineMs longest quarantine of a request content that ends its servers
 * @param graceMs time between the shutdown request and the end of the process
 */
public record RelaySettings(
        RouterId router,
        DomainId domain,
        InetSocketAddress callers,
        InetSocketAddress balancer,
        InetSocketAddress peers,
        InetSocketAddress tunnels,
        InetSocketAddress metrics,
        InetSocketAddress store,
        long changeBoundMs,
        double retryRatio,
        double retryAllowance,
        long quarantineMs,
        long graceMs,
        LogLevel logLevel) {
    /** Maximum length of a settings file, in characters. */
    public static final int MAX_CHARS = 65_536;

    private static final int MAX_SECTIONS = 16;
    private static final int MAX_PORT = 65_535;
    private static final double MAX_RETRY_RATIO = 10;
    private static final double MAX_ALLOWANCE = 1_000_000;
    private static final int MAX_GRACE_S = 600;
    private static final int MIN_CHANGE_BOUND_MS = 200;
    private static final int MAX_CHANGE_BOUND_MS = 60_000;
    private static final int DEFAULT_CHANGE_BOUND_MS = 2_000;
    private static final int MIN_QUARANTINE_S = 60;
    private static final int MAX_QUARANTINE_S = 604_800;
    private static final int DEFAULT_QUARANTINE_S = 3_600;
    private static final double MS_PER_SECOND = 1_000;

    private static final ImmutableSet<String> SECTIONS =
            ImmutableSet.of(
                    "router",
                    "callers",
                    "balancer",
                    "peers",
                    "metrics",
                    "store",
                    "retries",
                    "quarantine",
                    "shutdown",
                    "log");

    public RelaySettings {
        checkNotNull(router, "router");
        checkNotNull(domain, "domain");
        checkNotNull(callers, "callers");
        checkNotNull(balancer, "balancer");
        checkNotNull(peers, "peers");
        checkNotNull(tunnels, "tunnels");
        checkNotNull(metrics, "metrics");
        checkNotNull(store, "store");
        checkNotNull(logLevel, "logLevel");
    }

    /**
     * Reads the settings in {@code file}.
     *
     * @throws MasticweirException if the file cannot be read or has an invalid setting
     */
    public static RelaySettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw MasticweirException.causedBy(
                    ErrorCode.SETTINGS_INVALID,
                    Verdict.NOT_RUN,
                    file + ": cannot be read, " + e.getMessage(),
                    e);
        }
    }

    /**
     * Parses settings from {@code text}.
     *
     * @param source name used in error messages
     * @throws MasticweirException if the text has an invalid setting
     */
    public static RelaySettings parse(String source, String text) {
        ProblemLog log = ProblemLog.of(source);
        Map<String, IniSection> sections = new HashMap<>();
        for (IniSection section : IniText.parse(text, MAX_CHARS, MAX_SECTIONS, log).sections()) {
            sections.put(section.name(), section);
            if (!SECTIONS.contains(section.name())) {
                log.add(section.name(), "", "", "the sections " + String.join(", ", SECTIONS));
            }
        }
        Reader reader = new Reader(sections, log);
        return log.result(reader::settings).orElseThrow();
    }

    /** Reads the values from the sections of one text. */
    private static final class Reader {
        private static final ValueRule<InetSocketAddress> ADDRESS = ValueRule.address();

        private final Map<String, IniSection> sections;
        private final ProblemLog log;

        Reader(Map<String, IniSection> sections, ProblemLog log) {
            this.sections = sections;
            this.log = log;
            settings();
        }

        RelaySettings settings() {
            IniSection router = section("router", "id", "domain");
            IniSection retries = section("retries", "share", "allowance");
            IniSection peers = section("peers", "address", "tunnel_address");
            IniSection store = section("store", "address", "change_bound_ms");
            InetSocketAddress peerAddress = peers.required("address", ADDRESS);
            double graceS =
                    section("shutdown", "grace_s")
                            .required("grace_s", ValueRule.decimal(0, MAX_GRACE_S));
            double changeBoundMs =
                    store.optional(
                            "change_bound_ms",
                            ValueRule.decimal(MIN_CHANGE_BOUND_MS, MAX_CHANGE_BOUND_MS),
                            (double) DEFAULT_CHANGE_BOUND_MS);
            double quarantineS =
                    section("quarantine", "hold_s")
                            .optional(
                                    "hold_s",
                                    ValueRule.decimal(MIN_QUARANTINE_S, MAX_QUARANTINE_S),
                                    (double) DEFAULT_QUARANTINE_S);
            return new RelaySettings(
                    router.required("id", ValueRule.name(RouterId::of)),
                    router.required("domain", ValueRule.name(DomainId::of)),
                    section("callers", "address").required("address", ADDRESS),
                    section("balancer", "address").required("address", ADDRESS),
                    peerAddress,
                    tunnelAddress(peers, peerAddress),
                    section("metrics", "address").required("address", ADDRESS),
                    store.required("address", ADDRESS),
                    Math.round(changeBoundMs),
                    retries.required("share", ValueRule.decimal(0, MAX_RETRY_RATIO)),
                    retries.required("allowance", ValueRule.decimal(0, MAX_ALLOWANCE)),
                    Math.round(quarantineS * MS_PER_SECOND),
                    Math.round(graceS * MS_PER_SECOND),
                    section("log", "level")
                            .optional("level", ValueRule.enumOf(LogLevel.class), LogLevel.INFO));
        }

        /** Returns the given address; if there is none, the port after that of the peers. */
        private static InetSocketAddress tunnelAddress(
                IniSection peers, InetSocketAddress peerAddress) {
            int port = peerAddress == null ? MAX_PORT : peerAddress.getPort();
            if (port == MAX_PORT) {
                return peers.required("tunnel_address", ADDRESS);
            }
            InetSocketAddress next = new InetSocketAddress(peerAddress.getAddress(), port + 1);
            return peers.optional("tunnel_address", ADDRESS, next);
        }

        private IniSection section(String name, String... keys) {
            IniSection section = sections.get(name);
            if (section == null) {
                section = IniText.emptySection(name, log);
            }
            section.allowOnly(List.of(keys));
            return section;
        }
    }
}
