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
        in.checkOrder(ProcessSetting.INSTANCES_POLL_MS, ProcessSetting.INSTANCES_POLL_MAX_MS);
        in.checkOrder(ControlSetting.HEARTBEAT_MS, ControlSetting.HEARTBEAT_MAX_MS);
        in.checkAbove(ControlSetting.HEARTBEAT_MS, 2, ControlSetting.SUSPECT_MS);
        in.checkAbove(ControlSetting.SUSPECT_MS, 1, ControlSetting.DEAD_MS);
        in.checkOrder(ServingSetting.SILENCE_FLOOR_MS, ServingSetting.SILENCE_START_MS);
        in.checkTogether(ProcessSetting.KEYSTORE_FILE, ProcessSetting.KEYSTORE_PASSWORD_FILE);
        in.checkTogether(
                ProcessSetting.PEER_KEYSTORE_FILE, ProcessSetting.PEER_KEYSTORE_PASSWORD_FILE);
        in.checkTogether(ProcessSetting.PEER_KEYSTORE_FILE, ProcessSetting.PEER_TRUST_FILE);
        return new DaemonSettings(
                Router.from(in),
                Platform.from(in),
                new Log(in.get(ProcessSetting.LOG_LAYOUT), in.get(ProcessSetting.LOG_LEVEL)),
                Callers.from(in),
                Recovery.from(in),
                Engines.from(in),
                Peers.from(in),
                Claims.from(in),
                new Control(
                        in.get(ControlSetting.UNLOAD_AFTER_MS),
                        in.get(ControlSetting.LOAD_TIMEOUT_MS)),
                Security.from(in),
                Config.from(in),
                new Shutdown(
                        in.get(ControlSetting.BALANCER_LAG_MS), in.get(ControlSetting.DRAIN_MS)),
                Limits.from(in),
                Retries.from(in),
                new Copies(in.get(ServingSetting.COPY_FRAMES_PER_S)),
                new Routing(in.get(ServingSetting.CHOOSER)));
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
            InetSocketAddress peerAddress = in.get(ProcessSetting.PEER_ADDRESS);
            return new Router(
                    in.get(ProcessSetting.ID),
                    in.get(ProcessSetting.DOMAIN),
                    in.get(ProcessSetting.CALLER_ADDRESS),
                    in.get(ProcessSetting.OPERATOR_ADDRESS),
                    peerAddress,
                    in.getOr(ProcessSetting.ADVERTISED_PEER_ADDRESS, peerAddress),
                    in.get(ProcessSetting.IO_THREADS));
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
                    in.get(ProcessSetting.PLATFORM_ADDRESS),
                    in.get(ProcessSetting.PLATFORM_DEADLINE_MS),
                    in.get(ProcessSetting.CONFIG_POLL_MS),
                    in.get(ProcessSetting.INSTANCES_POLL_MS),
                    in.get(ProcessSetting.INSTANCES_POLL_MAX_MS),
                    in.get(ProcessSetting.INSTANCES_BYTES_PER_S));
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
                    in.get(ServingSetting.MAX_BODY_BYTES),
                    in.get(ServingSetting.MAX_HEADER_BYTES),
                    in.get(ServingSetting.MAX_REQUESTS),
                    in.get(ServingSetting.STALL_MS),
                    in.get(ServingSetting.ORPHAN_MS),
                    in.get(ServingSetting.MAX_TEAMS_SHOWN));
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
                    in.get(ServingSetting.PROBE_TIMEOUT_MS),
                    in.get(ServingSetting.SILENCE_FLOOR_MS),
                    in.get(ServingSetting.SILENCE_START_MS),
                    in.get(ServingSetting.CONNECT_TIMEOUT_MS),
                    in.get(ServingSetting.MAX_ATTEMPTS));
        }
    }

    /** Section {@code [engines]}: reading the engines' reports. */
    public record Engines(int statePollMs, int shareAbove, int sharedPollMs) {
        private static Engines from(SettingsReader in) {
            return new Engines(
                    in.get(ServingSetting.STATE_POLL_MS),
                    in.get(ServingSetting.SHARE_ABOVE),
                    in.get(ServingSetting.SHARED_POLL_MS));
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
                    in.get(ControlSetting.HEARTBEAT_MS),
                    in.get(ControlSetting.HEARTBEAT_MAX_MS),
                    in.get(ControlSetting.HEARTBEAT_BYTES_PER_S),
                    in.get(ControlSetting.SUSPECT_MS),
                    in.get(ControlSetting.DEAD_MS),
                    in.get(ControlSetting.LINK_SILENCE_MS),
                    in.get(ControlSetting.HANDSHAKE_MS));
        }
    }

    /** Section {@code [shutdown]}: how a router leaves. */
    public record Shutdown(int balancerLagMs, int drainMs) {}

    /** Section {@code [claims]}: claims of requests that run at most once. */
    public record Claims(
            int batchWaitMs, int retentionMs, int shareAbove, int writerWaitMs, int writerAvoidMs) {
        private static Claims from(SettingsReader in) {
            return new Claims(
                    in.get(ControlSetting.BATCH_WAIT_MS),
                    in.get(ControlSetting.RETENTION_MS),
                    in.get(ControlSetting.CLAIMS_SHARE_ABOVE),
                    in.get(ControlSetting.WRITER_WAIT_MS),
                    in.get(ControlSetting.WRITER_AVOID_MS));
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
                    path(in, ProcessSetting.KEYSTORE_FILE),
                    path(in, ProcessSetting.KEYSTORE_PASSWORD_FILE),
                    path(in, ProcessSetting.OPERATOR_CREDENTIALS_FILE),
                    path(in, ProcessSetting.PEER_KEYSTORE_FILE),
                    path(in, ProcessSetting.PEER_KEYSTORE_PASSWORD_FILE),
                    path(in, ProcessSetting.PEER_TRUST_FILE));
        }

        private static Optional<Path> path(SettingsReader in, Setting<String> row) {
            return Optional.of(in.getOr(row, "")).filter(text -> !text.isEmpty()).map(Path::of);
        }
    }

    /** Section {@code [config]}: changes of the deployment document. */
    public record Config(int retryMs, int settleWaitMs, int domainWaitMs) {
        private static Config from(SettingsReader in) {
            return new Config(
                    in.get(ControlSetting.CONFIG_RETRY_MS),
                    in.get(ControlSetting.SETTLE_WAIT_MS),
                    in.get(ControlSetting.DOMAIN_WAIT_MS));
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
            int shareExchangeMs,
            int maxQueued) {
        /** Returns the limits of a daemon whose settings leave them out. */
        public static Limits defaults() {
            return from(SettingsReader.ofDefaults());
        }

        private static Limits from(SettingsReader in) {
            return new Limits(
                    in.get(ServingSetting.CLASS_SHARES),
                    in.get(ServingSetting.QUEUE_DEADLINES),
                    in.get(ServingSetting.FAIR_SHARES),
                    in.get(ServingSetting.PREDICTED_REFUSAL),
                    in.get(ServingSetting.RECOVERY_ADMISSION),
                    in.get(ServingSetting.HEADROOM_PERCENT),
                    in.get(ServingSetting.OVERCOMMIT_PERCENT),
                    in.get(ServingSetting.BURST_PERCENT),
                    in.get(ServingSetting.RECOVERY_SHARE_PERCENT),
                    in.get(ServingSetting.SHARE_EXCHANGE_MS),
                    in.get(ServingSetting.MAX_QUEUED));
        }
    }

    /** Section {@code [retries]}: second and later sends of new work. */
    public record Retries(int budgetPercent, int budgetFloor, int maxSends) {
        private static Retries from(SettingsReader in) {
            return new Retries(
                    in.get(ServingSetting.BUDGET_PERCENT),
                    in.get(ServingSetting.BUDGET_FLOOR),
                    in.get(ServingSetting.MAX_SENDS));
        }
    }

    /** Section {@code [copies]}: what keeping copies of running generations may cost. */
    public record Copies(int framesPerS) {}

    /** Section {@code [routing]}. */
    public record Routing(ChooserKind chooser) {}
}
