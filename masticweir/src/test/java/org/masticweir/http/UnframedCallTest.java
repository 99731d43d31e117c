package org.masticweir.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against partial reports and lists that pass for complete: they come without a length. */
class UnframedCallTest {
    private static final long TIMEOUT_MS = 5_000;
    private static final int REQUEST_BYTES = 1_024;
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String CLOSING_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    private static final String OLD_HEAD = "HTTP/1.0 200 OK\r\n\r\n";

    private XnioWorker worker;
    private HttpCaller caller;
    private ServerSocket server;

    @BeforeEach
    void setUp() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        caller = HttpCaller.create(worker, new HttpCallerLimits(1, 1_000, 1 << 20));
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void tearDown() throws IOException {
        caller.close();
        server.close();
        worker.shutdownNow();
    }

    private HttpOutcome call(boolean isReset, String answer) throws Exception {
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        CompletableFuture<HttpOutcome> outcome =
                caller.call(HttpCall.get(address, "/"), TIMEOUT_MS);
        try (Socket connection = server.accept()) {
            connection.getInputStream().read(new byte[REQUEST_BYTES]);
            connection.getOutputStream().write(answer.getBytes(US_ASCII));
            connection.setSoLinger(isReset, 0);
        }
        return outcome.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void assertAnswered(String body, HttpOutcome outcome) {
        assertEquals(body, assertInstanceOf(HttpOutcome.Answered.class, outcome).answer().text());
    }

    /** Failure: the connection is kept for the next call, or its place is not freed. */
    @ParameterizedTest
    @ValueSource(strings = {HEAD, CLOSING_HEAD, OLD_HEAD})
    void answersThatEndRegularlyAreComplete(String head) throws Exception {
        assertAnswered("first", call(false, head + "first"));
        assertAnswered("second", call(false, head + "second"));
    }

    /** Failure: a list of servers loses those after the place at which it was cut. */
    @ParameterizedTest
    @ValueSource(strings = {HEAD, CLOSING_HEAD, OLD_HEAD})
    void answerThatIsResetIsNone(String head) throws Exception {
        assertInstanceOf(HttpOutcome.MayHaveBeenSent.class, call(true, head + "par"));
        assertAnswered("next", call(false, head + "next"));
    }

    @Test
    void answerThatEndsWithinItsHeadIsNone() throws Exception {
        assertInstanceOf(HttpOutcome.MayHaveBeenSent.class, call(false, "HTTP/1.1 200 OK\r\nA: b"));
        assertAnswered("next", call(false, HEAD + "next"));
    }
}
