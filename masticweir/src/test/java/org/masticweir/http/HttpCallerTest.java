package org.masticweir.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticweir.time.Clock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The caller's bounds, against a server that echoes bodies. */
class HttpCallerTest {
    private static final long TIMEOUT_MS = 5_000;
    private static final int MAX_BYTES = 1 << 20;

    private static final long SHORT_MS = 50;

    private final CountDownLatch stalled = new CountDownLatch(1);
    private XnioWorker worker;
    private HttpCaller caller;
    private Undertow server;
    private InetSocketAddress address;

    @BeforeEach
    void setUp() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        caller = HttpCaller.create(worker, new HttpCallerLimits(4, 1_000, MAX_BYTES));
        server = Undertow.builder().addHttpListener(0, "127.0.0.1", this::echo).build();
        server.start();
        address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @AfterEach
    void tearDown() {
        caller.close();
        server.stop();
        worker.shutdown();
    }

    private void echo(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/hold")) {
            exchange.dispatch(() -> {});
            return;
        }
        if (exchange.getRequestPath().equals("/stall")) {
            exchange.dispatch(() -> answerDuringStall(exchange));
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes((e, b) -> e.getResponseSender().send(new String(b)));
    }

    /** Answers once the caller's threads, all of them, are busy past the end of its timeout. */
    private void answerDuringStall(HttpServerExchange exchange) {
        worker.getIoThread().execute(this::stallPastTheTimeout);
        Uninterruptibles.awaitUninterruptibly(stalled);
        exchange.getResponseSender().send("late");
    }

    private void stallPastTheTimeout() {
        stalled.countDown();
        long untilMs = Clock.system().nowMs() + 4 * SHORT_MS;
        while (Clock.system().nowMs() < untilMs) {
            Thread.onSpinWait();
        }
    }

    private HttpOutcome echoed(int bytes) {
        return caller.call(HttpCall.postJson(address, "/", "x".repeat(bytes)), TIMEOUT_MS).join();
    }

    @Test
    void largeBodiesPassBothWays() {
        for (int i = 0; i < 20; i++) {
            var answered = assertInstanceOf(HttpOutcome.Answered.class, echoed(MAX_BYTES));
            assertEquals(MAX_BYTES, answered.answer().body().length);
        }
    }

    @Test
    void tooLongAnswerIsPerhapsSentAndFreesItsPlace() {
        for (int i = 0; i < 10; i++) {
            assertInstanceOf(HttpOutcome.MayHaveBeenSent.class, echoed(MAX_BYTES + 1));
            assertTrue(echoed(MAX_BYTES + 1).showsAnsweringPeer());
        }
        assertInstanceOf(HttpOutcome.Answered.class, echoed(1));
    }

    /** A stuck server must not gather connections without end: calls past the bound never leave. */
    @Test
    void callsPastTheBoundAreNeverSentUntilOthersEnd() {
        List<CompletableFuture<HttpOutcome>> calls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            calls.add(caller.call(HttpCall.get(address, "/hold"), 300));
        }
        assertInstanceOf(HttpOutcome.NeverSent.class, echoed(1));
        assertTrue(echoed(1).isWithheld());
        calls.forEach(c -> assertInstanceOf(HttpOutcome.MayHaveBeenSent.class, c.join()));
        calls.forEach(c -> assertFalse(c.join().showsAnsweringPeer()));
        assertInstanceOf(HttpOutcome.Answered.class, echoed(1));
    }

    /**
     * Operators see all engines suspect at once and callers get NO_ENGINE. Many callers come to a
     * cold router, its I/O threads stall, and on waking run the timers of their calls before they
     * read the answers, which came in time.
     */
    @Test
    void answerThatCameDuringAStallOfTheCallerIsRead() {
        var outcome = caller.call(HttpCall.get(address, "/stall"), SHORT_MS).join();
        assertInstanceOf(HttpOutcome.Answered.class, outcome);
    }
}
