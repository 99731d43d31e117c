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
    static final long TOGETHER_MS = 250;

    /** How long the servers of an accused domain are passed over, in ms. */
    static final long DOMAIN_DOWN_MS = 1_000;

    /**
     * How long a server that failed is the last choice, in ms: until its entry has lapsed, which
     * takes three of its heartbeats.
     */
    static final long DOUBT_MS = 5_000;

    /** How long a server is the last choice after its first refusal in a row, in ms. */
    static final long FIRST_REFUSED_MS = 300;

    private static final int MAX_REFUSED_DOUBLINGS = 4;

    private final Map<ServerIncarnation, State> states = new HashMap<>();
    private final Map<Place, Accusation> places = new HashMap<>();
    private Map<ServerIncarnation, Boolean> news = new LinkedHashMap<>();

    /** The servers of one service in one domain. */
    private record Place(ServiceName service, DomainId domain) {
        static Place of(BackendServer server) {
            return new Place(server.service(), server.domain());
        }
    }

    /** One failure. */
    private record Failed(ServerIncarnation server, long atMs) {}

    /** What is held against all servers of a place. */
    private static final class Accusation {
        private final Deque<Failed> recent = new ArrayDeque<>();
        private long atMs = Long.MIN_VALUE / 2;
    }

    /** What is known of one server. */
    private static final class State {
        private int failures;
        private long failedMs = Long.MIN_VALUE / 2;
        private long downUntilMs = Long.MIN_VALUE;
        private int refusals;
        private long refusedUntilMs = Long.MIN_VALUE;
        private long answeredMs = Long.MIN_VALUE / 2;
        private long listedMs = Long.MIN_VALUE / 2;
        private boolean gone;
    }

    private ServerHealth() {}

    public static ServerHealth create() {
        return new ServerHealth();
    }

    /** This router could not reach a server, or was broken off by it. */
    public void recordFailure(BackendServer server, long nowMs) {
        news.putIfAbsent(server.incarnation(), false);
        note(server, nowMs);
    }

    /** This router learnt that a server's life is over. */
    public void recordGone(BackendServer server) {
        news.put(server.incarnation(), true);
        state(server.incarnation()).gone = true;
    }

    /** A peer told of a failure. */
    public void recordPeerReport(BackendServer server, boolean gone, long nowMs) {
        checkNotNull(server, "server");
        if (gone) {
            state(server.incarnation()).gone = true;
        } else {
            note(server, nowMs);
        }
    }

    /**
     * A server refused a request; returns how long it is the last choice, in ms.
     *
     * <p>Load that it answers: a server refuses what comes, each request at once. It is idle, so
     * whoever goes by load alone sends it more than any other.
     */
    public long recordRefusal(ServerIncarnation id, long nowMs) {
        State state = state(id);
        forgetFailures(state, nowMs);
        long lastMs = FIRST_REFUSED_MS << Math.min(state.refusals, MAX_REFUSED_DOUBLINGS);
        if (nowMs >= state.refusedUntilMs) {
            state.refusals++;
            state.refusedUntilMs = nowMs + lastMs;
        }
        return state.refusedUntilMs - nowMs;
    }

    /** A server answered, or went on with an answer. */
    public void recordAnswer(ServerIncarnation id, long nowMs) {
        State state = state(id);
        forgetFailures(state, nowMs);
        state.refusals = 0;
        state.refusedUntilMs = Long.MIN_VALUE;
    }

    private static void forgetFailures(State state, long nowMs) {
        state.failures = 0;
        state.failedMs = Long.MIN_VALUE / 2;
        state.downUntilMs = Long.MIN_VALUE;
        state.answeredMs = nowMs;
    }

    /** Returns whether nothing should be sent to a server now. */
    public boolean isDown(BackendServer server, long nowMs) {
        State state = states.get(server.incarnation());
        if (state != null && (state.gone || nowMs < state.downUntilMs)) {
            return true;
        }
        Accusation accusation = places.get(Place.of(server));
        return accusation != null
                && nowMs - accusation.atMs < DOMAIN_DOWN_MS
                && isAccused(state, accusation);
    }

    /** Returns whether other servers should take requests first. */
    public boolean isLastChoice(BackendServer server, long nowMs) {
        State state = states.get(server.incarnation());
        return (state != null && nowMs < state.refusedUntilMs) || isDoubtful(server, nowMs);
    }

    /** Returns whether a server may have ended, and should hold no copies. */
    public boolean isDoubtful(BackendServer server, long nowMs) {
        State state = states.get(server.incarnation());
        if (state != null && (state.gone || nowMs - state.failedMs < DOUBT_MS)) {
            return true;
        }
        Accusation accusation = places.get(Place.of(server));
        return accusation != null
                && nowMs - accusation.atMs < DOUBT_MS
                && isAccused(state, accusation);
    }

    /** Returns the servers that failed here since the last call, and whether they are gone. */
    public Map<ServerIncarnation, Boolean> drainFailureReports() {
        Map<ServerIncarnation, Boolean> taken = news;
        news = new LinkedHashMap<>();
        return taken;
    }

    /** Takes note of lives that are new in the list and forgets those that are not in it. */
    public void updateListed(Set<ServerIncarnation> listed, long nowMs) {
        states.keySet().retainAll(listed);
        for (ServerIncarnation id : listed) {
            states.computeIfAbsent(
                    id,
                    i -> {
                        State state = new State();
                        state.listedMs = nowMs;
                        return state;
                    });
        }
    }

    private void note(BackendServer server, long nowMs) {
        State state = state(server.incarnation());
        if (nowMs >= state.downUntilMs) {
            int doublings = Math.min(state.failures, MAX_DOUBLINGS);
            state.downUntilMs = nowMs + Math.min(MAX_DOWN_MS, FIRST_DOWN_MS << doublings);
            state.failures++;
        }
        state.failedMs = nowMs;
        Accusation accusation = places.computeIfAbsent(Place.of(server), p -> new Accusation());
        accusation.recent.removeIf(
                f -> nowMs - f.atMs() > TOGETHER_MS || f.server().equals(server.incarnation()));
        if (!accusation.recent.isEmpty()) {
            accusation.atMs = nowMs;
        }
        accusation.recent.add(new Failed(server.incarnation(), nowMs));
    }

    /** A server is not meant that has answered since, or that is a new life listed since. */
    private static boolean isAccused(State state, Accusation accusation) {
        return state != null
                && state.answeredMs < accusation.atMs
                && state.listedMs < accusation.atMs;
    }

    private State state(ServerIncarnation id) {
        return states.computeIfAbsent(id, i -> new State());
    }
}
