package org.masticweir.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import javax.net.ssl.SSLContext;
import org.masticweir.security.ServerKeys;
import org.masticweir.time.Clock;

/**
 * Keys of an authority, of a router that it signed and of a stranger, made by the JDK's keytool.
 *
 * <p>The stranger's own certificate bears the authority's name, so that it is shown where one of
 * the authority is asked for.
 */
final class PeerKeyFiles {
    private static final String PASSWORD = "not-a-secret";
    private static final String KEYTOOL =
            Path.of(System.getProperty("java.home"), "bin/keytool").toString();

    private final Path directory;

    private PeerKeyFiles(Path directory) {
        this.directory = directory;
    }

    static PeerKeyFiles in(Path directory) throws IOException, InterruptedException {
        PeerKeyFiles f = new PeerKeyFiles(directory);
        Files.writeString(f.file("password"), PASSWORD + "\n");
        f.make("authority", "authority", "bc:c=ca:true");
        f.make("stranger", "authority", "ku:c=digitalSignature");
        f.make("router", "router", "ku:c=digitalSignature");
        f.keytool("router", "-certreq", "-file", f.file("router.csr").toString());
        f.keytool(
                "authority",
                "-gencert",
                "-rfc",
                "-infile",
                f.file("router.csr").toString(),
                "-outfile",
                f.file("router.pem").toString());
        Path chain = f.file("chain.pem");
        Files.writeString(
                chain, Files.readString(f.pem("router")) + Files.readString(f.pem("authority")));
        f.keytool("router", "-importcert", "-noprompt", "-file", chain.toString());
        return f;
    }

    private Path file(String name) {
        return directory.resolve(name);
    }

    Path store(String name) {
        return file(name + ".p12");
    }

    Path pem(String name) {
        return file(name + ".pem");
    }

    /** Returns keys that read the named files in {@code into}, which {@link #replace} replaces. */
    SSLContext keys(Path into, String store, String trust, Clock clock) throws IOException {
        replace(into, store, trust);
        return ServerKeys.mutual(
                into.resolve("store.p12"), file("password"), into.resolve("trust.pem"), clock);
    }

    void replace(Path into, String store, String trust) throws IOException {
        Files.copy(store(store), into.resolve("store.p12"), StandardCopyOption.REPLACE_EXISTING);
        Files.copy(pem(trust), into.resolve("trust.pem"), StandardCopyOption.REPLACE_EXISTING);
    }

    private void make(String name, String subject, String extension)
            throws IOException, InterruptedException {
        keytool(name, "-genkeypair", "-keyalg", "EC", "-dname", "CN=" + subject, "-ext", extension);
        keytool(name, "-exportcert", "-rfc", "-file", pem(name).toString());
    }

    private void keytool(String name, String... arguments)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(KEYTOOL));
        command.addAll(List.of(arguments));
        command.addAll(List.of("-alias", "key", "-storetype", "PKCS12"));
        command.addAll(List.of("-keystore", store(name).toString(), "-storepass", PASSWORD));
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        assertEquals(0, process.waitFor(), () -> "keytool " + arguments[0]);
    }
}
