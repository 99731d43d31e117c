package org.masticweir.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.time.Clock;

/** Links between routers over loopback. */
class PeerLinksTest {
    private static final RouterId A = RouterId.of("a");
    private static final RouterId B = RouterId.of("b");
    private static final DomainId DOMAIN = DomainId.of("d1");
    private static final long LONG_MS = 60_000;
    private static final long WAIT_S = 10;

    private final List<PeerLinks> open = new ArrayList<>();

    @AfterEach
    void closeAll() {
        open.forEach(PeerLinks::close);
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private PeerLinks links(RouterId id, long incarnation, int port, MessageCodec<?> codec) {
        return links(
                id,
                incarnation,
                new LinkSettings(loopback(port), 2000, 1 << 20, 1, 20, 2000, 42),
                codec);
    }

    private PeerLinks links(
            RouterId id, long incarnation, LinkSettings settings, MessageCodec<?> codec) {
        PeerLinks l =
                PeerLinks.open(
                        settings,
                        Hello.of(id, incarnation, DOMAIN),
                        MessageRegistry.of(List.of(codec)),
                        Clock.system());
        open.add(l);
        return l;
    }

    private PeerLinks links(RouterId id, long incarnation, int port) {
        return links(id, incarnation, port, Note.Codec.plain());
    }

    private static PeerLinks echoing(PeerLinks l) {
        l.on(Note.class, (from, note, reply) -> reply.send(new Note(note.number(), from.value())));
        l.start();
        return l;
    }

    private static PeerMessage get(CompletableFuture<PeerMessage> f) throws Exception {
        return f.get(WAIT_S, TimeUnit.SECONDS);
    }

    private static MasticweirException failureOf(CompletableFuture<PeerMessage> f) {
        ExecutionException e = assertThrows(ExecutionException.class, () -> get(f));
        return (MasticweirException) e.getCause();
    }

    /** Puts the incarnations and losses that a router's outgoing links see into a queue. */
    private static LinkedBlockingQueue<String> events(PeerLinks l) {
        LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();
        l.listen(
                new LinkListener() {
                    @Override
                    public void linkUp(Hello peer, LinkDirection d) {
                        seen.add("up " + d + " " + peer.router() + " " + peer.incarnation());
                    }

                    @Override
                    public void linkDown(RouterId peer, LinkDirection d) {
                        seen.add("down " + d + " " + peer);
                    }
                });
        return seen;
    }

    /** Messages and replies while both sides live. */
    @Nested
    class Asking {
        @Test
        void repliesComeBackToTheirAsks() throws Exception {
            PeerLinks a = echoing(links(A, 1, 0));
            PeerLinks b = echoing(links(B, 1, 0));
            a.learn(B, b.address());
            List<CompletableFuture<PeerMessage>> answers = new ArrayList<>();
            for (int i = 0; i < 1000; i++) {
                answers.add(a.ask(B, new Note(i, ""), LONG_MS));
            }
            for (int i = 0; i < 1000; i++) {
                assertEquals(new Note(i, "a"), get(answers.get(i)));
            }
            Traffic t = a.counters().peer(B);
            assertEquals(1000, t.framesOut());
            assertEquals(1000, t.framesIn());
            assertEquals(t.bytesOut(), a.counters().type(Note.TYPE).bytesOut());
            assertEquals(t.bytesOut(), b.counters().peer(A).bytesIn());
        }

        @Test
        void oneWayMessageArrivesOnce() throws Exception {
            PeerLinks a = echoing(links(A, 1, 0));
            PeerLinks b = links(B, 1, 0);
            LinkedBlockingQueue<Note> got = new LinkedBlockingQueue<>();
            b.on(
                    Note.class,
                    (from, note, reply) -> {
                        assertFalse(reply.send(note));
                        got.add(note);
                    });
            b.start();
            a.learn(B, b.address());
            assertTrue(a.send(B, new Note(5, "x")));
            assertEquals(new Note(5, "x"), got.poll(WAIT_S, TimeUnit.SECONDS));
        }

        @Test
        void handlersFaultFailsTheAskAndKeepsTheLink() throws Exception {
            PeerLinks a = echoing(links(A, 1, 0));
            PeerLinks b = links(B, 1, 0);
            b.on(
                    Note.class,
                    (from, note, reply) -> {
                        if (note.number() == 0) {
                            throw new IllegalStateException("fault");
                        }
                        reply.send(note);
                    });
            b.start();
            a.learn(B, b.address());
            assertEquals(ErrorCode.INTERNAL, failureOf(a.ask(B, new Note(0, ""), LONG_MS)).code());
            assertEquals(new Note(1, ""), get(a.ask(B, new Note(1, ""), LONG_MS)));
        }

        @Test
        void unknownTypeIsSkippedCountedAndRefused() {
            PeerLinks a = echoing(links(A, 1, 0, new Note.Codec(Note.TYPE + 1, 0)));
            PeerLinks b = echoing(links(B, 1, 0));
            a.learn(B, b.address());
            assertEquals(Verdict.NOT_RUN, failureOf(a.ask(B, new Note(0, ""), LONG_MS)).verdict());
            assertEquals(1, b.counters().unknown());
        }
    }

    /** Peers that die, restart, move or pause. */
    @Nested
    class Losing {
        /**
         * A caller waits while a copy is asked of a peer. The peer's process dies with the ask in
         * hand. Its socket closes; the ask must fail then and not at its time-out of a minute.
         */
        @Test
        void peerKilledMidAskFailsTheAskAtOnce() throws Exception {
            PeerLinks a = echoing(links(A, 1, 0));
            PeerLinks b = links(B, 1, 0);
            CountDownLatch asked = new CountDownLatch(1);
            b.on(Note.class, (from, note, reply) -> asked.countDown());
            b.start();
            a.learn(B, b.address());
            CompletableFuture<PeerMessage> answer = a.ask(B, new Note(1, ""), LONG_MS);
            assertTrue(asked.await(WAIT_S, TimeUnit.SECONDS));
            b.close();
            assertEquals(Verdict.MAY_HAVE_RUN, failureOf(answer).verdict());
        }

        /**
         * A router is restarted in place: its links drop, the same id and address come back with a
         * higher incarnation. Peers dial again by themselves and asks work again.
         */
        @Test
        void restartedPeerIsDialledAgain() throws Exception {
            PeerLinks a = echoing(links(A, 1, 0));
            LinkedBlockingQueue<String> seen = events(a);
            PeerLinks b = echoing(links(B, 1, 0));
            a.learn(B, b.address());
            get(a.ask(B, new Note(1, ""), LONG_MS));
            assertEquals("up OUTGOING b 1", seen.poll(WAIT_S, TimeUnit.SECONDS));
            b.close();
            assertEquals("down OUTGOING b", seen.poll(WAIT_S, TimeUnit.SECONDS));
            echoing(links(B, 2, b.address().getPort()));
            assertEquals("up OUTGOING b 2", seen.poll(WAIT_S, TimeUnit.SECONDS));
            assertEquals(new Note(2, "a"), get(a.ask(B, new Note(2, ""), LONG_MS)));
        }

        /**
         * An instance is replaced and its address given to another router. A router with the old
         * entry would hand one peer's messages to another; the greeting shows who answers.
         */
        /** A router that comes back is heard, and what is asked of it fails for seconds. */
        @Test
        void peerThatIsHeardIsDialledBeforeTheBackoffIsOver() throws Exception {
            PeerLinks gone = links(B, 1, 0);
            int port = gone.address().getPort();
            gone.close();
            int longMs = (int) LONG_MS;
            LinkSettings patient =
                    new LinkSettings(loopback(0), 2000, 1 << 20, longMs, longMs, 2000, 42);
            PeerLinks a = echoing(links(A, 1, patient, Note.Codec.plain()));
            LinkedBlockingQueue<String> seen = events(a);
            a.learn(B, loopback(port));
            failureOf(a.ask(B, new Note(1, ""), LONG_MS));
            PeerLinks b = echoing(links(B, 2, port));
            b.learn(A, a.address());
            long untilMs = Clock.system().nowMs() + TimeUnit.SECONDS.toMillis(WAIT_S);
            while (!seen.contains("up OUTGOING b 2")) {
                assertTrue(Clock.system().nowMs() < untilMs, seen::toString);
                get(b.ask(A, new Note(2, ""), LONG_MS));
            }
            get(a.ask(B, new Note(3, ""), LONG_MS));
        }

        @Test
        void addressOfAnotherRouterIsNotUsed() {
            PeerLinks a = echoing(links(A, 1, 0));
            PeerLinks c = echoing(links(RouterId.of("c"), 1, 0));
            a.learn(B, c.address());
            assertEquals(Verdict.NOT_RUN, failureOf(a.ask(B, new Note(1, ""), LONG_MS)).verdict());
            assertEquals(0, c.counters().peer(A).framesIn());
        }

        @Test
        void unansweredAskTimesOut() {
            PeerLinks a = echoing(links(A, 1, 0));
            PeerLinks b = links(B, 1, 0);
            b.on(Note.class, (from, note, reply) -> {});
            b.start();
            a.learn(B, b.address());
            assertEquals(
                    ErrorCode.DEADLINE_EXCEEDED, failureOf(a.ask(B, new Note(1, ""), 50)).code());
        }

        @Test
        void unknownOrForgottenPeerIsRefused() {
            PeerLinks a = echoing(links(A, 1, 0));
            assertFalse(a.send(B, new Note(1, "")));
            assertEquals(Verdict.NOT_RUN, failureOf(a.ask(B, new Note(1, ""), LONG_MS)).verdict());
        }

        /**
         * A router is paused: its kernel still takes connections, but nothing is read. Messages to
         * it pile up at the sender; past the bound they are refused instead of filling its heap.
         */
        @Test
        void pausedPeersBacklogIsBounded() throws Exception {
            PeerLinks a = echoing(links(A, 1, 0));
            LinkedBlockingQueue<String> seen = events(a);
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                a.learn(B, loopback(server.getLocalPort()));
                Note big = new Note(1, "x".repeat(64 * 1024));
                assertTrue(a.send(B, big));
                try (Socket s = server.accept()) {
                    greet(s);
                    assertEquals("up OUTGOING b 1", seen.poll(WAIT_S, TimeUnit.SECONDS));
                    int queued = 0;
                    while (a.send(B, big)) {
                        queued++;
                        assertTrue(queued < 500, "no bound");
                    }
                    assertEquals(1, a.counters().refused());
                }
            }
        }

        private void greet(Socket s) throws IOException {
            DataInputStream in = new DataInputStream(s.getInputStream());
            in.readFully(new byte[in.readInt()]);
            FrameCodec codec = FrameCodecTest.codecOf(Note.Codec.plain());
            s.getOutputStream().write(codec.encode(0, Hello.of(B, 1, DOMAIN)));
        }
    }

    /** Senders that do not speak the protocol. */
    @Nested
    class Breaking {
        /** A port scanner or a broken client connects and sends text; only its link closes. */
        @Test
        void malformedFrameClosesTheLink() throws Exception {
            PeerLinks a = echoing(links(A, 1, 0));
            try (Socket s = new Socket(a.address().getAddress(), a.address().getPort())) {
                s.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_S));
                s.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
                assertEquals(-1, s.getInputStream().read());
            }
            assertEquals(1, a.counters().malformed());
        }
    }
}
