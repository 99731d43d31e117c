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
    private static final long TOKENS_PER_REQUEST = 2_000;

    /**
     * What another failure domain weighs, in the same unit: a long prompt in reading, or four
     * running requests. A domain that is cut off keeps the streams whose router and engine both lie
     * in it; each other one is read anew, seconds late. Sharing an engine with three running
     * requests costs a tenth of a step's length, so streams stay at home until every engine there
     * reads a prompt or runs far more than others.
     */
    private static final long OTHER_DOMAIN_TOKENS = 8_000;

    /** What another failure domain weighs for plain requests, in requests present a slot. */
    private static final double OTHER_DOMAIN_SLOT_FRACTION = 0.2;

    /**
     * What a holder away from home weighs for a run away from home, in parts of an engine's memory:
     * any engine at home that can hold the copy comes first.
     */
    private static final double OTHER_DOMAIN_MEMORY_FRACTION = 1;

    /** What doubt weighs, in the same unit: a long prompt that is already in reading. */
    private static final long DEPRIORITIZED_TOKENS = 10_000;

    /** What doubt weighs for plain requests, in requests present a slot. */
    private static final double DEPRIORITIZED_SLOT_FRACTION = 1;

    /** What a limit weighs, in the same unit: others that idle are to take the request. */
    private static final long RATE_LIMITED_TOKENS = 10_000;

    /** What a limit weighs for plain requests, in requests present a slot. */
    private static final double RATE_LIMITED_SLOT_FRACTION = 0.5;

    /**
     * Prompts that an engine reads at once. It reads a part of each between two steps, so that two
     * make the pauses of all its streams six tenths of the longest that is on time (430 of 700 ms),
     * three nine tenths, and four break the goal of every stream there. In a burst a third one
     * waits for another's end instead, and is read as soon.
     */
    private static final int MAX_PREFILLS = 2;

    /** Ranks closer than this are equal, and drawn from, so that routers don't all choose one. */
    private static final double RANK_TOLERANCE = 0.05;

    /**
     * Engines asked for one prompt, those of the router's domain first, where most streams run. A
     * call costs an engine less than a hundredth of what reading a long prompt does, so even the
     * last of them pays if one prompt in four is found.
     */
    static final int MAX_QUERIED_ENGINES = 24;

    private final LoadTracker loads;
    private final ServerHealth health;
    private final ServerNotices notices;
    private final ServerLimits limits;
    private final DomainId ownDomain;
    private final RandomGenerator random;

    private ServerSelector(
            LoadTracker loads,
            ServerHealth health,
            ServerNotices notices,
            ServerLimits limits,
            DomainId ownDomain,
            RandomGenerator random) {
        this.loads = checkNotNull(loads, "loads");
        this.health = checkNotNull(health, "health");
        this.notices = checkNotNull(notices, "notices");
        this.limits = checkNotNull(limits, "limits");
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
        this.random = checkNotNull(random, "random");
    }

    public static ServerSelector create(
            LoadTracker loads,
            ServerHealth health,
            ServerNotices notices,
            ServerLimits limits,
            DomainId ownDomain,
            RandomGenerator random) {
        return new ServerSelector(loads, health, notices, limits, ownDomain, random);
    }

    /** Returns the best server for a request, if one of {@code servers} can take it. */
    Optional<BackendServer> select(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> tried,
            long nowMs) {
        return selectLowestRank(servers, size, engine, tried, nowMs, s -> rank(s, engine, nowMs));
    }

    /**
     * Returns the server with the least work of those that can take a request.
     *
     * <p>Failure that it limits: servers ended under a request's content. If it ends the next one
     * too, few other requests are lost with it.
     */
    Optional<BackendServer> selectLeastLoaded(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> tried,
            long nowMs) {
        return selectLowestRank(
                servers, size, engine, tried, nowMs, s -> requestCount(s, engine, nowMs));
    }

    private Optional<BackendServer> selectLowestRank(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> tried,
            long nowMs,
            ToDoubleFunction<BackendServer> rank) {
        Ranking ranking = new Ranking();
        for (BackendServer server : servers) {
            if (!tried.contains(server.incarnation()) && canAccept(server, size, engine, nowMs)) {
                ranking.offer(server, rank.applyAsDouble(server));
            }
        }
        return ranking.best();
    }

    private double requestCount(BackendServer server, Optional<EngineSpec> engine, long nowMs) {
        return engine.isPresent()
                ? loads.totalLoad(server.incarnation()).running()
                : loads.requestCount(server.incarnation(), nowMs);
    }

    /**
     * Returns the engines to ask for a prompt that one of them may have read before, best first.
     *
     * <p>Load that it answers: routers are lost, and all their callers come back to others at one
     * moment. No router knows where those streams ran. Placed by load alone, nearly each prompt is
     * read a second time, a second of an engine's work, while the engine that read it still keeps
     * it.
     */
    ImmutableList<BackendServer> enginesToQuery(
            ImmutableList<BackendServer> servers, RequestSize size, EngineSpec engine, long nowMs) {
        Optional<EngineSpec> spec = Optional.of(engine);
        return servers.stream()
                .filter(s -> canAccept(s, size, spec, nowMs) && !needsPermit(s))
                .sorted(Comparator.comparingDouble(s -> rank(s, spec, nowMs)))
                .limit(MAX_QUERIED_ENGINES)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether {@code server} can take a request now. */
    boolean canAccept(
            BackendServer server, RequestSize size, Optional<EngineSpec> engine, long nowMs) {
        return !health.isDown(server, nowMs)
                && blockedForMs(server, nowMs) == 0
                && fits(server, size, engine);
    }

    /** Returns for how long a server takes nothing of this router, in ms; 0 if it may. */
    long blockedForMs(BackendServer server, long nowMs) {
        return Math.max(
                notices.remainingPauseMs(server.incarnation(), nowMs),
                limits.blockedForMs(server.incarnation(), nowMs));
    }

    /** Returns whether a server leaves, by its entry or by an answer of its own. */
    public boolean isLeaving(BackendServer server) {
        return server.leaving() || notices.isLeaving(server.incarnation());
    }

    /** Returns whether a server that was chosen some time ago may still be sent what it was for. */
    boolean mayStillAccept(BackendServer server, long nowMs) {
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
    OptionalLong unblockedInMs(
            ImmutableList<BackendServer> servers, Set<ServerIncarnation> tried, long nowMs) {
        long soonestMs = Long.MAX_VALUE;
        for (BackendServer server : servers) {
            if (isLeaving(server) || tried.contains(server.incarnation())) {
                continue;
            }
            long blockedMs = blockedForMs(server, nowMs);
            if (blockedMs == 0) {
                return OptionalLong.empty();
            }
            soonestMs = Math.min(soonestMs, blockedMs);
        }
        return soonestMs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(soonestMs);
    }

    /** Returns how many requests this router has at {@code servers}. */
    int ownRequestCount(ImmutableList<BackendServer> servers) {
        return servers.stream().mapToInt(s -> loads.ownLoad(s.incarnation()).running()).sum();
    }

    /** Returns whether a plain request would be worked on at once at {@code server}. */
    boolean hasFreeSlot(BackendServer server, long nowMs) {
        return loads.requestCount(server.incarnation(), nowMs) < server.slots();
    }

    /**
     * Returns the server that should hold a copy of a run at {@code runner}.
     *
     * <p>Failures guarded against: a failure domain loses its engines together, so a copy in the
     * domain of the run is lost with it. And a domain that is cut off loses its runs elsewhere; a
     * copy at home is all that it can go on from.
     */
    Optional<BackendServer> selectCopyHolder(
            ImmutableList<BackendServer> servers,
            BackendServer runner,
            RequestSize size,
            EngineSpec engine,
            long nowMs) {
        boolean isRunnerInOtherDomain = !runner.domain().equals(ownDomain);
        Ranking ranking = new Ranking();
        for (BackendServer server : servers) {
            boolean isOutsideRunnerDomain = !server.domain().equals(runner.domain());
            if (isOutsideRunnerDomain
                    && notices.remainingPauseMs(server.incarnation(), nowMs) == 0
                    && !health.isDown(server, nowMs)
                    && !health.hasRecentlyFailed(server, nowMs)
                    && fits(server, size, Optional.of(engine))) {
                boolean areBothInOtherDomains =
                        isRunnerInOtherDomain && !server.domain().equals(ownDomain);
                ranking.offer(
                        server,
                        memoryFraction(server, engine)
                                + (areBothInOtherDomains ? OTHER_DOMAIN_MEMORY_FRACTION : 0));
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
        ServerLoad load = loads.totalLoad(server.incarnation());
        boolean needsPrefill = size.prompt() > 0;
        if (needsPrefill && load.prefills() >= MAX_PREFILLS) {
            return false;
        }
        return load.running() < server.slots()
                && load.memoryTokens() + size.total() <= engine.get().memoryTokens();
    }

    private double rank(BackendServer server, Optional<EngineSpec> engine, long nowMs) {
        boolean isInOtherDomain = !server.domain().equals(ownDomain);
        boolean isDeprioritized = health.isDeprioritized(server, nowMs);
        boolean isRateLimited = needsPermit(server);
        if (engine.isEmpty()) {
            double utilization =
                    (double) loads.requestCount(server.incarnation(), nowMs) / server.slots();
            return utilization
                    + (isInOtherDomain ? OTHER_DOMAIN_SLOT_FRACTION : 0)
                    + (isDeprioritized ? DEPRIORITIZED_SLOT_FRACTION : 0)
                    + (isRateLimited ? RATE_LIMITED_SLOT_FRACTION : 0);
        }
        ServerLoad load = loads.totalLoad(server.incarnation());
        long tokens = load.prefillTokens() + TOKENS_PER_REQUEST * load.running();
        return tokens
                + (isInOtherDomain ? OTHER_DOMAIN_TOKENS : 0)
                + (isDeprioritized ? DEPRIORITIZED_TOKENS : 0)
                + (isRateLimited ? RATE_LIMITED_TOKENS : 0);
    }

    private double memoryFraction(BackendServer server, EngineSpec engine) {
        return (double) loads.totalLoad(server.incarnation()).memoryTokens()
                / engine.memoryTokens();
    }

    /** Keeps the lowest rank offered; among equal ones each is as likely. */
    private final class Ranking {
        private Optional<BackendServer> best = Optional.empty();
        private double bestRank;
        private int tieCount;

        void offer(BackendServer server, double rank) {
            if (best.isEmpty() || rank < bestRank - RANK_TOLERANCE) {
                best = Optional.of(server);
                bestRank = rank;
                tieCount = 1;
                return;
            }
            if (rank <= bestRank + RANK_TOLERANCE) {
                tieCount++;
                if (random.nextInt(tieCount) == 0) {
                    best = Optional.of(server);
                }
            }
        }

        Optional<BackendServer> best() {
            return best;
        }
    }
}
