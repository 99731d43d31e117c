package org.masticweir.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The platform's client against real sockets. */
class HttpPlatformTest {
    private static final RowKey KEY = RowKey.of("claims", "t1/r1");
    private static final long TIMEOUT_MS = 2_000;
    private static final long SHORT_TIMEOUT_MS = 150;

    private XnioWorker worker;
    private HttpCaller caller;

    @BeforeEach
    void setUp() throws IOException {
        OptionMap options = OptionMap.create(Options.WORKER_IO_THREADS, 2);
        worker = Xnio.getInstance().createWorker(options);
        caller = HttpCaller.create(worker, HttpCallerLimits.defaults());
    }

    @AfterEach
    void tearDown() {
        caller.close();
        worker.shutdown();
    }

    private TransactionOutcome insert(InetSocketAddress address, long timeoutMs) {
        Transaction t = Transaction.compareAndSet(KEY, Row.ABSENT, "v");
        return HttpPlatform.at(address, caller).transact(t, timeoutMs).join();
    }

    /** A server that answers. */
    @Nested
    class Answers {
        private final Set<Object> connections = ConcurrentHashMap.newKeySet();
        private Undertow server;

        private InetSocketAddress serve(HttpHandler handler) {
            server = Undertow.builder().addHttpListener(0, "127.0.0.1", handler).build();
            server.start();
            return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        }

        private InetSocketAddress serve(int status, String body) {
            return serve(
                    exchange -> {
                        connections.add(exchange.getConnection());
                        exchange.setStatusCode(status).getResponseSender().send(body);
                    });
        }

        @AfterEach
        void stop() {
            server.stop();
        }

        @Test
        void committedWithItsRevision() {
            InetSocketAddress address = serve(200, "{\"revision\":7}");
            assertEquals(
                    new TransactionOutcome.Committed(7),
                    assertInstanceOf(
                            TransactionOutcome.Committed.class, insert(address, TIMEOUT_MS)));
        }

        @Test
        void oneConnectionCarriesManyCalls() {
            InetSocketAddress address = serve(200, "{\"revision\":7}");
            for (int i = 0; i < 20; i++) {
                insert(address, TIMEOUT_MS);
            }
            assertEquals(1, new HashSet<>(connections).size());
        }

        @Test
        void conflictShowsTheRowsThatDiffer() {
            String body =
                    "{\"conflicts\":[{\"table\":\"claims\",\"key\":\"t1/r1\","
                            + "\"revision\":4,\"value\":\"w\"}]}";
            assertEquals(
                    new TransactionOutcome.Conflicted(List.of(Row.of(KEY, 4, "w"))),
                    insert(serve(409, body), TIMEOUT_MS));
        }

        @Test
        void refusalIsNotDoneAndOtherServerErrorsAreUnknown() {
            InetSocketAddress refusing = serve(429, "{\"retry_after_ms\":40}");
            TransactionOutcome refused = insert(refusing, TIMEOUT_MS);
            server.stop();
            assertEquals(
                    40,
                    assertInstanceOf(TransactionOutcome.NotDone.class, refused)
                            .retryAfterMs()
                            .orElseThrow());
            assertInstanceOf(TransactionOutcome.Unknown.class, insert(serve(500, ""), TIMEOUT_MS));
        }

        @Test
        void keysAreEncodedAndAbsentRowsAreTold() {
            Set<String> paths = ConcurrentHashMap.newKeySet();
            InetSocketAddress address = serve(exchange -> notFound(exchange, paths));
            ReadOutcome<Row> read = HttpPlatform.at(address, caller).read(KEY, TIMEOUT_MS).join();
            assertEquals(new ReadOutcome.Done<>(Row.absent(KEY)), read);
            assertTrue(paths.contains("/tables/claims/t1%2Fr1"), paths::toString);
        }

        private void notFound(HttpServerExchange exchange, Set<String> paths) {
            paths.add(exchange.getRequestURI());
            exchange.setStatusCode(404).endExchange();
        }

        @Test
        void instancesAreDecoded() {
            String body =
                    "{\"instances\":[{\"id\":\"e1\",\"kind\":\"engine\",\"group\":\"g\","
                            + "\"domain\":\"d1\",\"address\":\"10.0.0.1:81\",\"state\":\"leaving\"}]}";
            var read = HttpPlatform.at(serve(200, body), caller).instances(TIMEOUT_MS).join();
            InstanceRecord record =
                    assertInstanceOf(ReadOutcome.Done.class, read).value() instanceof List<?> l
                            ? (InstanceRecord) l.get(0)
                            : null;
            assertEquals(new InetSocketAddress("10.0.0.1", 81), record.address());
            assertTrue(record.leaving());
        }
    }

    /** A server that does not answer. */
    @Nested
    class Silence {
        @Test
        void refusedConnectionIsNotDone() throws IOException {
            int port;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = socket.getLocalPort();
            }
            assertInstanceOf(
                    TransactionOutcome.NotDone.class,
                    insert(new InetSocketAddress("127.0.0.1", port), TIMEOUT_MS));
        }

        /**
         * A letter's claim is written and the platform closes the connection without an answer: the
         * claim may stand, so "not done" would let a second router send the letter again.
         */
        @Test
        void closeWithoutAnswerIsUnknown() throws Exception {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                Thread closer = new Thread(() -> takeAndClose(socket));
                closer.start();
                InetSocketAddress address =
                        new InetSocketAddress("127.0.0.1", socket.getLocalPort());
                assertInstanceOf(TransactionOutcome.Unknown.class, insert(address, TIMEOUT_MS));
                closer.join();
            }
        }

        private void takeAndClose(ServerSocket server) {
            try (Socket s = server.accept()) {
                s.getInputStream().read();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        /**
         * The platform takes the request and says nothing: the caller waits no longer than asked.
         */
        @Test
        void silenceEndsAtTheDeadlineAsUnknown() throws IOException {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                InetSocketAddress address =
                        new InetSocketAddress("127.0.0.1", socket.getLocalPort());
                assertInstanceOf(
                        TransactionOutcome.Unknown.class, insert(address, SHORT_TIMEOUT_MS));
            }
        }
    }
}
