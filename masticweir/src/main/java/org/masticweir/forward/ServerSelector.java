package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.EngineSpec;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.DomainId;
import org.masticweir.permits.ServerLimits;

/**
 * Chooses the server of a request and the holder of its copy; owned by the traffic thread.
 *
 * <p>Load that it answers: long prompts. An engine reads prompts between the tokens of its other
 * requests, so two prompts in reading at one engine put the pauses of all its streams at risk while
 * its neighbours idle. Engines are therefore ranked by the prompt tokens they still have to read,
 * by the word of all routers, and only then by how many requests they run.
 */
public final class ServerSelector {
    /**
     * What one running request weighs against tokens of a prompt in reading. A step's length grows
     * by about 3 in 100 with a request; a prompt's chunk of 200 tokens makes it 8 times as long.
     */
    private static final long TOKENS_A_REQUEST = 2_000;

    /**
     * What another failure domain weighs, in the same unit: a long prompt in reading, or four
     * running requests. A domain that is cut off keeps the streams whose router and engine both lie
     * in it; each other one is read anew, seconds late. Sharing an engine with three running
     * requests costs a tenth of a step's length, so streams stay at home until every engine there
     * reads a prompt or runs far more than others.
     */
    private static final long TOKENS_A_DOMAIN = 8_000;

    /** What another failure domain weighs for plain requests, in requests present a slot. */
    private static final double SLOTS_A_DOMAIN = 0.2;

    /**
     * What a holder away from home weighs for a run away from home, in parts of an engine's memory:
     * any engine at home that can hold the copy comes first.
     */
    private static final double MEMORY_A_CUT = 1;

    /** What doubt weighs, in the same unit: a long prompt that is already in reading. */
    private static final long TOKENS_A_DOUBT = 10_000;

    /** What doubt weighs for plain requests, in requests present a slot. */
    private static final double SLOTS_A_DOUBT = 1;

    /** What a limit weighs, in the same unit: others that idle are to take the request. */
    private static final long TOKENS_A_LIMIT = 10_000;

    /** What a limit weighs for plain requests, in requests present a slot. */
    private static final double SLOTS_A_LIMIT = 0.5;

    /**
     * Prompts that an engine reads at once. It reads a part of each between two steps, so that two
     * make the pauses of all its streams six tenths of the longest that is on time (430 of 700 ms),
     * three nine tenths, and four break the goal of every stream there. In a burst a third one
     * waits for another's end instead, and is read as soon.
     */
    private static final int MOST_READING = 2;

    /** Ranks closer than this are equal, and drawn from, so that routers don't all choose one. */
    private static final double DRAW = 0.05;

    /**
     * Engines asked for one prompt, those of the router's domain first, where most streams run. A
     * call costs an engine less than a hundredth of what reading a long prompt does, so even the
     * last of them pays if one prompt in four is found.
     */
    static final int MOST_ASKED = 24;

    private final LoadTracker loads;
    private final ServerHealth health;
    private final ServerNotices notices;
    private final ServerLimits limits;
    private final DomainId home;
    private final RandomGenerator random;

    private ServerSelector(
            LoadTracker loads,
            ServerHealth health,
            ServerNotices notices,
            ServerLimits limits,
            DomainId home,
            RandomGenerator random) {
        this.loads = checkNotNull(loads, "loads");
        this.health = checkNotNull(health, "health");
        this.notices = checkNotNull(notices, "notices");
        this.limits = checkNotNull(limits, "limits");
        this.home = checkNotNull(home, "home");
        this.random = checkNotNull(random, "random");
    }

    public static ServerSelector create(
            LoadTracker loads,
            ServerHealth health,
            ServerNotices notices,
            ServerLimits limits,
            DomainId home,
            RandomGenerator random) {
        return new ServerSelector(loads, health, notices, limits, home, random);
    }

    /** Returns the best server for a request, if one of {@code servers} can take it. */
    Optional<BackendServer> server(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> tried,
            long nowMs) {
        return lowest(servers, size, engine, tried, nowMs, s -> rank(s, engine, nowMs));
    }

    /**
     * Returns the server with the least work of those that can take a request.
     *
     * <p>Failure that it limits: servers ended under a request's content. If it ends the next one
     * too, few other requests are lost with it.
     */
    Optional<BackendServer> quietest(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> tried,
            long nowMs) {
        return lowest(servers, size, engine, tried, nowMs, s -> work(s, engine, nowMs));
    }

    private Optional<BackendServer> lowest(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> tried,
            long nowMs,
            ToDoubleFunction<BackendServer> rank) {
        Ranking ranking = new Ranking();
        for (BackendServer server : servers) {
            if (!tried.contains(server.incarnation()) && canTake(server, size, engine, nowMs)) {
                ranking.offer(server, rank.applyAsDouble(server));
            }
        }
        return ranking.best();
    }

    private double work(BackendServer server, Optional<EngineSpec> engine, long nowMs) {
        return engine.isPresent()
                ? loads.totalLoad(server.incarnation()).running()
                : loads.present(server.incarnation(), nowMs);
    }

    /**
     * Returns the engines to ask for a prompt that one of them may have read before, best first.
     *
     * <p>Load that it answers: routers are lost, and all their callers come back to others at one
     * moment. No router knows where those streams ran. Placed by load alone, nearly each prompt is
     * read a second time, a second of an engine's work, while the engine that read it still keeps
     * it.
     */
    ImmutableList<BackendServer> toAsk(
            ImmutableList<BackendServer> servers, RequestSize size, EngineSpec engine, long nowMs) {
        Optional<EngineSpec> spec = Optional.of(engine);
        return servers.stream()
                .filter(s -> canTake(s, size, spec, nowMs) && !needsPermit(s))
                .sorted(Comparator.comparingDouble(s -> rank(s, spec, nowMs)))
                .limit(MOST_ASKED)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether {@code server} can take a request now. */
    boolean canTake(
            BackendServer server, RequestSize size, Optional<EngineSpec> engine, long nowMs) {
        return !health.isDown(server, nowMs)
                && closedForMs(server, nowMs) == 0
                && fits(server, size, engine);
    }

    /** Returns for how long a server takes nothing of this router, in ms; 0 if it may. */
    long closedForMs(BackendServer server, long nowMs) {
        return Math.max(
                notices.remainingPauseMs(server.incarnation(), nowMs),
                limits.blockedForMs(server.incarnation(), nowMs));
    }

    /** Returns whether a server leaves, by its entry or by an answer of its own. */
    public boolean isLeaving(BackendServer server) {
        return server.leaving() || notices.isLeaving(server.incarnation());
    }

    /** Returns whether a server that was chosen some time ago may still be sent what it was for. */
    boolean mayStillTake(BackendServer server, long nowMs) {
        return !isLeaving(server) && notices.remainingPauseMs(server.incarnation(), nowMs) == 0;
    }

    /** Returns whether a server is sent a request only with a permit for it. */
    boolean needsPermit(BackendServer server) {
        return limits.isLimited(server.incarnation());
    }

    /**
     * Returns how long it takes until the first of {@code servers} may take a request, in ms, if
     * each that stays and was not tried is closed for some time; empty if one is open.
     */
    OptionalLong opensInMs(
            ImmutableList<BackendServer> servers, Set<ServerIncarnation> tried, long nowMs) {
        long soonestMs = Long.MAX_VALUE;
        for (BackendServer server : servers) {
            if (isLeaving(server) || tried.contains(server.incarnation())) {
                continue;
            }
            long closedMs = closedForMs(server, nowMs);
            if (closedMs == 0) {
                return OptionalLong.empty();
            }
            soonestMs = Math.min(soonestMs, closedMs);
        }
        return soonestMs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(soonestMs);
    }

    /** Returns how many requests this router has at {@code servers}. */
    int ownRunning(ImmutableList<BackendServer> servers) {
        return servers.stream().mapToInt(s -> loads.ownLoad(s.incarnation()).running()).sum();
    }

    /** Returns whether a plain request would be worked on at once at {@code server}. */
    boolean hasFreePlace(BackendServer server, long nowMs) {
        return loads.present(server.incarnation(), nowMs) < server.slots();
    }

    /**
     * Returns the server that should hold a copy of a run at {@code runner}.
     *
     * <p>Failures guarded against: a failure domain loses its engines together, so a copy in the
     * domain of the run is lost with it. And a domain that is cut off loses its runs elsewhere; a
     * copy at home is all that it can go on from.
     */
    Optional<BackendServer> holder(
            ImmutableList<BackendServer> servers,
            BackendServer runner,
            RequestSize size,
            EngineSpec engine,
            long nowMs) {
        boolean runsFar = !runner.domain().equals(home);
        Ranking ranking = new Ranking();
        for (BackendServer server : servers) {
            boolean apart = !server.domain().equals(runner.domain());
            if (apart
                    && notices.remainingPauseMs(server.incarnation(), nowMs) == 0
                    && !health.isDown(server, nowMs)
                    && !health.isDoubtful(server, nowMs)
                    && fits(server, size, Optional.of(engine))) {
                boolean farToo = runsFar && !server.domain().equals(home);
                ranking.offer(server, memoryShare(server, engine) + (farToo ? MEMORY_A_CUT : 0));
            }
        }
        return ranking.best();
    }

    private boolean fits(BackendServer server, RequestSize size, Optional<EngineSpec> engine) {
        if (isLeaving(server)) {
            return false;
        }
        if (engine.isEmpty()) {
            return true;
        }
        ServerLoad use = loads.totalLoad(server.incarnation());
        boolean reads = size.prompt() > 0;
        if (reads && use.prefills() >= MOST_READING) {
            return false;
        }
        return use.running() < server.slots()
                && use.memoryTokens() + size.total() <= engine.get().memoryTokens();
    }

    private double rank(BackendServer server, Optional<EngineSpec> engine, long nowMs) {
        boolean far = !server.domain().equals(home);
        boolean lastChoice = health.isLastChoice(server, nowMs);
        boolean limited = needsPermit(server);
        if (engine.isEmpty()) {
            double present = (double) loads.present(server.incarnation(), nowMs) / server.slots();
            return present
                    + (far ? SLOTS_A_DOMAIN : 0)
                    + (lastChoice ? SLOTS_A_DOUBT : 0)
                    + (limited ? SLOTS_A_LIMIT : 0);
        }
        ServerLoad use = loads.totalLoad(server.incarnation());
        long tokens = use.prefillTokens() + TOKENS_A_REQUEST * use.running();
        return tokens
                + (far ? TOKENS_A_DOMAIN : 0)
                + (lastChoice ? TOKENS_A_DOUBT : 0)
                + (limited ? TOKENS_A_LIMIT : 0);
    }

    private double memoryShare(BackendServer server, EngineSpec engine) {
        return (double) loads.totalLoad(server.incarnation()).memoryTokens()
                / engine.memoryTokens();
    }

    /** Keeps the lowest rank offered; among equal ones each is as likely. */
    private final class Ranking {
        private Optional<BackendServer> best = Optional.empty();
        private double bestRank;
        private int equals;

        void offer(BackendServer server, double rank) {
            if (best.isEmpty() || rank < bestRank - DRAW) {
                best = Optional.of(server);
                bestRank = rank;
                equals = 1;
                return;
            }
            if (rank <= bestRank + DRAW) {
                equals++;
                if (random.nextInt(equals) == 0) {
                    best = Optional.of(server);
                }
            }
        }

        Optional<BackendServer> best() {
            return best;
        }
    }
}
