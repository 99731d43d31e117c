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
    static final long REPORT_MS = 400;

    private final Map<ServerIncarnation, Server> servers = new HashMap<>();
    private final Map<RouterId, Map<ServerIncarnation, ServerLoad>> peers = new HashMap<>();
    private final Set<ServerIncarnation> changed = new HashSet<>();

    /** State of one server. */
    private static final class Server {
        private ServerLoad own = ServerLoad.none();
        private ServerLoad others = ServerLoad.none();
        private int reportedOthers;
        private long reportedAtMs = Long.MIN_VALUE / 2;
    }

    private LoadTracker() {}

    public static LoadTracker create() {
        return new LoadTracker();
    }

    /** A request was sent to {@code id}. */
    public void recordSend(ServerIncarnation id, RequestSize size) {
        update(id, server(id).own.sent(size));
    }

    /** The prompt of a request was read: its first event came, or it ended. */
    public void recordPrefillEnd(ServerIncarnation id, RequestSize size) {
        update(id, server(id).own.read(size));
    }

    /** A request ended at {@code id}, after it was {@link #recordPrefillEnd}. */
    public void recordEnd(ServerIncarnation id, RequestSize size) {
        update(id, server(id).own.ended(size));
    }

    /** A copy of {@code tokens} may come to lie at {@code id}; negative when it is given up. */
    public void addCopyTokens(ServerIncarnation id, long tokens) {
        update(id, server(id).own.holding(tokens));
    }

    /** A server told how many requests it has in all. */
    public void recordServerReport(ServerIncarnation id, int present, long nowMs) {
        Server server = server(id);
        // The answered request itself is still counted in both figures.
        server.reportedOthers = Math.max(0, present - server.own.running());
        server.reportedAtMs = nowMs;
    }

    /** A peer told what it has at a server now. */
    public void recordPeerLoad(RouterId peer, ServerIncarnation id, ServerLoad use) {
        checkNotNull(use, "use");
        peers.computeIfAbsent(peer, p -> new HashMap<>()).put(id, use);
        sumOthers(id);
    }

    /** A peer is out of reach; what it has sent is not known any more. */
    public void forgetPeer(RouterId peer) {
        Map<ServerIncarnation, ServerLoad> gone = peers.remove(peer);
        if (gone != null) {
            gone.keySet().forEach(this::sumOthers);
        }
    }

    /** Forgets servers that are gone and that nothing of this router is at. */
    public void retainServers(Set<ServerIncarnation> present) {
        servers.entrySet()
                .removeIf(
                        e ->
                                !present.contains(e.getKey())
                                        && e.getValue().own.equals(ServerLoad.none()));
        peers.values().forEach(p -> p.keySet().retainAll(present));
    }

    /** Returns what all known routers have at {@code id}. */
    public ServerLoad totalLoad(ServerIncarnation id) {
        Server server = servers.get(id);
        return server == null ? ServerLoad.none() : server.own.plus(server.others);
    }

    /** Returns what this router has at {@code id}. */
    public ServerLoad ownLoad(ServerIncarnation id) {
        Server server = servers.get(id);
        return server == null ? ServerLoad.none() : server.own;
    }

    /** Returns how many requests {@code id} has by its own word and by what was sent since. */
    public int present(ServerIncarnation id, long nowMs) {
        Server server = servers.get(id);
        if (server == null) {
            return 0;
        }
        boolean fresh = nowMs - server.reportedAtMs <= REPORT_MS;
        int others = fresh ? server.reportedOthers : server.others.running();
        return server.own.running() + others;
    }

    /** Returns the engines at which this router has something. */
    public Set<ServerIncarnation> loadedEngines() {
        Set<ServerIncarnation> used = new HashSet<>();
        servers.forEach(
                (id, server) -> {
                    if (server.own.memoryTokens() > 0) {
                        used.add(id);
                    }
                });
        return used;
    }

    /** Returns the engines at which this router's use changed since the last call. */
    public Set<ServerIncarnation> drainChanged() {
        Set<ServerIncarnation> taken = Set.copyOf(changed);
        changed.clear();
        return taken;
    }

    private void update(ServerIncarnation id, ServerLoad use) {
        Server server = server(id);
        boolean told =
                !use.equals(server.own)
                        && (use.memoryTokens() > 0 || server.own.memoryTokens() > 0);
        server.own = use;
        if (told) {
            changed.add(id);
        }
    }

    private void sumOthers(ServerIncarnation id) {
        ServerLoad sum = ServerLoad.none();
        for (Map<ServerIncarnation, ServerLoad> peer : peers.values()) {
            sum = sum.plus(peer.getOrDefault(id, ServerLoad.none()));
        }
        server(id).others = sum;
    }

    private Server server(ServerIncarnation id) {
        return servers.computeIfAbsent(id, i -> new Server());
    }
}
