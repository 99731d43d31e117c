package org.masticweir.path;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.http.Dialer;
import org.masticweir.http.IpAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.time.Clock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** What a tunnel passes on, for whom and to where, on loopback sockets. */
class TunnelTest {
    private static final String KEY = "0123456789abcdef";
    private static final int TIMEOUT_MS = 5_000;
    private static final int UNREAD_BYTES = 64 << 10;
    private static final String OPEN = "HTTP/1.1 200 OK";

    private final ServerPaths paths = ServerPaths.create();
    private XnioWorker worker;
    private ServerSocket server;
    private InetSocketAddress port;
    private TunnelServer tunnels;
    private ServerSocket second;
    private ServerSocket third;
    private volatile boolean isOpen = true;
    private volatile Optional<IOException> cut = Optional.empty();
    private volatile boolean isHanging;

    @BeforeEach
    void setUp() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        port = freeAddress();
        second = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        third = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        ImmutableList<BackendServer> listed =
                ImmutableList.of(
                        backend("e1", server), backend("e2", second), backend("e3", third));
        ServerDialer dialer =
                new ServerDialer(
                        this::dial,
                        worker.getIoThread(),
                        new DefaultByteBufferPool(true, 1_024),
                        Clock.system(),
                        paths,
                        DomainId.of("d1"),
                        new Random(1),
                        () -> listed,
                        lost -> {});
        tunnels =
                new TunnelServer(
                        worker,
                        worker.getIoThread(),
                        port,
                        KEY,
                        () -> listed,
                        () -> isOpen,
                        DomainId.of("d1"),
                        dialer,
                        new Random(1),
                        new MetricRegistry());
    }

    @AfterEach
    void tearDown() throws IOException {
        tunnels.close();
        server.close();
        second.close();
        third.close();
        worker.shutdownNow();
    }

    private void dial(
            InetSocketAddress address,
            XnioIoThread thread,
            ByteBufferPool pool,
            ClientCallback<ClientConnection> callback) {
        if (isHanging) {
            return;
        }
        if (cut.isPresent()) {
            thread.execute(() -> callback.failed(cut.get()));
        } else {
            Dialer.tcp().dial(address, thread, pool, callback);
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static BackendServer backend(String id, ServerSocket socket) {
        return new BackendServer(
                ServerIncarnation.of(EngineId.of(id), 0),
                ServiceName.of("model"),
                (InetSocketAddress) socket.getLocalSocketAddress(),
                DomainId.of("d1"),
                1,
                false);
    }

    private Socket request(String key, InetSocketAddress target) throws IOException {
        return request(port, key, target);
    }

    private static Socket request(InetSocketAddress tunnels, String key, InetSocketAddress target)
            throws IOException {
        Socket socket = new Socket(tunnels.getAddress(), tunnels.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        String head = "GET /tunnel/" + key + "/" + IpAddress.text(target) + " HTTP/1.1\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(US_ASCII));
        return socket;
    }

    private static void assertEndsUnread(Socket accepted) throws IOException {
        accepted.setSoTimeout(TIMEOUT_MS);
        try {
            assertEquals(-1, accepted.getInputStream().read());
        } catch (SocketException e) {
            assertEquals("Connection reset", e.getMessage());
        }
    }

    private InetSocketAddress serverAddress() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static String readHead(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "closed";
            }
            head.append((char) next);
        }
        return head.substring(0, head.indexOf("\r"));
    }

    private Socket open() throws IOException {
        Socket client = request(KEY, serverAddress());
        assertEquals(OPEN, readHead(client));
        return client;
    }

    /** Requests that get no tunnel. */
    @Nested
    class Refusal {
        private void assertRefused(String status, String key, InetSocketAddress target)
                throws IOException {
            try (Socket client = request(key, target)) {
                assertEquals("HTTP/1.1 " + status, readHead(client));
            }
        }

        /** Failure: the tunnel port is an open proxy. */
        @Test
        void ofAStranger() throws Exception {
            assertRefused("403 Forbidden", "ffff", serverAddress());
        }

        /** Failure: a router reaches hosts that are not servers through its peer. */
        @Test
        void ofAnAddressThatIsNotListed() throws Exception {
            try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                assertRefused(
                        "404 Not Found", KEY, (InetSocketAddress) other.getLocalSocketAddress());
            }
        }

        @Test
        void whileShuttingDown() throws Exception {
            isOpen = false;
            assertRefused("503 Service Unavailable", KEY, serverAddress());
        }

        @Test
        void ofAServerThatAcceptsNoConnection() throws Exception {
            InetSocketAddress address = serverAddress();
            server.close();
            assertRefused("502 Bad Gateway", KEY, address);
        }

        /** Failure: a router takes its paths for lost because other servers have ended as well. */
        @Test
        void ofAnEndedServerWhileAnotherOneHasEnded() throws Exception {
            InetSocketAddress address = serverAddress();
            server.close();
            second.close();
            for (int i = 0; i < 10; i++) {
                assertRefused("502 Bad Gateway", KEY, address);
            }
            assertFalse(paths.areAllLost());
        }

        /** Failure: a router that has just lost its paths calls a sound server unreachable. */
        @Test
        void ofARouterThatReachesNoServerItself() throws Exception {
            cut = Optional.of(new ConnectException("path is cut"));
            assertRefused("504 Gateway Timeout", KEY, serverAddress());
            assertTrue(paths.hasFailed(ServerIncarnation.of(EngineId.of("e1"), 0)));
        }

        @Test
        void ofARouterWhoseConnectionsHang() throws Exception {
            isHanging = true;
            assertRefused("504 Gateway Timeout", KEY, serverAddress());
            assertTrue(paths.hasFailed(ServerIncarnation.of(EngineId.of("e1"), 0)));
        }

        @Test
        void ofBytesThatAreNoRequest() throws Exception {
            try (Socket client = new Socket(port.getAddress(), port.getPort())) {
                client.setSoTimeout(TIMEOUT_MS);
                client.getOutputStream().write("POST / HTTP/1.1\r\n\r\n".getBytes(US_ASCII));
                assertThrows(SocketException.class, () -> client.getInputStream().read());
            }
        }
    }

    /** Bytes and ends that are passed on. */
    @Nested
    class Transfer {
        @Test
        void ofBytesBothWays() throws Exception {
            try (Socket client = open();
                    Socket accepted = server.accept()) {
                client.getOutputStream().write("ask".getBytes(US_ASCII));
                assertEquals("ask", new String(accepted.getInputStream().readNBytes(3), US_ASCII));
                accepted.getOutputStream().write("answer".getBytes(US_ASCII));
                assertEquals("answer", new String(client.getInputStream().readNBytes(6), US_ASCII));
            }
        }

        @Test
        void ofAllBytesBeforeTheServersRegularEnd() throws Exception {
            byte[] sent = new byte[1 << 20];
            new Random(1).nextBytes(sent);
            try (Socket client = open()) {
                CompletableFuture<Void> written =
                        CompletableFuture.runAsync(
                                () -> {
                                    try (Socket accepted = server.accept()) {
                                        accepted.getOutputStream().write(sent);
                                    } catch (IOException e) {
                                        throw new AssertionError(e);
                                    }
                                });
                byte[] received = client.getInputStream().readAllBytes();
                written.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                assertEquals(sent.length, received.length);
                assertArrayEquals(sent, received);
            }
        }

        /** Failure: an answer without a length that was reset passes for complete. */
        @Test
        void ofTheServersResetAsAReset() throws Exception {
            try (Socket client = open();
                    Socket accepted = server.accept()) {
                accepted.getOutputStream().write("part".getBytes(US_ASCII));
                assertEquals("part", new String(client.getInputStream().readNBytes(4), US_ASCII));
                accepted.setSoLinger(true, 0);
                accepted.close();
                assertThrows(SocketException.class, () -> client.getInputStream().read());
            }
        }

        /** Failure: what a slow client has not read yet hides the server's reset. */
        @Test
        void ofTheServersResetBehindUnreadBytes() throws Exception {
            try (Socket client = open();
                    Socket accepted = server.accept()) {
                accepted.getOutputStream().write(new byte[UNREAD_BYTES]);
                accepted.setSoLinger(true, 0);
                accepted.close();
                assertThrows(SocketException.class, () -> client.getInputStream().readAllBytes());
            }
        }

        /** Failure: a process that ends in the middle of an answer ends it for its client. */
        @Test
        void ofTheCarryingProcessesEndAsAReset() throws Exception {
            try (TunnelProcess process = TunnelProcess.start(serverAddress(), KEY);
                    Socket client = request(process.address(), KEY, serverAddress())) {
                assertEquals(OPEN, readHead(client));
                try (Socket accepted = server.accept()) {
                    accepted.getOutputStream().write("part".getBytes(US_ASCII));
                    assertEquals(
                            "part", new String(client.getInputStream().readNBytes(4), US_ASCII));
                    process.kill();
                    assertThrows(SocketException.class, () -> client.getInputStream().read());
                    assertEndsUnread(accepted);
                }
            }
        }

        /** Failure: a server works on for a client whose connection was reset. */
        @Test
        void ofTheClientsReset() throws Exception {
            Socket client = open();
            try (Socket accepted = server.accept()) {
                accepted.setSoTimeout(TIMEOUT_MS);
                client.setSoLinger(true, 0);
                client.close();
                assertEndsUnread(accepted);
            }
        }

        /** Failure: a server works on for a caller that has left. */
        @Test
        void ofTheClientsEnd() throws Exception {
            Socket client = open();
            try (Socket accepted = server.accept()) {
                accepted.setSoTimeout(TIMEOUT_MS);
                client.close();
                assertEquals(-1, accepted.getInputStream().read());
            }
        }
    }

    /** Evidence about paths that a carrying router gathers. */
    @Nested
    class Evidence {
        @Test
        void ofASuccessClearsFailures() throws Exception {
            paths.recordDirectFailure(ServerIncarnation.of(EngineId.of("e1"), 0), 0);
            try (Socket client = open()) {
                assertTrue(client.isConnected());
                assertEquals(false, paths.areAllLost());
            }
        }
    }
}
