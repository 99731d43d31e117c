package org.masticweir.standins.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticweir.error.MasticweirException;
import org.masticweir.standins.platform.http.AnswerServer;
import org.masticweir.standins.platform.http.Disruption;
import org.masticweir.time.Clock;

/** Sends bytes through the proxy over loopback; the test itself is the target. */
@Timeout(20)
class ProxyTest {
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int QUIET_MS = 150;
    private static final int ANSWER_MS = 5000;

    private final List<AutoCloseable> opened = new ArrayList<>();
    private final BlockingQueue<Socket> arrived = new LinkedBlockingQueue<>();
    private ServerSocket target;
    private Thread acceptor;
    private Proxy proxy;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        acceptor = new Thread(this::accept, "target");
        acceptor.setDaemon(true);
        acceptor.start();
        proxy = Proxy.start(ImmutableList.of(spec("a"), spec("b")), Clock.system());
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
        target.close();
        for (AutoCloseable socket : opened) {
            socket.close();
        }
    }

    /** Bytes and ends of streams that pass. */
    @Nested
    class Passing {
        @Test
        void bytesAndHalfClosePassBothWays() throws Exception {
            Socket client = connect("a");
            client.getOutputStream().write(new byte[] {1, 2, 3});
            client.shutdownOutput();
            Socket server = arrival();
            assertEquals(3, server.getInputStream().readAllBytes().length);
            byte[] large = new byte[1_000_000];
            large[999_999] = 7;
            server.getOutputStream().write(large);
            server.close();
            byte[] received = client.getInputStream().readAllBytes();
            assertEquals(1_000_000, received.length);
            assertEquals(7, received[999_999]);
            ProxyMessages.RouteRecord record = proxy.records().routes().get(0);
            assertEquals(3, record.bytesUp());
            assertEquals(1_000_000, record.bytesDown());
            assertEquals(1, record.opened());
        }

        @Test
        void manyConnectionsStandAtOnce() throws Exception {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                clients.add(connect("a"));
                clients.get(i).getOutputStream().write(i % 100);
                assertEquals(i % 100, arrival().getInputStream().read());
            }
            assertEquals(500, proxy.records().routes().get(0).open());
        }

        @Test
        void delayHoldsBytesInOrder() throws Exception {
            set("a", Mode.DELAY, 200);
            Socket client = connect("a");
            long beganMs = Clock.system().nowMs();
            client.getOutputStream().write(1);
            client.getOutputStream().write(2);
            Socket server = arrival();
            assertEquals(1, server.getInputStream().read());
            assertEquals(2, server.getInputStream().read());
            server.getOutputStream().write(3);
            assertEquals(3, client.getInputStream().read());
            long tookMs = Clock.system().nowMs() - beganMs;
            assertTrue(tookMs >= 400, "round trip of " + tookMs + " ms");
        }
    }

    /** Connections that the proxy breaks or holds. */
    @Nested
    class Failures {
        /**
         * A link breaks while connections stand. Both ends see a reset, and so does who connects
         * anew; the other route and later connections are not touched.
         */
        @Test
        void cutResetsOpenAndNewConnections() throws Exception {
            Socket client = connect("a");
            client.getOutputStream().write(1);
            Socket server = arrival();
            assertEquals(1, server.getInputStream().read());
            Socket other = connect("b");
            other.getOutputStream().write(2);
            Socket otherServer = arrival();
            set("a", Mode.CUT, 0);
            assertThrows(SocketException.class, () -> client.getInputStream().read());
            assertThrows(SocketException.class, () -> server.getInputStream().read());
            assertThrows(SocketException.class, () -> connect("a").getInputStream().read());
            assertEquals(2, otherServer.getInputStream().read());
            assertEquals(0, proxy.records().routes().get(0).open());
            set("a", Mode.PASS, 0);
            connect("a").getOutputStream().write(3);
            assertEquals(3, arrival().getInputStream().read());
        }

        /**
         * A partition drops packets without a word. Connections stay open and new ones seem to
         * open, but nothing arrives either way; when the partition heals all that was sent comes.
         */
        @Test
        void stallHoldsEverythingUntilPass() throws Exception {
            Socket client = connect("a");
            client.getOutputStream().write(1);
            Socket server = arrival();
            assertEquals(1, server.getInputStream().read());
            set("a", Mode.STALL, 0);
            client.getOutputStream().write(2);
            server.getOutputStream().write(3);
            Socket late = connect("a");
            late.getOutputStream().write(4);
            assertQuiet(client);
            assertQuiet(server);
            assertEquals(0, arrived.size());
            set("a", Mode.PASS, 0);
            assertEquals(2, server.getInputStream().read());
            assertEquals(3, client.getInputStream().read());
            assertEquals(4, arrival().getInputStream().read());
        }

        /** A link fails one way: requests still arrive, but their answers do not, or reversed. */
        @Test
        void stallOneWayLetsTheOtherPass() throws Exception {
            Socket client = connect("a");
            client.getOutputStream().write(1);
            Socket server = arrival();
            assertEquals(1, server.getInputStream().read());
            set("a", Mode.STALL_DOWN, 0);
            client.getOutputStream().write(2);
            server.getOutputStream().write(3);
            assertEquals(2, server.getInputStream().read());
            assertQuiet(client);
            set("a", Mode.STALL_UP, 0);
            assertEquals(3, client.getInputStream().read());
            client.getOutputStream().write(4);
            assertQuiet(server);
            set("a", Mode.PASS, 0);
            assertEquals(4, server.getInputStream().read());
        }

        /**
         * A process that the route leads to has died. Its port refuses connections, and a client of
         * the route sees a reset instead of waiting for an answer.
         */
        @Test
        void deadTargetResetsTheClient() throws Exception {
            stopTarget();
            assertThrows(SocketException.class, () -> connect("a").getInputStream().read());
        }
    }

    /** Changes by call and over HTTP. */
    @Nested
    class Control {
        @Test
        void unknownRouteAppliesNoChange() {
            assertThrows(
                    MasticweirException.class,
                    () ->
                            proxy.change(
                                    ImmutableList.of(
                                            new ProxyMessages.Change("a", Mode.CUT, 0L),
                                            new ProxyMessages.Change("x", Mode.CUT, 0L))));
            assertEquals(Mode.PASS, proxy.records().routes().get(0).mode());
        }

        @Test
        void takesChangesListsAndRoutesOverHttp() throws Exception {
            try (AnswerServer server =
                    AnswerServer.start(ANY, new ProxyService(proxy), Disruption.NONE)) {
                String to = "\"127.0.0.1:" + target.getLocalPort() + "\"";
                String added = "{\"name\":\"c\",\"listen\":\"127.0.0.1:0\",\"target\":" + to + "}";
                assertEquals(200, post(server, "{\"route\":\"a\",\"mode\":\"stall_up\"}"));
                assertEquals(200, post(server, "{\"add\":" + added + "}"));
                assertEquals(400, post(server, "{\"add\":" + added + "}"));
                String changes =
                        "{\"route\":\"b\",\"mode\":\"delay\",\"delay_ms\":5},"
                                + "{\"route\":\"c\",\"mode\":\"cut\"}";
                assertEquals(200, post(server, "{\"changes\":[" + changes + "]}"));
                assertEquals(404, post(server, "{\"route\":\"x\",\"mode\":\"cut\"}"));
                assertEquals(400, post(server, "{\"route\":\"a\"}"));
                assertEquals(400, post(server, "{\"route\":\"a\",\"mode\":\"slow\"}"));
            }
            assertEquals(
                    List.of(Mode.STALL_UP, Mode.DELAY, Mode.CUT),
                    proxy.records().routes().stream()
                            .map(ProxyMessages.RouteRecord::mode)
                            .toList());
        }

        @Test
        void malformedRoutesAreRefused() {
            for (String text : List.of("a", "a=127.0.0.1:1", "=1.1.1.1:1,1.1.1.1:2", "a=b:1,c:2")) {
                assertThrows(IllegalArgumentException.class, () -> RouteSpec.parse(text), text);
            }
        }

        private int post(AnswerServer server, String body) throws Exception {
            URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + "/control");
            HttpRequest request =
                    HttpRequest.newBuilder(uri)
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build();
            return HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        }
    }

    /**
     * A failure domain is cut off: its processes reach nothing outside, though others on the same
     * addresses do. Their connections stand still, open and new ones, until the cut is healed.
     */
    @Nested
    class Partitions {
        private void partition(Mode mode, long... clients) {
            proxy.partition(
                    new ProxyMessages.Partition(
                            List.of("a"), Arrays.stream(clients).boxed().toList(), mode));
        }

        @Test
        void holdOpenAndNewConnectionsOfTheirProcessesUntilHealed() throws Exception {
            Socket client = connect("a");
            client.getOutputStream().write(1);
            Socket server = arrival();
            assertEquals(1, server.getInputStream().read());
            partition(Mode.STALL, ProcessHandle.current().pid());
            client.getOutputStream().write(2);
            assertQuiet(server);
            connect("a").getOutputStream().write(3);
            assertNull(arrived.poll(QUIET_MS, TimeUnit.MILLISECONDS));
            partition(Mode.PASS, ProcessHandle.current().pid());
            assertEquals(2, server.getInputStream().read());
            assertEquals(3, arrival().getInputStream().read());
        }

        @Test
        void resetConnectionsOfTheirProcesses() throws Exception {
            Socket client = connect("a");
            client.getOutputStream().write(1);
            assertEquals(1, arrival().getInputStream().read());
            partition(Mode.CUT, ProcessHandle.current().pid());
            assertThrows(SocketException.class, () -> client.getInputStream().read());
            assertThrows(SocketException.class, () -> connect("a").getInputStream().read());
        }

        @Test
        void letOtherProcessesPass() throws Exception {
            Socket client = connect("a");
            partition(Mode.CUT);
            client.getOutputStream().write(1);
            assertEquals(1, arrival().getInputStream().read());
            connect("a").getOutputStream().write(2);
            assertEquals(2, arrival().getInputStream().read());
        }
    }

    private RouteSpec spec(String name) {
        return new RouteSpec(name, ANY, (InetSocketAddress) target.getLocalSocketAddress());
    }

    private void set(String route, Mode mode, long delayMs) {
        proxy.change(ImmutableList.of(new ProxyMessages.Change(route, mode, delayMs)));
    }

    private Socket connect(String route) throws IOException {
        InetSocketAddress address = proxy.address(route);
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(ANSWER_MS);
        opened.add(client);
        return client;
    }

    private Socket arrival() throws Exception {
        Socket server = arrived.poll(ANSWER_MS, TimeUnit.MILLISECONDS);
        server.setSoTimeout(ANSWER_MS);
        opened.add(server);
        return server;
    }

    private void accept() {
        try {
            while (true) {
                arrived.add(target.accept());
            }
        } catch (IOException e) {
            assertTrue(target.isClosed());
        }
    }

    /**
     * Closes the target and waits for its thread: a call of accept under way keeps the port open
     * after the close, and a connection that comes meanwhile is accepted and never answered.
     */
    private void stopTarget() throws Exception {
        target.close();
        acceptor.join(ANSWER_MS);
        assertFalse(acceptor.isAlive());
    }

    private static void assertQuiet(Socket socket) throws IOException {
        socket.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(ANSWER_MS);
    }
}
