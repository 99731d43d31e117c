package org.masticweir.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.masticweir.time.Clock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * An operator sees a stack trace below a good answer: the router closed the connection while the
 * command ended, and the traffic thread read on with buffers that were given back.
 */
class OperatorClientTest {
    private static final int TIMEOUT_MS = 500;

    /** How long the traffic thread is still busy after the order to end. */
    private static final long BUSY_MS = 200;

    private static final long WAIT_MS = 20_000;

    private final AtomicBoolean closed = new AtomicBoolean();
    private final CompletableFuture<Boolean> closedWhileBusy = new CompletableFuture<>();

    @Test
    void closesOnceItsTrafficThreadHasEnded() throws Exception {
        OptionMap one = OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap();
        XnioWorker worker = Xnio.getInstance().createWorker(one);
        ClientSecurity security = ClientSecurity.read(Optional.empty(), Optional.empty());
        InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        OperatorClient client = new OperatorClient(worker, nowhere, TIMEOUT_MS, security);
        CompletableFuture<Void> running = new CompletableFuture<>();
        worker.getIoThread().execute(() -> staysBusy(worker, running));
        running.get(WAIT_MS, TimeUnit.MILLISECONDS);
        client.close();
        closed.set(true);
        assertFalse(closedWhileBusy.get(WAIT_MS, TimeUnit.MILLISECONDS));
    }

    private void staysBusy(XnioWorker worker, CompletableFuture<Void> running) {
        running.complete(null);
        while (!worker.isShutdown()) {
            Thread.onSpinWait();
        }
        long untilMs = Clock.system().nowMs() + BUSY_MS;
        while (!closed.get() && Clock.system().nowMs() < untilMs) {
            Thread.onSpinWait();
        }
        closedWhileBusy.complete(closed.get());
    }
}
