package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.operators.OperatorAccess;
import org.masticweir.security.OperatorCredentials;
import org.masticweir.security.ReloadedFiles;
import org.masticweir.security.ServerKeys;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.time.Clock;

/** How the ports of callers, operators and routers are guarded, as the settings say; immutable. */
final class PortSecurity {
    private final Optional<SSLContext> tls;
    private final Optional<SSLContext> peers;
    private final OperatorAccess operators;

    private PortSecurity(
            Optional<SSLContext> tls, Optional<SSLContext> peers, OperatorAccess operators) {
        this.tls = checkNotNull(tls, "tls");
        this.peers = checkNotNull(peers, "peers");
        this.operators = checkNotNull(operators, "operators");
    }

    /**
     * Reads the files that {@code settings} name.
     *
     * @throws MasticweirException if one of them can't be used; the message names its key
     */
    static PortSecurity of(DaemonSettings.Security settings, Clock clock) {
        Optional<SSLContext> tls =
                settings.keystoreFile()
                        .map(store -> tls(store, settings.keystorePasswordFile(), clock));
        OperatorAccess operators =
                settings.operatorCredentialsFile()
                        .map(file -> access(file, clock))
                        .orElseGet(OperatorAccess::open);
        Optional<SSLContext> peers =
                settings.peerKeystoreFile().map(store -> peers(store, settings, clock));
        return new PortSecurity(tls, peers, operators);
    }

    /** Returns the keys of the links to other routers; empty when those use no TLS. */
    Optional<SSLContext> peers() {
        return peers;
    }

    /** Returns who may use the operators' port. */
    OperatorAccess operators() {
        return operators;
    }

    /** Adds a listener at {@code address}, with TLS where the settings name a key. */
    void listen(Undertow.Builder server, InetSocketAddress address) {
        int port = address.getPort();
        String host = address.getHostString();
        if (tls.isPresent()) {
            server.addHttpsListener(port, host, tls.get());
        } else {
            server.addHttpListener(port, host);
        }
    }

    private static SSLContext tls(Path store, Optional<Path> password, Clock clock) {
        try {
            return ServerKeys.serving(store, password.orElseThrow(), clock);
        } catch (IOException | IllegalArgumentException e) {
            throw invalid("keystore_file", store, e);
        }
    }

    private static SSLContext peers(Path store, DaemonSettings.Security settings, Clock clock) {
        Path password = settings.peerKeystorePasswordFile().orElseThrow();
        Path trust = settings.peerTrustFile().orElseThrow();
        try {
            return ServerKeys.mutual(store, password, trust, clock);
        } catch (IOException | IllegalArgumentException e) {
            throw invalid("peer_keystore_file with peer_trust_file", store, e);
        }
    }

    private static OperatorAccess access(Path file, Clock clock) {
        try {
            ReloadedFiles<OperatorCredentials> credentials =
                    ReloadedFiles.open(
                            ImmutableList.of(file),
                            contents ->
                                    OperatorCredentials.parse(
                                            new String(contents.get(0), StandardCharsets.UTF_8)),
                            clock);
            return OperatorAccess.requiring(credentials::get);
        } catch (IOException | IllegalArgumentException e) {
            throw invalid("operator_credentials_file", file, e);
        }
    }

    private static MasticweirException invalid(String key, Path file, Exception cause) {
        return MasticweirException.causedBy(
                ErrorCode.SETTINGS_INVALID,
                Verdict.NOT_RUN,
                "[security] " + key + " = " + file + ": the file can't be used, " + reason(cause),
                cause);
    }

    private static String reason(Exception cause) {
        // The message of a missing file is its name alone.
        return cause instanceof IOException ? "it can't be read" : cause.getMessage();
    }
}
