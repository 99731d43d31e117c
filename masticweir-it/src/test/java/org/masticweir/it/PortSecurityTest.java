package org.masticweir.it;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.masticweir.http.IpAddress;

/** A router whose ports of callers and operators are guarded by files. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class PortSecurityTest {
    private static final int HEAP_MB = 96;
    private static final long READY_BOUND_MS = 20_000;
    private static final long RELOAD_BOUND_MS = 10_000;
    private static final long RUN_BOUND_MS = 30_000;
    private static final String SETTINGS =
            """
            [security]
            keystore_file = %s
            keystore_password_file = %s
            operator_credentials_file = %s
            """;

    private final Processes processes = Processes.inNew("security");
    private final Path directory = processes.directory();
    private final Path credentials = directory.resolve("operators");
    private KeyFiles keys;
    private TestBed bed;
    private RouterPorts ports;

    @BeforeAll
    void start() throws IOException {
        keys = KeyFiles.in(directory);
        admit("anna", "first-secret");
        bed = TestBed.startWithoutRouters();
        ports = RouterPorts.of(ServerPorts.choose(RouterPorts.COUNT));
        String more = String.format(SETTINGS, keys.store(), keys.password(), credentials);
        String settings = RouterIni.of("s1", "a", ports, ports.peers(), bed.platform(), more);
        ChildProcess router = processes.router("s1", HEAP_MB, settings);
        Await.get("router ready", router.ready(), READY_BOUND_MS);
        Await.until("serving", READY_BOUND_MS, () -> ready(keys.trusting()));
    }

    @AfterAll
    void stop() {
        processes.close();
        if (bed != null) {
            bed.close();
        }
    }

    private void admit(String operator, String credential) throws IOException {
        String hash = Hashing.sha256().hashString(credential, UTF_8).toString();
        Files.writeString(credentials, operator + " = " + hash + "\n");
    }

    private boolean ready(SSLContext trust) {
        try {
            HttpRequest ask = HttpRequest.newBuilder(at(ports.callers(), "/v1/ready")).build();
            return send(trust, ask).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static URI at(InetSocketAddress port, String path) {
        return URI.create("https://" + IpAddress.text(port) + path);
    }

    /** Sends on a connection of its own, so that each call sees the certificate of its time. */
    private static HttpResponse<String> send(SSLContext trust, HttpRequest request)
            throws IOException {
        HttpClient client =
                HttpClient.newBuilder()
                        .sslContext(trust)
                        .connectTimeout(Duration.ofMillis(READY_BOUND_MS))
                        .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }

    private int statusFor(String credential) {
        HttpRequest ask =
                HttpRequest.newBuilder(at(ports.operators(), "/v1/status"))
                        .header("Authorization", "Bearer " + credential)
                        .build();
        try {
            return send(keys.trusting(), ask).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private CommandLineRun command(String... arguments) {
        return Await.get(
                "command",
                CommandLineRun.start(directory, ports.operators(), arguments),
                RUN_BOUND_MS);
    }

    /** A caller is served by TLS, whole and streamed. */
    @Nested
    final class Callers {
        @Test
        void receiveEachTokenOnce() throws IOException {
            String body =
                    "{\"class\":\"reports\",\"model\":\"report\",\"idempotency_key\":\"tls-1\","
                            + "\"prompt\":[1,2,3],\"max_tokens\":40}";
            HttpRequest ask =
                    HttpRequest.newBuilder(at(ports.callers(), "/v1/requests"))
                            .header("Masticweir-Team", "north")
                            .header("Authorization", "Bearer north-secret")
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build();
            HttpResponse<String> answer = send(keys.trusting(), ask);
            assertEquals(200, answer.statusCode(), answer::body);
            assertEquals(40, answer.body().lines().filter(l -> l.startsWith("id:")).count());
            assertTrue(answer.body().contains("\"verdict\":\"COMPLETED\""), answer::body);
        }

        @Test
        void whoTrustAnotherCertificateAreNotConnected() {
            KeyFiles others = KeyFiles.in(processes.directory().getParent());
            HttpRequest ask = HttpRequest.newBuilder(at(ports.callers(), "/v1/ready")).build();
            assertThrows(SSLException.class, () -> send(others.trusting(), ask));
        }
    }

    /**
     * Somebody without a credential reaches the operators' port, or an operator who has left.
     *
     * <p>Each is refused and nothing is done; who is named in the file is served. The cause is a
     * port that more people reach than may use it.
     */
    @Nested
    final class Operators {
        @Test
        void withoutTheirCredentialAreRefused() {
            assertEquals(401, statusFor("wrong"));
            CommandLineRun refused =
                    command("drain", "--trust-file", keys.certificate().toString());
            assertTrue(refused.err().contains("UNAUTHORIZED"), refused::toString);
            assertTrue(ready(keys.trusting()), "nothing drained");
        }

        @Test
        void withTheCommandLineAreServed() throws IOException {
            Path mine = Files.writeString(directory.resolve("mine"), "first-secret\n");
            CommandLineRun status =
                    command(
                            "status",
                            "--trust-file",
                            keys.certificate().toString(),
                            "--credential-file",
                            mine.toString());
            assertEquals(0, status.exit(), status::toString);
            assertTrue(status.out().contains("s1"), status::toString);
        }

        @Test
        void areTakenFromTheFileWithoutARestart() throws IOException {
            admit("bo", "second-secret");
            Await.until("admitted", RELOAD_BOUND_MS, () -> statusFor("second-secret") == 200);
            assertEquals(401, statusFor("first-secret"));
            admit("anna", "first-secret");
            Await.until("again", RELOAD_BOUND_MS, () -> statusFor("first-secret") == 200);
        }
    }

    /**
     * A certificate is about to expire and is replaced while the router serves.
     *
     * <p>New connections see the new one without a restart. The cause is the certificate's age.
     */
    @Nested
    final class Renewal {
        @Test
        void newConnectionsSeeTheNewCertificate() {
            SSLContext old = keys.trusting();
            keys.renew();
            Await.until("renewed", RELOAD_BOUND_MS, () -> ready(keys.trusting()));
            assertTrue(!ready(old), "the old certificate is no longer shown");
        }
    }
}
