package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.RouterId;

/**
 * What is known of each backend server's load; owned by the traffic thread.
 *
 * <p>Three sources: what this router has sent, what peers say they have sent, and what servers say
 * of themselves in their answers. Peers' words are totals, not differences, so that a lost one is
 * mended by the next.
 */
public final class LoadTracker {
    /** How long a server's own word on its queue counts, in ms; the queue is another one then. */
    static final long REPORT_VALID_MS = 400;

    private final Map<ServerIncarnation, TrackedServer> servers = new HashMap<>();
    private final Map<RouterId, Map<ServerIncarnation, ServerLoad>> peers = new HashMap<>();
    private final Set<ServerIncarnation> changed = new HashSet<>();

    /** State of one server. */
    private static final class TrackedServer {
        private ServerLoad own = ServerLoad.none();
        private ServerLoad others = ServerLoad.none();
        private int reportedOthers;
        private long reportedAtMs = Long.MIN_VALUE / 2;
    }

    private LoadTracker() {}

    public static LoadTracker create() {
        return new LoadTracker();
    }

    /** A request was sent to {@code incarnation}. */
    public void recordSend(ServerIncarnation incarnation, RequestSize size) {
        updateOwnLoad(incarnation, server(incarnation).own.plusRequest(size));
    }

    /** The prompt of a request was read: its first event came, or it ended. */
    public void recordPrefillEnd(ServerIncarnation incarnation, RequestSize size) {
        updateOwnLoad(incarnation, server(incarnation).own.minusPrefill(size));
    }

    /** A request ended at {@code incarnation}, after it was {@link #recordPrefillEnd}. */
    public void recordEnd(ServerIncarnation incarnation, RequestSize size) {
        updateOwnLoad(incarnation, server(incarnation).own.minusRequest(size));
    }

    /**
     * A copy of {@code tokens} may come to lie at {@code incarnation}; negative when it is given
     * up.
     */
    public void addCopyTokens(ServerIncarnation incarnation, long tokens) {
        updateOwnLoad(incarnation, server(incarnation).own.plusCopyTokens(tokens));
    }

    /** A server told how many requests it has in all. */
    public void recordServerReport(ServerIncarnation incarnation, int requestCount, long nowMs) {
        TrackedServer server = server(incarnation);
        // The answered request itself is still counted in both figures.
        server.reportedOthers = Math.max(0, requestCount - server.own.running());
        server.reportedAtMs = nowMs;
    }

    /** A peer told what it has at a server now. */
    public void recordPeerLoad(RouterId peer, ServerIncarnation incarnation, ServerLoad load) {
        checkNotNull(load, "load");
        peers.computeIfAbsent(peer, p -> new HashMap<>()).put(incarnation, load);
        updatePeerLoad(incarnation);
    }

    /** A peer is out of reach; what it has sent is not known any more. */
    public void forgetPeer(RouterId peer) {
        Map<ServerIncarnation, ServerLoad> forgotten = peers.remove(peer);
        if (forgotten != null) {
            forgotten.keySet().forEach(this::updatePeerLoad);
        }
    }

    /** Forgets servers that are gone and that nothing of this router is at. */
    public void retainServers(Set<ServerIncarnation> listed) {
        servers.entrySet()
                .removeIf(
                        e ->
                                !listed.contains(e.getKey())
                                        && e.getValue().own.equals(ServerLoad.none()));
        peers.values().forEach(p -> p.keySet().retainAll(listed));
    }

    /** Returns what all known routers have at {@code incarnation}. */
    public ServerLoad totalLoad(ServerIncarnation incarnation) {
        TrackedServer server = servers.get(incarnation);
        return server == null ? ServerLoad.none() : server.own.plus(server.others);
    }

    /** Returns what this router has at {@code incarnation}. */
    public ServerLoad ownLoad(ServerIncarnation incarnation) {
        TrackedServer server = servers.get(incarnation);
        return server == null ? ServerLoad.none() : server.own;
    }

    /**
     * Returns how many requests {@code incarnation} has by its own word and by what was sent since.
     */
    public int requestCount(ServerIncarnation incarnation, long nowMs) {
        TrackedServer server = servers.get(incarnation);
        if (server == null) {
            return 0;
        }
        boolean fresh = nowMs - server.reportedAtMs <= REPORT_VALID_MS;
        int others = fresh ? server.reportedOthers : server.others.running();
        return server.own.running() + others;
    }

    /** Returns the engines at which this router has something. */
    public Set<ServerIncarnation> loadedEngines() {
        Set<ServerIncarnation> loaded = new HashSet<>();
        servers.forEach(
                (incarnation, server) -> {
                    if (server.own.memoryTokens() > 0) {
                        loaded.add(incarnation);
                    }
                });
        return loaded;
    }

    /** Returns the engines at which this router's use changed since the last call. */
    public Set<ServerIncarnation> drainChanged() {
        Set<ServerIncarnation> drained = Set.copyOf(changed);
        changed.clear();
        return drained;
    }

    private void updateOwnLoad(ServerIncarnation incarnation, ServerLoad load) {
        TrackedServer server = server(incarnation);
        boolean isAnnounced =
                !load.equals(server.own)
                        && (load.memoryTokens() > 0 || server.own.memoryTokens() > 0);
        server.own = load;
        if (isAnnounced) {
            changed.add(incarnation);
        }
    }

    private void updatePeerLoad(ServerIncarnation incarnation) {
        ServerLoad sum = ServerLoad.none();
        for (Map<ServerIncarnation, ServerLoad> peer : peers.values()) {
            sum = sum.plus(peer.getOrDefault(incarnation, ServerLoad.none()));
        }
        server(incarnation).others = sum;
    }

    private TrackedServer server(ServerIncarnation incarnation) {
        return servers.computeIfAbsent(incarnation, i -> new TrackedServer());
    }
}
