package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.DomainId;
import org.masticweir.path.ConnectFailure;

/**
 * Observed health of the backend servers; owned by the traffic thread.
 *
 * <p>The servers of a domain may be lost together, while the instance list contains them for
 * seconds more. Lost servers look idle, so selection by load alone would try the lost servers in
 * turn, and would place copies on servers that no longer exist. If two servers of a service fail in
 * a domain within a short time, all servers of the service in that domain are therefore suspect
 * until they answer. Routers report failures to each other, because each router observes only a few
 * failures.
 */
public final class ServerHealth {
    /** How long a server is excluded after its first failure, in ms. */
    static final long FIRST_DOWN_MS = 300;

    /**
     * Maximum exclusion after a failure, in ms: a recovered server must not stay idle for seconds.
     */
    static final long MAX_DOWN_MS = 1_200;

    private static final int MAX_DOUBLINGS = 2;

    /** Time within which failures of two servers are attributed to a common cause, in ms. */
    static final long COMMON_CAUSE_WINDOW_MS = 250;

    /** How long the servers of a suspect domain are excluded, in ms. */
    static final long DOMAIN_DOWN_MS = 1_000;

    /**
     * How long a failed server is deprioritized, in ms. The entry of a lost server expires within
     * this time, after three missed heartbeats.
     */
    static final long RECENT_FAILURE_MS = 5_000;

    /** How long a server is deprioritized after the first of consecutive refusals, in ms. */
    static final long FIRST_DEPRIORITIZED_MS = 300;

    private static final int MAX_REFUSAL_DOUBLINGS = 4;

    private final Map<ServerIncarnation, ServerState> serverStates = new HashMap<>();
    private final Map<ServiceInDomain, Suspicion> suspicions = new HashMap<>();
    private Map<ServerIncarnation, Boolean> pendingReports = new LinkedHashMap<>();

    /** Identifies the servers of one service in one domain. */
    private record ServiceInDomain(ServiceName service, DomainId domain) {
        static ServiceInDomain of(BackendServer server) {
            return new ServiceInDomain(server.service(), server.domain());
        }
    }

    private record Failure(ServerIncarnation server, long failedMs) {}

    /** Suspicion that all servers of a service in a domain are lost. */
    private static final class Suspicion {
        private final Deque<Failure> recentFailures = new ArrayDeque<>();
        private long suspectedMs = Long.MIN_VALUE / 2;
    }

    /** Observed state of one server. */
    private static final class ServerState {
        private int failureCount;
        private long lastFailureMs = Long.MIN_VALUE / 2;
        private long downUntilMs = Long.MIN_VALUE;
        private int refusalCount;
        private long deprioritizedUntilMs = Long.MIN_VALUE;
        private long lastAnswerMs = Long.MIN_VALUE / 2;
        private long firstListedMs = Long.MIN_VALUE / 2;
        private boolean isGone;
    }

    private ServerHealth() {}

    public static ServerHealth create() {
        return new ServerHealth();
    }

    /**
     * Records that a server accepts no connections, neither from this router nor from another one.
     * Reported to other routers.
     */
    public void recordFailure(BackendServer server, long nowMs) {
        pendingReports.putIfAbsent(server.incarnation(), false);
        addFailure(server, nowMs);
    }

    /**
     * Records that a server lost a request of this router, or was not reached. It is not reported,
     * because the path from this router to the server may have broken.
     */
    public void recordLoss(BackendServer server, long nowMs) {
        addFailure(server, nowMs);
    }

    /** Records that this router can't connect to a server. */
    public void recordConnectFailure(BackendServer server, ConnectFailure failure, long nowMs) {
        if (failure == ConnectFailure.SERVER_UNREACHABLE) {
            recordFailure(server, nowMs);
        } else if (failure == ConnectFailure.NOT_REACHED || failure == ConnectFailure.UNCONFIRMED) {
            recordLoss(server, nowMs);
        } else {
            excludeServer(serverState(server.incarnation()), nowMs);
        }
    }

    /**
     * Records that a server accepts connections after the loss of a request. A suspicion against
     * its domain that rests on this loss is lifted.
     */
    public void recordReachable(BackendServer server, long nowMs) {
        clearFailures(serverState(server.incarnation()), nowMs);
        Suspicion suspicion = suspicions.get(ServiceInDomain.of(server));
        if (suspicion != null
                && suspicion.recentFailures.removeIf(
                        f -> f.server().equals(server.incarnation()))) {
            suspicion.suspectedMs = Long.MIN_VALUE / 2;
        }
    }

    /**
     * Forgets the observed failures, because this router has lost its paths to all servers. Servers
     * that are gone stay excluded.
     */
    public void forgetFailures() {
        suspicions.clear();
        for (ServerState state : serverStates.values()) {
            state.failureCount = 0;
            state.lastFailureMs = Long.MIN_VALUE / 2;
            state.downUntilMs = Long.MIN_VALUE;
        }
    }

    /** Records that the incarnation of a server has ended. */
    public void recordServerGone(BackendServer server) {
        pendingReports.put(server.incarnation(), true);
        serverState(server.incarnation()).isGone = true;
    }

    /** Records a failure that a peer reports. */
    public void recordPeerReport(BackendServer server, boolean isGone, long nowMs) {
        checkNotNull(server, "server");
        if (isGone) {
            serverState(server.incarnation()).isGone = true;
        } else {
            addFailure(server, nowMs);
        }
    }

    /**
     * Records a refusal and returns how long the server is deprioritized, in ms.
     *
     * <p>A server that immediately refuses every request looks idle. Selection by load alone would
     * prefer this server to all others.
     */
    public long recordRefusal(ServerIncarnation incarnation, long nowMs) {
        ServerState state = serverState(incarnation);
        clearFailures(state, nowMs);
        long durationMs =
                FIRST_DEPRIORITIZED_MS << Math.min(state.refusalCount, MAX_REFUSAL_DOUBLINGS);
        if (nowMs >= state.deprioritizedUntilMs) {
            state.refusalCount++;
            state.deprioritizedUntilMs = nowMs + durationMs;
        }
        return state.deprioritizedUntilMs - nowMs;
    }

    /** Records that a server answered or continued an answer. */
    public void recordAnswer(ServerIncarnation incarnation, long nowMs) {
        ServerState state = serverState(incarnation);
        clearFailures(state, nowMs);
        state.refusalCount = 0;
        state.deprioritizedUntilMs = Long.MIN_VALUE;
    }

    private static void clearFailures(ServerState state, long nowMs) {
        state.failureCount = 0;
        state.lastFailureMs = Long.MIN_VALUE / 2;
        state.downUntilMs = Long.MIN_VALUE;
        state.lastAnswerMs = nowMs;
    }

    /** Returns whether a server must not be sent any request now. */
    public boolean isDown(BackendServer server, long nowMs) {
        ServerState state = serverStates.get(server.incarnation());
        if (state != null && (state.isGone || nowMs < state.downUntilMs)) {
            return true;
        }
        Suspicion suspicion = suspicions.get(ServiceInDomain.of(server));
        return suspicion != null
                && nowMs - suspicion.suspectedMs < DOMAIN_DOWN_MS
                && isSuspect(state, suspicion);
    }

    /** Returns whether other servers are preferred for requests. */
    public boolean isDeprioritized(BackendServer server, long nowMs) {
        ServerState state = serverStates.get(server.incarnation());
        return (state != null && nowMs < state.deprioritizedUntilMs)
                || hasRecentlyFailed(server, nowMs);
    }

    /** Returns whether a server may have ended. Copies should not be placed on such a server. */
    public boolean hasRecentlyFailed(BackendServer server, long nowMs) {
        ServerState state = serverStates.get(server.incarnation());
        if (state != null && (state.isGone || nowMs - state.lastFailureMs < RECENT_FAILURE_MS)) {
            return true;
        }
        Suspicion suspicion = suspicions.get(ServiceInDomain.of(server));
        return suspicion != null
                && nowMs - suspicion.suspectedMs < RECENT_FAILURE_MS
                && isSuspect(state, suspicion);
    }

    /**
     * Returns the servers whose failure this router observed since the last call. The value is true
     * if the server is gone.
     */
    public Map<ServerIncarnation, Boolean> drainFailureReports() {
        Map<ServerIncarnation, Boolean> drained = pendingReports;
        pendingReports = new LinkedHashMap<>();
        return drained;
    }

    /** Adds newly listed incarnations and removes incarnations that are no longer listed. */
    public void updateListedServers(Set<ServerIncarnation> listed, long nowMs) {
        serverStates.keySet().retainAll(listed);
        for (ServerIncarnation incarnation : listed) {
            serverStates.computeIfAbsent(
                    incarnation,
                    i -> {
                        ServerState state = new ServerState();
                        state.firstListedMs = nowMs;
                        return state;
                    });
        }
    }

    private void addFailure(BackendServer server, long nowMs) {
        ServerState state = serverState(server.incarnation());
        excludeServer(state, nowMs);
        state.lastFailureMs = nowMs;
        Suspicion suspicion =
                suspicions.computeIfAbsent(ServiceInDomain.of(server), p -> new Suspicion());
        suspicion.recentFailures.removeIf(
                f ->
                        nowMs - f.failedMs() > COMMON_CAUSE_WINDOW_MS
                                || f.server().equals(server.incarnation()));
        if (!suspicion.recentFailures.isEmpty()) {
            suspicion.suspectedMs = nowMs;
        }
        suspicion.recentFailures.add(new Failure(server.incarnation(), nowMs));
    }

    private static void excludeServer(ServerState state, long nowMs) {
        if (nowMs >= state.downUntilMs) {
            int doublings = Math.min(state.failureCount, MAX_DOUBLINGS);
            state.downUntilMs = nowMs + Math.min(MAX_DOWN_MS, FIRST_DOWN_MS << doublings);
            state.failureCount++;
        }
    }

    /**
     * Returns whether the suspicion applies to a server. A server that answered or was first listed
     * after the suspicion is not suspect.
     */
    private static boolean isSuspect(ServerState state, Suspicion suspicion) {
        return state != null
                && state.lastAnswerMs < suspicion.suspectedMs
                && state.firstListedMs < suspicion.suspectedMs;
    }

    private ServerState serverState(ServerIncarnation incarnation) {
        return serverStates.computeIfAbsent(incarnation, i -> new ServerState());
    }
}
