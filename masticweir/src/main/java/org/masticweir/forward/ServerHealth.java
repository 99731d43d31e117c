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

/**
 * Which backend servers are believed to live; owned by the traffic thread.
 *
 * <p>Failure that it answers: the servers of a domain are lost together, while the instance list
 * names them for seconds more. They are idle then, so whoever goes by load alone sends everything
 * there, one server after the other, and has copies kept by servers that no longer exist. Two
 * servers of a domain that fail at one moment therefore accuse all of that domain, but for those
 * that answer afterwards. Routers tell each other of failures, as each sees a few of them only.
 */
public final class ServerHealth {
    /** How long a server is passed over after its first failure, in ms. */
    static final long FIRST_DOWN_MS = 300;

    /** Longest such time, in ms: a server that is back must not stay idle for seconds. */
    static final long MAX_DOWN_MS = 1_200;

    private static final int MAX_DOUBLINGS = 2;

    /** Failures of two servers that lie no further apart have one cause, in ms. */
    static final long COMMON_CAUSE_WINDOW_MS = 250;

    /** How long the servers of an accused domain are passed over, in ms. */
    static final long DOMAIN_DOWN_MS = 1_000;

    /**
     * How long a server that failed is the last choice, in ms: until its entry has lapsed, which
     * takes three of its heartbeats.
     */
    static final long RECENT_FAILURE_MS = 5_000;

    /** How long a server is the last choice after its first refusal in a row, in ms. */
    static final long FIRST_DEPRIORITIZED_MS = 300;

    private static final int MAX_REFUSAL_DOUBLINGS = 4;

    private final Map<ServerIncarnation, ServerState> states = new HashMap<>();
    private final Map<ServiceInDomain, Suspicion> suspicions = new HashMap<>();
    private Map<ServerIncarnation, Boolean> pendingReports = new LinkedHashMap<>();

    /** The servers of one service in one domain. */
    private record ServiceInDomain(ServiceName service, DomainId domain) {
        static ServiceInDomain of(BackendServer server) {
            return new ServiceInDomain(server.service(), server.domain());
        }
    }

    /** One failure. */
    private record Failure(ServerIncarnation server, long atMs) {}

    /** What is held against all servers of a place. */
    private static final class Suspicion {
        private final Deque<Failure> recent = new ArrayDeque<>();
        private long atMs = Long.MIN_VALUE / 2;
    }

    /** What is known of one server. */
    private static final class ServerState {
        private int failures;
        private long failedMs = Long.MIN_VALUE / 2;
        private long downUntilMs = Long.MIN_VALUE;
        private int refusals;
        private long deprioritizedUntilMs = Long.MIN_VALUE;
        private long answeredMs = Long.MIN_VALUE / 2;
        private long listedMs = Long.MIN_VALUE / 2;
        private boolean isGone;
    }

    private ServerHealth() {}

    public static ServerHealth create() {
        return new ServerHealth();
    }

    /** This router could not reach a server, or was broken off by it. */
    public void recordFailure(BackendServer server, long nowMs) {
        pendingReports.putIfAbsent(server.incarnation(), false);
        addFailure(server, nowMs);
    }

    /** This router learnt that a server's incarnation is over. */
    public void recordGone(BackendServer server) {
        pendingReports.put(server.incarnation(), true);
        state(server.incarnation()).isGone = true;
    }

    /** A peer told of a failure. */
    public void recordPeerReport(BackendServer server, boolean gone, long nowMs) {
        checkNotNull(server, "server");
        if (gone) {
            state(server.incarnation()).isGone = true;
        } else {
            addFailure(server, nowMs);
        }
    }

    /**
     * A server refused a request; returns how long it is the last choice, in ms.
     *
     * <p>Load that it answers: a server refuses what comes, each request at once. It is idle, so
     * whoever goes by load alone sends it more than any other.
     */
    public long recordRefusal(ServerIncarnation incarnation, long nowMs) {
        ServerState state = state(incarnation);
        clearFailures(state, nowMs);
        long durationMs = FIRST_DEPRIORITIZED_MS << Math.min(state.refusals, MAX_REFUSAL_DOUBLINGS);
        if (nowMs >= state.deprioritizedUntilMs) {
            state.refusals++;
            state.deprioritizedUntilMs = nowMs + durationMs;
        }
        return state.deprioritizedUntilMs - nowMs;
    }

    /** A server answered, or went on with an answer. */
    public void recordAnswer(ServerIncarnation incarnation, long nowMs) {
        ServerState state = state(incarnation);
        clearFailures(state, nowMs);
        state.refusals = 0;
        state.deprioritizedUntilMs = Long.MIN_VALUE;
    }

    private static void clearFailures(ServerState state, long nowMs) {
        state.failures = 0;
        state.failedMs = Long.MIN_VALUE / 2;
        state.downUntilMs = Long.MIN_VALUE;
        state.answeredMs = nowMs;
    }

    /** Returns whether nothing should be sent to a server now. */
    public boolean isDown(BackendServer server, long nowMs) {
        ServerState state = states.get(server.incarnation());
        if (state != null && (state.isGone || nowMs < state.downUntilMs)) {
            return true;
        }
        Suspicion suspicion = suspicions.get(ServiceInDomain.of(server));
        return suspicion != null
                && nowMs - suspicion.atMs < DOMAIN_DOWN_MS
                && isSuspect(state, suspicion);
    }

    /** Returns whether other servers should take requests first. */
    public boolean isDeprioritized(BackendServer server, long nowMs) {
        ServerState state = states.get(server.incarnation());
        return (state != null && nowMs < state.deprioritizedUntilMs)
                || hasRecentlyFailed(server, nowMs);
    }

    /** Returns whether a server may have ended, and should hold no copies. */
    public boolean hasRecentlyFailed(BackendServer server, long nowMs) {
        ServerState state = states.get(server.incarnation());
        if (state != null && (state.isGone || nowMs - state.failedMs < RECENT_FAILURE_MS)) {
            return true;
        }
        Suspicion suspicion = suspicions.get(ServiceInDomain.of(server));
        return suspicion != null
                && nowMs - suspicion.atMs < RECENT_FAILURE_MS
                && isSuspect(state, suspicion);
    }

    /** Returns the servers that failed here since the last call, and whether they are gone. */
    public Map<ServerIncarnation, Boolean> drainFailureReports() {
        Map<ServerIncarnation, Boolean> drained = pendingReports;
        pendingReports = new LinkedHashMap<>();
        return drained;
    }

    /** Takes note of lives that are new in the list and forgets those that are not in it. */
    public void updateListed(Set<ServerIncarnation> listed, long nowMs) {
        states.keySet().retainAll(listed);
        for (ServerIncarnation incarnation : listed) {
            states.computeIfAbsent(
                    incarnation,
                    i -> {
                        ServerState state = new ServerState();
                        state.listedMs = nowMs;
                        return state;
                    });
        }
    }

    private void addFailure(BackendServer server, long nowMs) {
        ServerState state = state(server.incarnation());
        if (nowMs >= state.downUntilMs) {
            int doublings = Math.min(state.failures, MAX_DOUBLINGS);
            state.downUntilMs = nowMs + Math.min(MAX_DOWN_MS, FIRST_DOWN_MS << doublings);
            state.failures++;
        }
        state.failedMs = nowMs;
        Suspicion suspicion =
                suspicions.computeIfAbsent(ServiceInDomain.of(server), p -> new Suspicion());
        suspicion.recent.removeIf(
                f ->
                        nowMs - f.atMs() > COMMON_CAUSE_WINDOW_MS
                                || f.server().equals(server.incarnation()));
        if (!suspicion.recent.isEmpty()) {
            suspicion.atMs = nowMs;
        }
        suspicion.recent.add(new Failure(server.incarnation(), nowMs));
    }

    /** A server is not meant that has answered since, or that is a new incarnation listed since. */
    private static boolean isSuspect(ServerState state, Suspicion suspicion) {
        return state != null
                && state.answeredMs < suspicion.atMs
                && state.listedMs < suspicion.atMs;
    }

    private ServerState state(ServerIncarnation incarnation) {
        return states.computeIfAbsent(incarnation, i -> new ServerState());
    }
}
