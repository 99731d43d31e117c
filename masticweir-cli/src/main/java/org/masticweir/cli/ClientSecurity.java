package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.http.Dialer;
import org.masticweir.security.ServerKeys;
import org.xnio.XnioWorker;

/** How the command line shows who it is and knows the router; immutable. */
final class ClientSecurity {
    private final Optional<String> authorization;
    private final Optional<SSLContext> tls;

    private ClientSecurity(Optional<String> authorization, Optional<SSLContext> tls) {
        this.authorization = checkNotNull(authorization, "authorization");
        this.tls = checkNotNull(tls, "tls");
    }

    /**
     * Reads the files that the options name.
     *
     * @throws MasticweirException if one of them can't be used
     */
    static ClientSecurity read(Optional<Path> credentialFile, Optional<Path> trustFile) {
        return new ClientSecurity(
                credentialFile.map(ClientSecurity::bearer), trustFile.map(ClientSecurity::trust));
    }

    /** Returns the header that shows the operator's credential. */
    Optional<String> authorization() {
        return authorization;
    }

    /** Connects to {@code router}; by TLS, its certificate must be for its IP number. */
    void connect(
            ClientCallback<ClientConnection> callback,
            InetSocketAddress router,
            XnioWorker worker,
            ByteBufferPool buffers) {
        Dialer dialer = tls.map(Dialer::tls).orElse(Dialer.tcp());
        dialer.dial(router, worker.getIoThread(), buffers, callback);
    }

    private static String bearer(Path file) {
        String text = new String(read("--credential-file", file), StandardCharsets.UTF_8);
        return "Bearer " + text.lines().findFirst().orElse("").trim();
    }

    private static SSLContext trust(Path file) {
        try {
            return ServerKeys.trusting(read("--trust-file", file));
        } catch (IOException | IllegalArgumentException e) {
            throw unusable("--trust-file", file, "it holds no certificate");
        }
    }

    private static byte[] read(String option, Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw unusable(option, file, "it can't be read");
        }
    }

    private static MasticweirException unusable(String option, Path file, String why) {
        return MasticweirException.notRun(
                ErrorCode.SETTINGS_INVALID, option + " " + file + ": " + why);
    }
}
