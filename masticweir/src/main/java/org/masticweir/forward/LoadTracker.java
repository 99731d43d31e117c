package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.RouterId;

/**
 * Known load of each backend server; owned by the traffic thread.
 *
 * <p>The load has three sources: the sends of this router, the loads that peers report for their
 * own sends, and the request counts in the answers of servers. Peers report totals instead of
 * differences, so the next report corrects the effect of a lost report.
 */
public final class LoadTracker {
    /**
     * How long the request count of a server is used after its report, in ms. Later the server's
     * queue has changed.
     */
    static final long REPORT_VALIDITY_MS = 400;

    private final Map<ServerIncarnation, TrackedServer> servers = new HashMap<>();
    private final Map<RouterId, Map<ServerIncarnation, ServerLoad>> peerLoads = new HashMap<>();
    private final Set<ServerIncarnation> changedEngines = new HashSet<>();

    /** Load of one server. */
    private static final class TrackedServer {
        private ServerLoad ownLoad = ServerLoad.none();
        private ServerLoad peerLoad = ServerLoad.none();
        private int reportedOtherRequests;
        private long reportedAtMs = Long.MIN_VALUE / 2;
    }

    private LoadTracker() {}

    public static LoadTracker create() {
        return new LoadTracker();
    }

    /** Records a request that was sent to {@code incarnation}. */
    public void recordSend(ServerIncarnation incarnation, RequestSize size) {
        updateOwnLoad(incarnation, trackedServer(incarnation).ownLoad.plusRequest(size));
    }

    /** Records the end of a prefill: the first event arrived, or the request ended. */
    public void recordPrefillEnd(ServerIncarnation incarnation, RequestSize size) {
        updateOwnLoad(incarnation, trackedServer(incarnation).ownLoad.minusPrefill(size));
    }

    /** Records the end of a request at {@code incarnation}, after {@link #recordPrefillEnd}. */
    public void recordEnd(ServerIncarnation incarnation, RequestSize size) {
        updateOwnLoad(incarnation, trackedServer(incarnation).ownLoad.minusRequest(size));
    }

    /**
     * Adds the maximum number of tokens of a copy at {@code incarnation}; {@code tokens} is
     * negative when the copy is released.
     */
    public void addCopyTokens(ServerIncarnation incarnation, long tokens) {
        updateOwnLoad(incarnation, trackedServer(incarnation).ownLoad.plusCopyTokens(tokens));
    }

    /** Records the total number of requests that a server reports. */
    public void recordServerReport(ServerIncarnation incarnation, int requestCount, long nowMs) {
        TrackedServer server = trackedServer(incarnation);
        // Both counts still include the answered request.
        server.reportedOtherRequests = Math.max(0, requestCount - server.ownLoad.running());
        server.reportedAtMs = nowMs;
    }

    /** Records the load that a peer reports for a server. */
    public void recordPeerLoad(RouterId peer, ServerIncarnation incarnation, ServerLoad load) {
        checkNotNull(load, "load");
        peerLoads.computeIfAbsent(peer, p -> new HashMap<>()).put(incarnation, load);
        updatePeerLoad(incarnation);
    }

    /**
     * Removes the load reported by an unreachable peer: the current load of that peer is unknown.
     */
    public void forgetPeer(RouterId peer) {
        Map<ServerIncarnation, ServerLoad> forgotten = peerLoads.remove(peer);
        if (forgotten != null) {
            forgotten.keySet().forEach(this::updatePeerLoad);
        }
    }

    /** Removes servers that are no longer listed and have no load from this router. */
    public void retainServers(Set<ServerIncarnation> listed) {
        servers.entrySet()
                .removeIf(
                        e ->
                                !listed.contains(e.getKey())
                                        && e.getValue().ownLoad.equals(ServerLoad.none()));
        peerLoads.values().forEach(p -> p.keySet().retainAll(listed));
    }

    /** Returns the load that all known routers together put on {@code incarnation}. */
    public ServerLoad totalLoad(ServerIncarnation incarnation) {
        TrackedServer server = servers.get(incarnation);
        return server == null ? ServerLoad.none() : server.ownLoad.plus(server.peerLoad);
    }

    /** Returns the load that this router puts on {@code incarnation}. */
    public ServerLoad ownLoad(ServerIncarnation incarnation) {
        TrackedServer server = servers.get(incarnation);
        return server == null ? ServerLoad.none() : server.ownLoad;
    }

    /**
     * Returns the number of requests at {@code incarnation}, based on the server's last report and
     * this router's current sends.
     */
    public int requestCount(ServerIncarnation incarnation, long nowMs) {
        TrackedServer server = servers.get(incarnation);
        if (server == null) {
            return 0;
        }
        boolean fresh = nowMs - server.reportedAtMs <= REPORT_VALIDITY_MS;
        int others = fresh ? server.reportedOtherRequests : server.peerLoad.running();
        return server.ownLoad.running() + others;
    }

    /** Returns the engines that have load from this router. */
    public Set<ServerIncarnation> loadedEngines() {
        Set<ServerIncarnation> loaded = new HashSet<>();
        servers.forEach(
                (incarnation, server) -> {
                    if (server.ownLoad.memoryTokens() > 0) {
                        loaded.add(incarnation);
                    }
                });
        return loaded;
    }

    /** Returns the engines whose load from this router has changed since the last call. */
    public Set<ServerIncarnation> drainChangedEngines() {
        Set<ServerIncarnation> drained = Set.copyOf(changedEngines);
        changedEngines.clear();
        return drained;
    }

    private void updateOwnLoad(ServerIncarnation incarnation, ServerLoad load) {
        TrackedServer server = trackedServer(incarnation);
        boolean hasEngineLoadChanged =
                !load.equals(server.ownLoad)
                        && (load.memoryTokens() > 0 || server.ownLoad.memoryTokens() > 0);
        server.ownLoad = load;
        if (hasEngineLoadChanged) {
            changedEngines.add(incarnation);
        }
    }

    private void updatePeerLoad(ServerIncarnation incarnation) {
        ServerLoad sum = ServerLoad.none();
        for (Map<ServerIncarnation, ServerLoad> peer : peerLoads.values()) {
            sum = sum.plus(peer.getOrDefault(incarnation, ServerLoad.none()));
        }
        trackedServer(incarnation).peerLoad = sum;
    }

    private TrackedServer trackedServer(ServerIncarnation incarnation) {
        return servers.computeIfAbsent(incarnation, i -> new TrackedServer());
    }
}
