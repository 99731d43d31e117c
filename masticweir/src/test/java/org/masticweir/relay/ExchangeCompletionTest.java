package org.masticweir.relay;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticweir.http.AnswerPool;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpHeaders;

/** Tests when an exchange counts as complete. */
class ExchangeCompletionTest {
    private static final long WAIT_MS = 10_000;

    /**
     * Size of an answer that exceeds the operating system's buffers for a caller that does not
     * read.
     */
    private static final int LONG_ANSWER_BYTES = 16 << 20;

    private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

    private final CompletableFuture<Void> completion = new CompletableFuture<>();
    private final CompletableFuture<Boolean> isCompleteAfterCall = new CompletableFuture<>();
    private volatile int answerBytes = LONG_ANSWER_BYTES;
    private Undertow server;

    @BeforeEach
    void setUp() {
        server =
                Undertow.builder()
                        .addHttpListener(0, InetAddress.getLoopbackAddress().getHostAddress())
                        .setHandler(this::answer)
                        .build();
        server.start();
    }

    @AfterEach
    void tearDown() {
        server.stop();
    }

    private void answer(HttpServerExchange exchange) {
        ExchangeCompletion.addListener(
                exchange, new KeepAliveConnections(), () -> completion.complete(null));
        HttpHead head = new HttpHead(200, HttpHeaders.copyOf(Map.of()));
        new CallerAnswerWriter(exchange, AnswerPool.of(0), reason -> {})
                .sendComplete(head, new byte[answerBytes]);
        isCompleteAfterCall.complete(completion.isDone());
    }

    private Socket sendRequest() throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        caller.connect((InetSocketAddress) server.getListenerInfo().get(0).getAddress());
        String request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        caller.getOutputStream().write(request.getBytes(US_ASCII));
        return caller;
    }

    private static int readAll(InputStream in) throws IOException {
        byte[] buffer = new byte[1 << 16];
        int bytes = 0;
        int count = in.read(buffer);
        while (count >= 0) {
            bytes += count;
            count = in.read(buffer);
        }
        return bytes;
    }

    /**
     * Guards against a router that exits before a slow caller has read its whole answer, because
     * the answer already counted as delivered.
     */
    @Test
    void completesAfterTheLastByteOfTheAnswer() throws Exception {
        try (Socket caller = sendRequest()) {
            assertFalse(isCompleteAfterCall.get(WAIT_MS, TimeUnit.MILLISECONDS));
            assertFalse(completion.isDone());
            assertTrue(readAll(caller.getInputStream()) > LONG_ANSWER_BYTES);
            completion.get(WAIT_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void completesWhenACallerThatDoesNotReadCloses() throws Exception {
        try (Socket caller = sendRequest()) {
            isCompleteAfterCall.get(WAIT_MS, TimeUnit.MILLISECONDS);
        }
        completion.get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    void completesSoonForAShortAnswer() throws Exception {
        answerBytes = 1;
        try (Socket caller = sendRequest()) {
            completion.get(WAIT_MS, TimeUnit.MILLISECONDS);
        }
    }
}
