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
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
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
 * <p>Prevents overload of an engine: without these reports, each router would count only the
 * prompts that it sent itself, and several routers would choose the same engine at the same moment.
 * Changes within a few milliseconds are sent together.
 */
final class LoadSharing implements PeerExchange.LoadListener {
    private static final Logger LOG = LogManager.getLogger(LoadSharing.class);

    /**
     * Time for which changes are collected before they are sent, in ms; short compared with the
     * prefill of a prompt.
     */
    private static final long BATCH_MS = 5;

    private final XnioIoThread thread;
    private final LoadTracker loads;
    private final ServerHealth health;
    private final Function<ServerIncarnation, Optional<BackendServer>> serverLookup;
    private final Clock clock;
    private final Supplier<? extends Iterable<RouterId>> peerIds;
    private final BiConsumer<RouterId, PeerMessage> sender;
    private boolean isReportScheduled;

    /**
     * Creates an instance that sends nothing until something changes.
     *
     * @param serverLookup returns the server of an incarnation; empty if it is not listed
     * @param peerIds readable on the traffic thread
     * @param sender may be called from the traffic thread
     */
    LoadSharing(
            XnioIoThread thread,
            LoadTracker loads,
            ServerHealth health,
            Function<ServerIncarnation, Optional<BackendServer>> serverLookup,
            Clock clock,
            Supplier<? extends Iterable<RouterId>> peerIds,
            BiConsumer<RouterId, PeerMessage> sender) {
        this.thread = checkNotNull(thread, "thread");
        this.loads = checkNotNull(loads, "loads");
        this.health = checkNotNull(health, "health");
        this.serverLookup = checkNotNull(serverLookup, "serverLookup");
        this.clock = checkNotNull(clock, "clock");
        this.peerIds = checkNotNull(peerIds, "peerIds");
        this.sender = checkNotNull(sender, "sender");
    }

    /** Schedules a report after the load of an engine or the health of a server has changed. */
    void scheduleReport() {
        if (!isReportScheduled) {
            isReportScheduled = true;
            thread.executeAfter(this::sendReports, BATCH_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void sendReports() {
        isReportScheduled = false;
        Set<ServerIncarnation> changed = loads.drainChangedEngines();
        if (!changed.isEmpty()) {
            LoadUpdate update = loadUpdate(changed);
            peerIds.get().forEach(p -> sender.accept(p, update));
        }
        health.drainFailureReports()
                .forEach(
                        (server, gone) -> {
                            FailureUpdate update = new FailureUpdate(server, gone);
                            peerIds.get().forEach(p -> sender.accept(p, update));
                        });
    }

    @Override
    public void handleFailure(RouterId peer, ServerIncarnation server, boolean gone) {
        LOG.info("health: {} reports that {} {}", peer, server, gone ? "has ended" : "failed");
        thread.execute(
                () ->
                        serverLookup
                                .apply(server)
                                .ifPresent(s -> health.recordPeerReport(s, gone, clock.nowMs())));
    }

    @Override
    public void handleLoad(RouterId peer, List<EngineLoad> engines) {
        thread.execute(
                () -> engines.forEach(e -> loads.recordPeerLoad(peer, e.engine(), e.load())));
    }

    @Override
    public void onPeerLost(RouterId peer) {
        thread.execute(() -> loads.forgetPeer(peer));
    }

    @Override
    public void sendLoads(RouterId peer) {
        thread.execute(
                () -> {
                    Set<ServerIncarnation> used = loads.loadedEngines();
                    if (!used.isEmpty()) {
                        sender.accept(peer, loadUpdate(used));
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
