package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import javax.net.ssl.SSLContext;
import org.masticweir.security.ServerKeys;

/** The key, password and certificate files of a router on loopback, made by the JDK's keytool. */
final class KeyFiles {
    private static final String PASSWORD = "not-a-secret";
    private static final String KEYTOOL =
            Path.of(System.getProperty("java.home"), "bin/keytool").toString();

    private final Path directory;

    private KeyFiles(Path directory) {
        this.directory = directory;
    }

    /** Makes a first key in {@code directory}. */
    static KeyFiles in(Path directory) {
        KeyFiles files = new KeyFiles(directory);
        try {
            Files.writeString(files.password(), PASSWORD + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        files.renew();
        return files;
    }

    Path store() {
        return directory.resolve("router.p12");
    }

    Path password() {
        return directory.resolve("router.password");
    }

    /** Returns the certificate of the current key. */
    Path certificate() {
        return directory.resolve("router.pem");
    }

    /** Returns a client's context that trusts the certificate of the current key only. */
    SSLContext trusting() {
        try {
            return ServerKeys.trusting(Files.readAllBytes(certificate()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Replaces key and certificate by new ones. */
    void renew() {
        Path next = directory.resolve("next.p12");
        keytool(
                next,
                "-genkeypair",
                "-keyalg",
                "EC",
                "-alias",
                "router",
                "-dname",
                "CN=router",
                "-ext",
                "san=ip:127.0.0.1");
        keytool(next, "-exportcert", "-rfc", "-alias", "router", "-file", certificate().toString());
        try {
            Files.move(next, store(), StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void keytool(Path store, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(KEYTOOL);
        command.addAll(List.of(arguments));
        command.addAll(List.of("-storetype", "PKCS12", "-keystore", store.toString()));
        command.addAll(List.of("-storepass", PASSWORD));
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .start();
            assertEquals(0, process.waitFor(), () -> "keytool " + arguments[0]);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }
}
