package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.routing.ChooserKind;

/**
 * A daemon's own settings, one component for each section of its file; immutable.
 *
 * <p>Every fault is a {@code SETTINGS_INVALID} error whose message holds one sentence a line; a
 * program prints it and exits with {@link #INVALID_EXIT_CODE}.
 */
public record DaemonSettings(
        Router router,
        Platform platform,
        Log log,
        Callers callers,
        Recovery recovery,
        Engines engines,
        Peers peers,
        Claims claims,
        Control control,
        Security security,
        Config config,
        Shutdown shutdown,
        Limits limits,
        Retries retries,
        Copies copies,
        Routing routing) {
    /** Exit code of a program whose settings are invalid. */
    public static final int INVALID_EXIT_CODE = 2;

    /** Longest settings file accepted, in characters. */
    public static final int MAX_CHARS = 65_536;

    /** Returns the settings in {@code file}. */
    public static DaemonSettings read(Path file) {
        checkNotNull(file, "file");
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw MasticweirException.notRun(
                    ErrorCode.SETTINGS_INVALID, file + ": the file cannot be read: " + e);
        }
    }

    /** Returns the settings that {@code text} holds; {@code source} names it in messages. */
    public static DaemonSettings parse(String source, String text) {
        return check(source, text).orElseThrow();
    }

    /** Returns the settings that {@code text} holds, or every problem with it. */
    public static Checked<DaemonSettings> check(String source, String text) {
        return SettingsReader.read(source, text, MAX_CHARS, DaemonSettings::from);
    }

    private static DaemonSettings from(SettingsReader in) {
        in.checkOrder(DaemonSetting.INSTANCES_POLL_MS, DaemonSetting.INSTANCES_POLL_MAX_MS);
        in.checkOrder(DaemonSetting.HEARTBEAT_MS, DaemonSetting.HEARTBEAT_MAX_MS);
        in.checkAbove(DaemonSetting.HEARTBEAT_MS, 2, DaemonSetting.SUSPECT_MS);
        in.checkAbove(DaemonSetting.SUSPECT_MS, 1, DaemonSetting.DEAD_MS);
        in.checkOrder(DaemonSetting.SILENCE_FLOOR_MS, DaemonSetting.SILENCE_START_MS);
        in.checkTogether(DaemonSetting.KEYSTORE_FILE, DaemonSetting.KEYSTORE_PASSWORD_FILE);
        in.checkTogether(
                DaemonSetting.PEER_KEYSTORE_FILE, DaemonSetting.PEER_KEYSTORE_PASSWORD_FILE);
        in.checkTogether(DaemonSetting.PEER_KEYSTORE_FILE, DaemonSetting.PEER_TRUST_FILE);
        return new DaemonSettings(
                Router.from(in),
                Platform.from(in),
                new Log(in.get(DaemonSetting.LOG_LAYOUT), in.get(DaemonSetting.LOG_LEVEL)),
                Callers.from(in),
                Recovery.from(in),
                Engines.from(in),
                Peers.from(in),
                Claims.from(in),
                new Control(
                        in.get(DaemonSetting.UNLOAD_AFTER_MS),
                        in.get(DaemonSetting.LOAD_TIMEOUT_MS)),
                Security.from(in),
                Config.from(in),
                new Shutdown(in.get(DaemonSetting.BALANCER_LAG_MS), in.get(DaemonSetting.DRAIN_MS)),
                Limits.from(in),
                Retries.from(in),
                new Copies(in.get(DaemonSetting.COPY_FRAMES_PER_S)),
                new Routing(in.get(DaemonSetting.CHOOSER)));
    }

    /** Section {@code [router]}: who this router is and where it listens. */
    public record Router(
            RouterId id,
            DomainId domain,
            InetSocketAddress callerAddress,
            InetSocketAddress operatorAddress,
            InetSocketAddress peerAddress,
            InetSocketAddress advertisedPeerAddress,
            int ioThreads) {
        private static Router from(SettingsReader in) {
            InetSocketAddress peerAddress = in.get(DaemonSetting.PEER_ADDRESS);
            return new Router(
                    in.get(DaemonSetting.ID),
                    in.get(DaemonSetting.DOMAIN),
                    in.get(DaemonSetting.CALLER_ADDRESS),
                    in.get(DaemonSetting.OPERATOR_ADDRESS),
                    peerAddress,
                    in.getOr(DaemonSetting.ADVERTISED_PEER_ADDRESS, peerAddress),
                    in.get(DaemonSetting.IO_THREADS));
        }
    }

    /** Section {@code [platform]}: the platform's service. */
    public record Platform(
            InetSocketAddress address,
            int deadlineMs,
            int configPollMs,
            int instancesPollMs,
            int instancesPollMaxMs,
            int instancesBytesPerS) {
        private static Platform from(SettingsReader in) {
            return new Platform(
                    in.get(DaemonSetting.PLATFORM_ADDRESS),
                    in.get(DaemonSetting.PLATFORM_DEADLINE_MS),
                    in.get(DaemonSetting.CONFIG_POLL_MS),
                    in.get(DaemonSetting.INSTANCES_POLL_MS),
                    in.get(DaemonSetting.INSTANCES_POLL_MAX_MS),
                    in.get(DaemonSetting.INSTANCES_BYTES_PER_S));
        }
    }

    /** Section {@code [log]}. */
    public record Log(LogLayout layout, LogLevel level) {}

    /** Section {@code [callers]}: bounds on what callers may send and hold. */
    public record Callers(
            int maxBodyBytes,
            int maxHeaderBytes,
            int maxRequests,
            int stallMs,
            int orphanMs,
            int maxTeamsShown) {
        private static Callers from(SettingsReader in) {
            return new Callers(
                    in.get(DaemonSetting.MAX_BODY_BYTES),
                    in.get(DaemonSetting.MAX_HEADER_BYTES),
                    in.get(DaemonSetting.MAX_REQUESTS),
                    in.get(DaemonSetting.STALL_MS),
                    in.get(DaemonSetting.ORPHAN_MS),
                    in.get(DaemonSetting.MAX_TEAMS_SHOWN));
        }
    }

    /** Section {@code [recovery]}: how the loss of an engine is found and mended. */
    public record Recovery(
            int probeTimeoutMs,
            int silenceFloorMs,
            int silenceStartMs,
            int connectTimeoutMs,
            int maxAttempts) {
        private static Recovery from(SettingsReader in) {
            return new Recovery(
                    in.get(DaemonSetting.PROBE_TIMEOUT_MS),
                    in.get(DaemonSetting.SILENCE_FLOOR_MS),
                    in.get(DaemonSetting.SILENCE_START_MS),
                    in.get(DaemonSetting.CONNECT_TIMEOUT_MS),
                    in.get(DaemonSetting.MAX_ATTEMPTS));
        }
    }

    /** Section {@code [engines]}: reading the engines' reports. */
    public record Engines(int statePollMs, int shareAbove, int sharedPollMs) {
        private static Engines from(SettingsReader in) {
            return new Engines(
                    in.get(DaemonSetting.STATE_POLL_MS),
                    in.get(DaemonSetting.SHARE_ABOVE),
                    in.get(DaemonSetting.SHARED_POLL_MS));
        }
    }

    /** Section {@code [peers]}: the links to other routers. */
    public record Peers(
            int heartbeatMs,
            int heartbeatMaxMs,
            int heartbeatBytesPerS,
            int suspectMs,
            int deadMs,
            int linkSilenceMs,
            int handshakeMs) {
        private static Peers from(SettingsReader in) {
            return new Peers(
                    in.get(DaemonSetting.HEARTBEAT_MS),
                    in.get(DaemonSetting.HEARTBEAT_MAX_MS),
                    in.get(DaemonSetting.HEARTBEAT_BYTES_PER_S),
                    in.get(DaemonSetting.SUSPECT_MS),
                    in.get(DaemonSetting.DEAD_MS),
                    in.get(DaemonSetting.LINK_SILENCE_MS),
                    in.get(DaemonSetting.HANDSHAKE_MS));
        }
    }

    /** Section {@code [shutdown]}: how a router leaves. */
    public record Shutdown(int balancerLagMs, int drainMs) {}

    /** Section {@code [claims]}: claims of requests that run at most once. */
    public record Claims(
            int batchWaitMs, int retentionMs, int shareAbove, int writerWaitMs, int writerAvoidMs) {
        private static Claims from(SettingsReader in) {
            return new Claims(
                    in.get(DaemonSetting.BATCH_WAIT_MS),
                    in.get(DaemonSetting.RETENTION_MS),
                    in.get(DaemonSetting.CLAIMS_SHARE_ABOVE),
                    in.get(DaemonSetting.WRITER_WAIT_MS),
                    in.get(DaemonSetting.WRITER_AVOID_MS));
        }
    }

    /** Section {@code [control]}: the orders to the domain's engines. */
    public record Control(int unloadAfterMs, int loadTimeoutMs) {}

    /** Section {@code [security]}: keys and credentials, each in a file of its own. */
    public record Security(
            Optional<Path> keystoreFile,
            Optional<Path> keystorePasswordFile,
            Optional<Path> operatorCredentialsFile,
            Optional<Path> peerKeystoreFile,
            Optional<Path> peerKeystorePasswordFile,
            Optional<Path> peerTrustFile) {
        private static Security from(SettingsReader in) {
            return new Security(
                    path(in, DaemonSetting.KEYSTORE_FILE),
                    path(in, DaemonSetting.KEYSTORE_PASSWORD_FILE),
                    path(in, DaemonSetting.OPERATOR_CREDENTIALS_FILE),
                    path(in, DaemonSetting.PEER_KEYSTORE_FILE),
                    path(in, DaemonSetting.PEER_KEYSTORE_PASSWORD_FILE),
                    path(in, DaemonSetting.PEER_TRUST_FILE));
        }

        private static Optional<Path> path(SettingsReader in, Setting<String> row) {
            return Optional.of(in.getOr(row, "")).filter(text -> !text.isEmpty()).map(Path::of);
        }
    }

    /** Section {@code [config]}: changes of the deployment document. */
    public record Config(int retryMs, int settleWaitMs, int domainWaitMs) {
        private static Config from(SettingsReader in) {
            return new Config(
                    in.get(DaemonSetting.CONFIG_RETRY_MS),
                    in.get(DaemonSetting.SETTLE_WAIT_MS),
                    in.get(DaemonSetting.DOMAIN_WAIT_MS));
        }
    }

    /** Section {@code [limits]}: what new work and recoveries are let in. */
    public record Limits(
            boolean classShares,
            boolean queueDeadlines,
            boolean fairShares,
            boolean predictedRefusal,
            boolean recoveryAdmission,
            int headroomPercent,
            int overcommitPercent,
            int burstPercent,
            int recoverySharePercent,
            int maxQueued) {
        private static Limits from(SettingsReader in) {
            return new Limits(
                    in.get(DaemonSetting.CLASS_SHARES),
                    in.get(DaemonSetting.QUEUE_DEADLINES),
                    in.get(DaemonSetting.FAIR_SHARES),
                    in.get(DaemonSetting.PREDICTED_REFUSAL),
                    in.get(DaemonSetting.RECOVERY_ADMISSION),
                    in.get(DaemonSetting.HEADROOM_PERCENT),
                    in.get(DaemonSetting.OVERCOMMIT_PERCENT),
                    in.get(DaemonSetting.BURST_PERCENT),
                    in.get(DaemonSetting.RECOVERY_SHARE_PERCENT),
                    in.get(DaemonSetting.MAX_QUEUED));
        }
    }

    /** Section {@code [retries]}: second and later sends of new work. */
    public record Retries(int budgetPercent, int budgetFloor, int maxSends) {
        private static Retries from(SettingsReader in) {
            return new Retries(
                    in.get(DaemonSetting.BUDGET_PERCENT),
                    in.get(DaemonSetting.BUDGET_FLOOR),
                    in.get(DaemonSetting.MAX_SENDS));
        }
    }

    /** Section {@code [copies]}: what keeping copies of running generations may cost. */
    public record Copies(int framesPerS) {}

    /** Section {@code [routing]}. */
    public record Routing(ChooserKind chooser) {}
}
