package org.masticweir.relay;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against the loss of a report after all routers restart together. Its caller's connection
 * and the only retry are refused during the start, although the report could have waited.
 */
class EarlyConnectionProxyTest {
    private static final int WAIT_MS = 10_000;

    private InetSocketAddress address;
    private StartupListener listener;

    @BeforeEach
    void setUp() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        listener = StartupListener.open(address);
    }

    @AfterEach
    void tearDown() throws IOException {
        listener.close();
    }

    private Socket caller() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(WAIT_MS);
        return socket;
    }

    /** Opens the router's own port at the address of the listener. */
    private ServerSocket router() throws IOException {
        ServerSocket port = new ServerSocket(address.getPort(), 50, address.getAddress());
        port.setSoTimeout(WAIT_MS);
        return port;
    }

    private static byte[] pattern(int bytes) {
        byte[] data = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            data[i] = (byte) (i * 31);
        }
        return data;
    }

    @Test
    void forwardsOnceTheRouterListens() throws IOException {
        try (Socket caller = caller()) {
            caller.getOutputStream().write("ask".getBytes(US_ASCII));
            try (ServerSocket port = listenAfterRelease();
                    Socket inner = port.accept()) {
                assertEquals("ask", new String(inner.getInputStream().readNBytes(3), US_ASCII));
                inner.getOutputStream().write("answer".getBytes(US_ASCII));
                assertEquals("answer", new String(caller.getInputStream().readNBytes(6), US_ASCII));
            }
            assertEquals(-1, caller.getInputStream().read(), "closed with the router's end");
        }
    }

    @Test
    void forwardsLongBodiesInBothDirections() throws Exception {
        byte[] body = pattern(1 << 20);
        try (Socket caller = caller();
                ServerSocket port = listenAfterRelease();
                Socket inner = port.accept()) {
            CompletableFuture<Void> sending = CompletableFuture.runAsync(() -> write(caller, body));
            assertArrayEquals(body, inner.getInputStream().readNBytes(body.length));
            sending.get(WAIT_MS, TimeUnit.MILLISECONDS);
            CompletableFuture<Void> answering =
                    CompletableFuture.runAsync(() -> write(inner, body));
            byte[] receivedBody = caller.getInputStream().readNBytes(body.length);
            answering.get(WAIT_MS, TimeUnit.MILLISECONDS);
            assertEquals(Arrays.hashCode(body), Arrays.hashCode(receivedBody));
        }
    }

    /**
     * The request of a caller that has disconnected before the router reads the request must not
     * run.
     */
    @Test
    void dropsConnectionsOfDisconnectedCallers() throws IOException {
        caller().close();
        try (Socket connectedCaller = caller();
                ServerSocket port = listenAfterRelease();
                Socket inner = port.accept()) {
            connectedCaller.getOutputStream().write('s');
            assertEquals('s', inner.getInputStream().read());
            port.setSoTimeout(200);
            assertThrows(IOException.class, port::accept);
        }
    }

    /**
     * A long request is forwarded in parts, and the caller closes the connection after the last
     * part.
     */
    @Test
    void forwardsNoCompleteRequestOfDisconnectedCallers() throws IOException {
        int bytes = (8 << 10) + 500;
        try (Socket caller = caller()) {
            caller.getOutputStream().write(pattern(bytes));
        }
        try (ServerSocket port = listenAfterRelease();
                Socket inner = port.accept()) {
            inner.setSoTimeout(WAIT_MS);
            int receivedBytes = inner.getInputStream().readAllBytes().length;
            assertTrue(receivedBytes < bytes, receivedBytes + " bytes of " + bytes);
        }
    }

    @Test
    void closesWhenTheCallerDisconnects() throws IOException {
        Socket caller = caller();
        try (ServerSocket port = listenAfterRelease();
                Socket inner = port.accept()) {
            caller.close();
            inner.setSoTimeout(WAIT_MS);
            InputStream in = inner.getInputStream();
            assertEquals(-1, in.read());
        }
    }

    /** The proxy's thread ends once all its callers have disconnected. */
    @Test
    void endsItsThreadWithTheLastConnection() throws Exception {
        try (Socket caller = caller();
                ServerSocket port = listenAfterRelease();
                Socket inner = port.accept()) {
            caller.getOutputStream().write('a');
            assertEquals('a', inner.getInputStream().read());
        }
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (thread.getName().equals("early-connections")) {
                thread.join(WAIT_MS);
                assertFalse(thread.isAlive(), "it ends with the last connection");
            }
        }
    }

    private ServerSocket listenAfterRelease() throws IOException {
        var connections = listener.release();
        ServerSocket port = router();
        EarlyConnectionProxy.start(connections, address);
        return port;
    }

    private static void write(Socket socket, byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
        } catch (IOException e) {
            throw new AssertionError("not written", e);
        }
    }
}
