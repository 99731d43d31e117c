package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.forward.LoadTracker;
import org.masticweir.forward.ServerHealth;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.relay.RelayMessages.EngineLoad;
import org.masticweir.relay.RelayMessages.FailureUpdate;
import org.masticweir.relay.RelayMessages.LoadUpdate;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;

/**
 * Exchanges with peers the load on engines and the failures of servers; on the traffic thread.
 *
 * <p>Prevents overload of an engine: each router alone observes only some of the prompts in
 * prefill, and several routers would choose the same engine at the same moment. Changes within a
 * few milliseconds are sent together.
 */
final class LoadSharing implements PeerExchange.LoadListener {
    /**
     * Time for which changes are collected before they are sent, in ms; short compared with the
     * prefill of a prompt.
     */
    private static final long BATCH_MS = 5;

    private final XnioIoThread thread;
    private final LoadTracker loads;
    private final ServerHealth health;
    private final Function<ServerIncarnation, Optional<BackendServer>> servers;
    private final Clock clock;
    private final Supplier<? extends Iterable<RouterId>> peers;
    private final BiConsumer<RouterId, PeerMessage> send;
    private boolean reportScheduled;

    /**
     * Creates an instance that sends nothing until something changes.
     *
     * @param servers returns a listed server
     * @param peers readable on the traffic thread
     * @param send may be called from the traffic thread
     */
    LoadSharing(
            XnioIoThread thread,
            LoadTracker loads,
            ServerHealth health,
            Function<ServerIncarnation, Optional<BackendServer>> servers,
            Clock clock,
            Supplier<? extends Iterable<RouterId>> peers,
            BiConsumer<RouterId, PeerMessage> send) {
        this.thread = checkNotNull(thread, "thread");
        this.loads = checkNotNull(loads, "loads");
        this.health = checkNotNull(health, "health");
        this.servers = checkNotNull(servers, "servers");
        this.clock = checkNotNull(clock, "clock");
        this.peers = checkNotNull(peers, "peers");
        this.send = checkNotNull(send, "send");
    }

    /** Schedules a report after the load of an engine or the health of a server has changed. */
    void scheduleReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            thread.executeAfter(this::sendReports, BATCH_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void sendReports() {
        reportScheduled = false;
        Set<ServerIncarnation> changed = loads.drainChangedEngines();
        if (!changed.isEmpty()) {
            LoadUpdate update = loadUpdate(changed);
            peers.get().forEach(p -> send.accept(p, update));
        }
        health.drainFailureReports()
                .forEach(
                        (server, gone) -> {
                            FailureUpdate update = new FailureUpdate(server, gone);
                            peers.get().forEach(p -> send.accept(p, update));
                        });
    }

    @Override
    public void handleFailure(ServerIncarnation server, boolean gone) {
        thread.execute(
                () ->
                        servers.apply(server)
                                .ifPresent(s -> health.recordPeerReport(s, gone, clock.nowMs())));
    }

    @Override
    public void handleLoad(RouterId peer, List<EngineLoad> engines) {
        thread.execute(
                () -> engines.forEach(e -> loads.recordPeerLoad(peer, e.engine(), e.load())));
    }

    @Override
    public void peerLost(RouterId peer) {
        thread.execute(() -> loads.forgetPeer(peer));
    }

    @Override
    public void sendAll(RouterId peer) {
        thread.execute(
                () -> {
                    Set<ServerIncarnation> used = loads.loadedEngines();
                    if (!used.isEmpty()) {
                        send.accept(peer, loadUpdate(used));
                    }
                });
    }

    private LoadUpdate loadUpdate(Set<ServerIncarnation> engines) {
        return new LoadUpdate(
                engines.stream()
                        .map(e -> new EngineLoad(e, loads.ownLoad(e)))
                        .collect(ImmutableList.toImmutableList()));
    }
}
