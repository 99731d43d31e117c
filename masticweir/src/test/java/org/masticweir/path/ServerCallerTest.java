package org.masticweir.path;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import io.undertow.server.DefaultByteBufferPool;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.http.Dialer;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.time.ManualClock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Calls of servers for their state. */
class ServerCallerTest {
    private static final long TIMEOUT_MS = 200;
    private static final long WAIT_MS = 10_000;
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final BackendServer SERVER =
            new BackendServer(
                    ServerIncarnation.of(EngineId.of("e1"), 0),
                    ServiceName.of("s"),
                    ADDRESS,
                    DomainId.of("d1"),
                    4,
                    false);

    private final ManualClock clock = ManualClock.startingAt(0);
    private XnioWorker worker;
    private HttpCaller httpCaller;
    private ServerCaller caller;

    /** A server that is never reached. */
    private static final Dialer SILENT = (address, thread, buffers, callback) -> {};

    @BeforeEach
    void start() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        httpCaller = HttpCaller.create(worker, HttpCallerLimits.defaults(), SILENT);
        ServerDialer dialer =
                new ServerDialer(
                        SILENT,
                        worker.getIoThread(),
                        new DefaultByteBufferPool(true, 1_024),
                        clock,
                        ServerPaths.create(),
                        DomainId.of("d1"),
                        new SplittableRandom(),
                        ImmutableList::of,
                        areLost -> {});
        caller = new ServerCaller(httpCaller, dialer);
    }

    @AfterEach
    void stop() {
        httpCaller.close();
        worker.shutdownNow();
    }

    /** A late thread came to repeat the call after its timeout, and the call never ended. */
    @Test
    void callOfALateThreadEnds() throws Exception {
        CompletableFuture<CompletableFuture<HttpOutcome>> started = new CompletableFuture<>();
        worker.getIoThread()
                .execute(
                        () -> {
                            HttpCall call = HttpCall.get(ADDRESS, "/state");
                            started.complete(caller.call(SERVER, call, TIMEOUT_MS));
                            clock.advanceMs(TIMEOUT_MS + 1);
                        });
        HttpOutcome outcome =
                started.get(WAIT_MS, TimeUnit.MILLISECONDS).get(WAIT_MS, TimeUnit.MILLISECONDS);
        assertInstanceOf(HttpOutcome.NeverSent.class, outcome);
    }
}
