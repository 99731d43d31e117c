package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticweir.bench.BenchWorker;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.xnio.XnioWorker;

/** Routers whose links to each other are under TLS. */
final class PeerSecurityTest {
    private static final int HEAP_MB = 96;
    private static final long READY_BOUND_MS = 20_000;
    private static final long SEEN_BOUND_MS = 15_000;
    private static final long WATCHED_MS = 3_000;
    private static final int TOKENS = 100;
    private static final String KEYS =
            """
            [security]
            peer_keystore_file = %s
            peer_keystore_password_file = %s
            peer_trust_file = %s
            """;

    private final XnioWorker worker = BenchWorker.start(1);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final Processes processes = Processes.inNew("peer-security");
    private TestBed bed;

    @BeforeEach
    void start() {
        bed = TestBed.startWithoutRouters();
    }

    @AfterEach
    void stop() {
        processes.close();
        bed.close();
        calls.close();
        worker.shutdownNow();
    }

    private RouterProcess start(String id, List<Integer> own, String security) {
        RouterPorts ports = RouterPorts.of(own);
        String settings = RouterIni.of(id, "a", ports, ports.peers(), bed.platform(), security);
        ChildProcess process = processes.router(id, HEAP_MB, settings);
        RouterProcess router =
                new RouterProcess(
                        id, "a", process, ports.callers(), ports.operators(), ports.peers());
        new PlatformClient(calls, bed.platform()).announceRouter(router);
        Await.get("router ready", process.ready(), READY_BOUND_MS);
        return router;
    }

    private String stateAt(RouterProcess seer, String other) {
        return new OperatorPort(calls, seer.operators()).stateOf(other);
    }

    /**
     * Two routers have keys of one authority and a third has none.
     *
     * <p>The two count on each other and answer whole; the third is never counted on, as neither
     * side makes a link with the other. The cause is a router started without the keys' settings.
     */
    @Test
    void routersWithKeysFindEachOtherAndNoOther() {
        KeyFiles keys = KeyFiles.in(processes.directory());
        String security = String.format(KEYS, keys.store(), keys.password(), keys.certificate());
        ImmutableList<Integer> ports = ServerPorts.choose(3 * RouterPorts.COUNT);
        RouterProcess p1 = start("p1", ports.subList(0, 3), security);
        RouterProcess p2 = start("p2", ports.subList(3, 6), security);
        RouterProcess plain = start("p3", ports.subList(6, 9), "");
        Await.until("p2 at p1", SEEN_BOUND_MS, () -> stateAt(p1, "p2").equals("serving"));
        Await.until("p1 at p2", SEEN_BOUND_MS, () -> stateAt(p2, "p1").equals("serving"));
        RunningCall call = RunningCall.submit(bed.caller(), p1.callers(), Requests.report(TOKENS));
        bed.check().whole(call);
        Await.holds("p3 alone", WATCHED_MS, () -> !stateAt(p1, "p3").equals("serving"));
        assertNotEquals("serving", stateAt(plain, "p1"));
    }
}
