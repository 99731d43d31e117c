package org.masticweir.relay;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticweir.metrics.MetricName;
import org.masticweir.time.ManualClock;
import org.xnio.XnioExecutor;

/** Effects of a limit of new connections. */
class ConnectionGateTest {
    private final ManualClock clock = ManualClock.startingAt(0);
    private final ScheduledTasks thread = new ScheduledTasks();
    private final MetricRegistry metrics = new MetricRegistry();
    private ConnectionGate gate;
    private int openedCount;

    /** A thread whose timers a test runs late. */
    private static final class ScheduledTasks implements XnioExecutor {
        private final Queue<Runnable> tasks = new ArrayDeque<>();

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        @Override
        public Key executeAfter(Runnable task, long time, TimeUnit unit) {
            tasks.add(task);
            return () -> tasks.remove(task);
        }

        @Override
        public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
            throw new UnsupportedOperationException();
        }
    }

    @BeforeEach
    void setUp() {
        gate = new ConnectionGate(thread, clock, metrics);
        gate.start();
        RelayLinks.upLinkCounter(metrics).inc();
    }

    private void beLate() {
        clock.advanceMs(ConnectionAdmission.STARTUP_MS);
        for (int i = 0; i < ConnectionAdmission.LIMIT_AFTER_MEASUREMENTS; i++) {
            clock.advanceMs(ConnectionAdmission.LIMIT_AFTER_MS);
            thread.tasks.remove().run();
        }
    }

    private long count(String counter) {
        return metrics.counter(MetricName.of(counter)).getCount();
    }

    @Test
    void closesConnectionsUnreadUnderALimit() {
        gate.before(c -> openedCount++).handleEvent(null);
        beLate();
        gate.before(c -> openedCount++).handleEvent(null);
        assertEquals(1, openedCount);
        assertEquals(1, count("connections_closed_unread_total"));
        assertEquals(1, count("connections_limited"));
    }

    /** Guards against a caller that sends its next request on a connection about to be closed. */
    @Test
    void answersThatCloseTheirConnectionSayIt() throws Exception {
        Undertow server =
                Undertow.builder()
                        .addHttpListener(0, InetAddress.getLoopbackAddress().getHostAddress())
                        .setHandler(gate.around(e -> e.getResponseSender().send("answer")))
                        .build();
        server.start();
        try (Socket caller = new Socket()) {
            caller.connect((InetSocketAddress) server.getListenerInfo().get(0).getAddress());
            assertFalse(answer(caller).contains("Connection: close"));
            beLate();
            assertFalse(answer(caller).contains("Connection: close"));
            assertTrue(answer(caller).contains("Connection: close"));
            assertEquals(-1, caller.getInputStream().read());
        } finally {
            server.stop();
        }
    }

    private static String answer(Socket caller) throws IOException {
        caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(US_ASCII));
        StringBuilder answer = new StringBuilder();
        while (!answer.toString().endsWith("answer")) {
            int next = caller.getInputStream().read();
            assertTrue(next >= 0, answer.toString());
            answer.append((char) next);
        }
        return answer.toString();
    }
}
