package org.masticweir.path;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;

/**
 * Which servers this router reaches directly; owned by the traffic thread.
 *
 * <p>A failed connection shows a broken path or a failed server, and one router alone can't tell
 * which. The path is broken if another router reaches the server at the same time. If direct
 * connections to several servers fail and none succeeds, this router has probably lost its paths to
 * all servers, and its failures say nothing about the servers.
 */
public final class ServerPaths {
    /**
     * Failed servers, without a success in between, from which on all paths count as lost, if that
     * many are listed. With fewer, the loss of a path to some of the servers would pass for it.
     */
    static final int LOST_FROM_SERVERS = 4;

    /** Failed servers from which on other servers should be tried to tell both cases apart. */
    static final int DOUBTFUL_FROM_SERVERS = 2;

    /**
     * How long the failure of a server that other routers do not reach either is attributed to the
     * server, in ms: the entry of a lost server expires within this time.
     */
    static final long UNREACHABLE_MS = 5_000;

    /** How long a broken path is not used after its first failure, in ms. */
    static final long FIRST_BROKEN_MS = 500;

    /** At most a second passes until a path that is whole again is used. */
    private static final int MAX_DOUBLINGS = 1;

    private final Map<ServerIncarnation, BrokenPath> brokenPaths = new HashMap<>();
    private final Set<ServerIncarnation> failedServers = new HashSet<>();
    private final Map<ServerIncarnation, Long> unreachableUntilMs = new HashMap<>();
    private int listedCount = LOST_FROM_SERVERS;

    /** A path that failed while another router reached the server. */
    private static final class BrokenPath {
        private int failureCount;
        private long brokenUntilMs;
    }

    private ServerPaths() {}

    public static ServerPaths create() {
        return new ServerPaths();
    }

    /** Returns whether connections to {@code server} should be opened through another router. */
    public boolean mustUsePeer(ServerIncarnation server, long nowMs) {
        BrokenPath path = brokenPaths.get(server);
        return areAllLost() || (path != null && nowMs < path.brokenUntilMs);
    }

    /** Returns whether this router has probably lost its paths to all servers. */
    public boolean areAllLost() {
        return !failedServers.isEmpty()
                && failedServers.size()
                        >= Math.min(LOST_FROM_SERVERS, listedCount - unreachableUntilMs.size());
    }

    /** Returns whether more servers should be tried to find out whether all paths are lost. */
    boolean areDoubtful() {
        return failedServers.size() >= DOUBTFUL_FROM_SERVERS && !areAllLost();
    }

    /** Returns whether the last direct connection to {@code server} failed. */
    boolean hasFailed(ServerIncarnation server) {
        return failedServers.contains(server);
    }

    /** Returns whether a recent failure of {@code server} was confirmed by other routers. */
    boolean isUnreachable(ServerIncarnation server, long nowMs) {
        return unreachableUntilMs.getOrDefault(server, Long.MIN_VALUE) > nowMs;
    }

    /** Returns the number of servers whose direct path is not used now. */
    int brokenPathCount(long nowMs) {
        return (int) brokenPaths.values().stream().filter(p -> nowMs < p.brokenUntilMs).count();
    }

    /**
     * Records that a direct connection was established. If the paths to all servers were lost, they
     * are probably all back.
     */
    void recordDirectSuccess(ServerIncarnation server) {
        checkNotNull(server, "server");
        if (areAllLost()) {
            brokenPaths.clear();
        }
        brokenPaths.remove(server);
        unreachableUntilMs.remove(server);
        failedServers.clear();
    }

    /**
     * Records that a direct connection was refused or was not accepted in time. It does not count
     * against the paths if the server is known to be unreachable.
     */
    void recordDirectFailure(ServerIncarnation server, long nowMs) {
        checkNotNull(server, "server");
        unreachableUntilMs.values().removeIf(until -> until <= nowMs);
        if (!unreachableUntilMs.containsKey(server)) {
            failedServers.add(server);
        }
    }

    /** Records that another router reached a server to which the direct connection failed. */
    void recordPeerSuccess(ServerIncarnation server, long nowMs) {
        unreachableUntilMs.remove(server);
        if (!failedServers.contains(server)) {
            return;
        }
        BrokenPath path = brokenPaths.computeIfAbsent(server, s -> new BrokenPath());
        if (nowMs >= path.brokenUntilMs) {
            int doublings = Math.min(path.failureCount, MAX_DOUBLINGS);
            path.brokenUntilMs = nowMs + (FIRST_BROKEN_MS << doublings);
            path.failureCount++;
        }
    }

    /**
     * Records that a router with paths to other servers does not reach {@code server} either. The
     * failure is then the server's, and does not count against the paths.
     */
    void recordUnreachable(ServerIncarnation server, long nowMs) {
        brokenPaths.remove(server);
        failedServers.remove(server);
        unreachableUntilMs.put(server, nowMs + UNREACHABLE_MS);
    }

    /**
     * Records that {@code server} is not reached, and that there was no other router to confirm the
     * failure. It does not count against the paths, but the next failure does.
     */
    void recordUnconfirmed(ServerIncarnation server) {
        brokenPaths.remove(server);
        failedServers.remove(server);
    }

    /** Removes servers that are no longer listed. */
    public void retainServers(Set<ServerIncarnation> listed) {
        brokenPaths.keySet().retainAll(listed);
        failedServers.retainAll(listed);
        unreachableUntilMs.keySet().retainAll(listed);
        listedCount = listed.size();
    }
}
