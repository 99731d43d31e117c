package org.masticweir.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.time.Clock;
import org.masticweir.time.ManualClock;

/** Links between routers under TLS, over loopback. */
class SecureLinkTest {
    private static final RouterId A = RouterId.of("a");
    private static final RouterId B = RouterId.of("b");
    private static final long LONG_MS = 60_000;
    private static final long WAIT_S = 20;
    private static final int HANDSHAKE_MS = 2_000;

    @TempDir private static Path made;
    private static PeerKeyFiles files;

    private final ManualClock fileClock = ManualClock.startingAt(1_000);
    private final List<PeerLinks> open = new ArrayList<>();
    @TempDir private Path inUse;

    @BeforeAll
    static void makeKeys() throws IOException, InterruptedException {
        files = PeerKeyFiles.in(made);
    }

    @AfterEach
    void closeAll() {
        open.forEach(PeerLinks::close);
    }

    private PeerLinks links(RouterId id, Optional<SSLContext> keys) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        PeerLinks l =
                PeerLinks.open(
                        LinkSettings.of(any, 42).withHandshakeMs(HANDSHAKE_MS),
                        Hello.of(id, 1, DomainId.of("d1")),
                        MessageRegistry.of(List.of(Note.Codec.plain())),
                        Clock.system(),
                        keys);
        open.add(l);
        l.on(Note.class, (from, note, reply) -> reply.send(note));
        l.start();
        return l;
    }

    private Path directory(RouterId id) throws IOException {
        return Files.createDirectories(inUse.resolve(id.value()));
    }

    private PeerLinks secure(RouterId id, String store, String trust) throws IOException {
        return links(id, Optional.of(files.keys(directory(id), store, trust, fileClock)));
    }

    private static PeerMessage ask(PeerLinks from, RouterId to, Note note) throws Exception {
        return from.ask(to, note, LONG_MS).get(WAIT_S, TimeUnit.SECONDS);
    }

    /** Asks once and expects the link to be refused before anything was handed over. */
    private static void assertRefused(PeerLinks from, RouterId to, PeerLinks by) {
        from.learn(to, by.address());
        ExecutionException e =
                assertThrows(ExecutionException.class, () -> ask(from, to, new Note(1, "")));
        MasticweirException refused = (MasticweirException) e.getCause();
        assertEquals(Verdict.NOT_RUN, refused.verdict(), refused.getMessage());
        assertEquals(0, by.counters().type(Note.TYPE).framesIn());
    }

    /** Routers whose certificates one authority signed. */
    @Nested
    class Trusted {
        @Test
        void messagesOfAllSizesPassBothWays() throws Exception {
            PeerLinks a = secure(A, "router", "authority");
            PeerLinks b = secure(B, "router", "authority");
            a.learn(B, b.address());
            b.learn(A, a.address());
            long beginNs = System.nanoTime();
            ask(a, B, new Note(0, ""));
            System.out.printf(
                    "first link up in %d ms%n", (System.nanoTime() - beginNs) / 1_000_000);
            List<CompletableFuture<PeerMessage>> answers = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                Note note = new Note(i, "x".repeat(i * 100));
                answers.add(a.ask(B, note, LONG_MS));
                answers.add(b.ask(A, note, LONG_MS));
            }
            for (int i = 0; i < answers.size(); i++) {
                Note note = (Note) answers.get(i).get(WAIT_S, TimeUnit.SECONDS);
                assertEquals(new Note(i / 2, "x".repeat(i / 2 * 100)), note);
            }
            Note big = new Note(7, "y".repeat(Note.MAX_TEXT_BYTES));
            List<CompletableFuture<PeerMessage>> bigs = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                bigs.add(a.ask(B, big, LONG_MS));
            }
            for (CompletableFuture<PeerMessage> answer : bigs) {
                assertEquals(big, answer.get(WAIT_S, TimeUnit.SECONDS));
            }
            assertEquals(0, a.counters().malformed() + b.counters().malformed());
        }

        /**
         * An operator replaces a router's key and the others' trust without a restart. Open links
         * stay; the next dial goes by the new files, and finds the peer once its key fits.
         */
        @Test
        void replacedFilesHoldForTheNextLink() throws Exception {
            PeerLinks a = secure(A, "router", "authority");
            PeerLinks b = secure(B, "router", "authority");
            a.learn(B, b.address());
            ask(a, B, new Note(1, ""));
            files.replace(directory(A), "router", "stranger");
            fileClock.advanceMs(5_000);
            ask(a, B, new Note(2, ""));
            a.forget(B);
            LinkedBlockingQueue<String> seen = SeenLinks.of(a);
            a.learn(B, b.address());
            assertThrows(ExecutionException.class, () -> ask(a, B, new Note(3, "")));
            files.replace(directory(B), "stranger", "authority");
            fileClock.advanceMs(5_000);
            assertEquals("up", seen.poll(WAIT_S, TimeUnit.SECONDS));
            ask(a, B, new Note(4, ""));
        }
    }

    /** Who has no right to a link. */
    @Nested
    class Refused {
        /**
         * Somebody in the routers' network dials the peer port with a certificate of its own. It
         * would read and take over requests; nothing of it may reach a handler.
         */
        @Test
        void dialWithAStrangersCertificate() throws Exception {
            PeerLinks a = secure(A, "router", "authority");
            PeerLinks stranger = secure(B, "stranger", "authority");
            assertRefused(stranger, A, a);
            assertTrue(a.counters().malformed() > 0);
        }

        /** The address of a router was given to a process with a certificate of its own. */
        @Test
        void listenerWithAStrangersCertificate() throws Exception {
            PeerLinks a = secure(A, "router", "authority");
            PeerLinks stranger = secure(B, "stranger", "authority");
            assertRefused(a, B, stranger);
            assertTrue(a.counters().malformed() > 0);
        }

        /** A router without keys is started among others with keys: neither side gets a link. */
        @Test
        void plainPeerOfASecureOne() throws Exception {
            PeerLinks a = secure(A, "router", "authority");
            PeerLinks plain = links(B, Optional.empty());
            assertRefused(plain, A, a);
            assertRefused(a, B, plain);
            assertTrue(a.counters().malformed() > 0);
            assertTrue(plain.counters().malformed() > 0);
        }
    }

    /** Handshakes that are not finished. */
    @Nested
    class Unfinished {
        /**
         * A connection sends half a greeting of TLS and then nothing. It would hold its socket and
         * the router's memory for good.
         */
        @Test
        void hangingHandshakeIsClosed() throws Exception {
            PeerLinks a = secure(A, "router", "authority");
            assertEquals(-1, endAfter(a, new byte[] {0x16, 3, 1, 1, 0, 1, 0}));
        }

        /** A connection claims long handshake records and sends ever more of them. */
        @Test
        void oversizeHandshakeIsClosed() throws Exception {
            PeerLinks a = secure(A, "router", "authority");
            byte[] flood = new byte[SecureChannel.MAX_HANDSHAKE_BYTES * 4];
            flood[0] = 0x16;
            flood[1] = 3;
            flood[2] = 1;
            flood[3] = 0x40;
            assertEquals(-1, endAfter(a, flood));
            assertTrue(a.counters().malformed() > 0);
        }

        /** Sends {@code bytes} and returns what a read at the end of the connection gives. */
        private int endAfter(PeerLinks to, byte[] bytes) throws IOException {
            try (Socket s = new Socket(to.address().getAddress(), to.address().getPort())) {
                s.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_S));
                OutputStream out = s.getOutputStream();
                out.write(bytes);
                int n = s.getInputStream().read();
                while (n >= 0) {
                    n = s.getInputStream().read();
                }
                return n;
            } catch (SocketException e) {
                // Closed with bytes unread, which resets the connection.
                return -1;
            }
        }
    }
}
