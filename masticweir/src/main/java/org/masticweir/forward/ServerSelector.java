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
 * Selects the server of a request and the copy holder of its run; owned by the traffic thread.
 *
 * <p>The ranking is designed for long prompts. An engine runs prefills between the decode steps of
 * its other requests, so two concurrent prefills at one engine may delay all its streams beyond
 * their goal while other engines are idle. Engines are therefore ranked mainly by the pending
 * prefill tokens of all routers, and secondarily by the number of running requests.
 */
public final class ServerSelector {
    /**
     * Weight of a running request, in prefill tokens. Each running request lengthens a decode step
     * by about 3 in 100; a prompt chunk of 200 tokens makes the step 8 times as long.
     */
    private static final long TOKENS_PER_REQUEST = 2_000;

    /**
     * Weight of another failure domain, in prefill tokens: one long prompt in prefill, or four
     * running requests. In a partitioned domain, streams continue if their router and engine are
     * both in the domain; other streams need a new prefill and resume seconds late. Three more
     * running requests at an engine lengthen a decode step by only a tenth, so streams stay in
     * their own domain until each engine there runs a prefill or has far more requests than engines
     * elsewhere.
     */
    private static final long OTHER_DOMAIN_TOKENS = 8_000;

    /** Weight of another failure domain for plain requests, in requests per slot. */
    private static final double OTHER_DOMAIN_SLOT_FRACTION = 0.2;

    /**
     * Weight of a copy holder in another domain if the run is in another domain too, as a fraction
     * of an engine's memory. With this weight, any engine in the own domain with enough memory is
     * preferred.
     */
    private static final double OTHER_DOMAIN_MEMORY_FRACTION = 1;

    /**
     * Weight of a deprioritized server, in prefill tokens: one long prompt that is already in
     * prefill.
     */
    private static final long DEPRIORITIZED_TOKENS = 10_000;

    /** Weight of a deprioritized server for plain requests, in requests per slot. */
    private static final double DEPRIORITIZED_SLOT_FRACTION = 1;

    /**
     * Weight of a rate-limited server, in prefill tokens, so that other idle servers are preferred.
     */
    private static final long RATE_LIMITED_TOKENS = 10_000;

    /** Weight of a rate-limited server for plain requests, in requests per slot. */
    private static final double RATE_LIMITED_SLOT_FRACTION = 0.5;

    /**
     * Maximum number of concurrent prefills of an engine. An engine processes a part of each prompt
     * between two decode steps. Two prefills make the pauses of all its streams six tenths of the
     * longest pause within the goal (430 of 700 ms), three prefills make the pauses nine tenths,
     * and four exceed the goal of every stream there. In a burst, a third prompt waits for the end
     * of another prefill and is completed equally early.
     */
    private static final int MAX_PREFILLS = 2;

    /**
     * Ranks that differ by at most this value count as equal. Servers of equal rank are selected at
     * random, so that routers don't all select the same server.
     */
    private static final double RANK_TOLERANCE = 0.05;

    /**
     * Maximum number of engines queried for one prompt. The engines of the own domain, where most
     * streams run, are queried first. A query costs an engine less than a hundredth of the prefill
     * of a long prompt, so even the last query pays off if one prompt in four is found.
     */
    static final int MAX_QUERIED_ENGINES = 24;

    /**
     * Number of prefills up to which a router's part of the runs outweighs its part of the
     * prefills.
     */
    private static final int MIN_COUNTED_PREFILLS = 4;

    private final LoadTracker loads;
    private final ServerHealth health;
    private final ServerNotices notices;
    private final ServerLimits limits;
    private final ServerLimits brittle;
    private final DomainId ownDomain;
    private final RandomGenerator random;

    private ServerSelector(
            LoadTracker loads,
            ServerHealth health,
            ServerNotices notices,
            ServerLimits limits,
            ServerLimits brittle,
            DomainId ownDomain,
            RandomGenerator random) {
        this.loads = checkNotNull(loads, "loads");
        this.health = checkNotNull(health, "health");
        this.notices = checkNotNull(notices, "notices");
        this.limits = checkNotNull(limits, "limits");
        this.brittle = checkNotNull(brittle, "brittle");
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
        this.random = checkNotNull(random, "random");
    }

    /**
     * Creates a selector.
     *
     * @param limits request rates that servers announce
     * @param brittle rejections a second that servers announce to bear
     */
    public static ServerSelector create(
            LoadTracker loads,
            ServerHealth health,
            ServerNotices notices,
            ServerLimits limits,
            ServerLimits brittle,
            DomainId ownDomain,
            RandomGenerator random) {
        return new ServerSelector(loads, health, notices, limits, brittle, ownDomain, random);
    }

    /** Returns the best of {@code servers} that can accept a request; empty if there is none. */
    Optional<BackendServer> select(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> excludedServers,
            long nowMs) {
        return selectLowestRank(
                servers, size, engine, excludedServers, nowMs, s -> rank(s, engine, nowMs));
    }

    /**
     * Returns the server with the fewest requests among {@code servers} that can accept a request.
     *
     * <p>Used for content that has ended servers. If the content also ends the selected server, few
     * other requests are lost.
     */
    Optional<BackendServer> selectLeastLoaded(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> excludedServers,
            long nowMs) {
        return selectLowestRank(
                servers, size, engine, excludedServers, nowMs, s -> requestCount(s, engine, nowMs));
    }

    private Optional<BackendServer> selectLowestRank(
            ImmutableList<BackendServer> servers,
            RequestSize size,
            Optional<EngineSpec> engine,
            Set<ServerIncarnation> excludedServers,
            long nowMs,
            ToDoubleFunction<BackendServer> rank) {
        Ranking ranking = new Ranking();
        for (BackendServer server : servers) {
            if (!excludedServers.contains(server.incarnation())
                    && canAccept(server, size, engine, nowMs)) {
                ranking.offer(server, rank.applyAsDouble(server));
            }
        }
        return ranking.bestServer();
    }

    private double requestCount(BackendServer server, Optional<EngineSpec> engine, long nowMs) {
        return engine.isPresent()
                ? loads.totalLoad(server.incarnation()).running()
                : loads.requestCount(server.incarnation(), nowMs);
    }

    /**
     * Returns the engines to query for a prompt that one of them may have cached, best first.
     *
     * <p>When routers are lost, all their callers retry at other routers at once, and no router has
     * stored where those streams ran. If the streams were placed by load alone, nearly every prompt
     * would need a second prefill, which costs a second of an engine's time, although the first
     * engine still has the prompt cached.
     */
    ImmutableList<BackendServer> enginesToQuery(
            ImmutableList<BackendServer> servers, RequestSize size, EngineSpec engine, long nowMs) {
        Optional<EngineSpec> spec = Optional.of(engine);
        return servers.stream()
                .filter(s -> canAccept(s, size, spec, nowMs) && !isRateLimited(s))
                .sorted(Comparator.comparingDouble(s -> rank(s, spec, nowMs)))
                .limit(MAX_QUERIED_ENGINES)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether {@code server} can accept a request now. */
    boolean canAccept(
            BackendServer server, RequestSize size, Optional<EngineSpec> engine, long nowMs) {
        return canAcceptWithPermit(server, size, engine, nowMs)
                && remainingBlockMs(server, nowMs) == 0;
    }

    /**
     * Returns whether {@code server} can accept a request that has a permit. Another request of
     * this router may have been denied since, which does not take the permit away.
     */
    boolean canAcceptWithPermit(
            BackendServer server, RequestSize size, Optional<EngineSpec> engine, long nowMs) {
        return !health.isDown(server, nowMs)
                && notices.remainingPauseMs(server.incarnation(), nowMs) == 0
                && hasCapacity(server, size, engine);
    }

    /**
     * Returns the remaining time of a server's pause or of the wait for a permit, in ms; 0 if there
     * is neither.
     */
    long remainingBlockMs(BackendServer server, long nowMs) {
        ServerIncarnation incarnation = server.incarnation();
        long blockedMs =
                Math.max(
                        limits.remainingBlockMs(incarnation, nowMs),
                        brittle.remainingBlockMs(incarnation, nowMs));
        return Math.max(notices.remainingPauseMs(incarnation, nowMs), blockedMs);
    }

    /** Returns whether a server is leaving, according to its entry or one of its answers. */
    public boolean isLeaving(BackendServer server) {
        return server.leaving() || notices.isLeaving(server.incarnation());
    }

    /**
     * Returns whether the request may still be sent to a server that was selected before the
     * connect.
     */
    boolean mayStillAccept(BackendServer server, long nowMs) {
        return !isLeaving(server) && notices.remainingPauseMs(server.incarnation(), nowMs) == 0;
    }

    /** Returns whether a request to {@code server} needs a permit. */
    boolean needsPermit(BackendServer server) {
        return isRateLimited(server) || brittle.isLimited(server.incarnation());
    }

    private boolean isRateLimited(BackendServer server) {
        return limits.isLimited(server.incarnation());
    }

    /**
     * Returns the time until the first untried server is unblocked, in ms; empty if an untried
     * server is not blocked. Leaving servers are ignored.
     */
    OptionalLong timeUntilUnblockedMs(
            ImmutableList<BackendServer> servers, Set<ServerIncarnation> triedServers, long nowMs) {
        long soonestMs = Long.MAX_VALUE;
        for (BackendServer server : servers) {
            if (isLeaving(server) || triedServers.contains(server.incarnation())) {
                continue;
            }
            long blockedMs = remainingBlockMs(server, nowMs);
            if (blockedMs == 0) {
                return OptionalLong.empty();
            }
            soonestMs = Math.min(soonestMs, blockedMs);
        }
        return soonestMs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(soonestMs);
    }

    /** Returns how many servers are excluded for which reason, for the log. */
    String describeAvailability(ImmutableList<BackendServer> servers, long nowMs) {
        long down = servers.stream().filter(s -> health.isDown(s, nowMs)).count();
        long blocked = servers.stream().filter(s -> remainingBlockMs(s, nowMs) > 0).count();
        long leaving = servers.stream().filter(this::isLeaving).count();
        return servers.size()
                + " servers, "
                + down
                + " down, "
                + blocked
                + " blocked, "
                + leaving
                + " leaving";
    }

    /**
     * Returns how many runs at {@code servers} are expected to leave their slots to this router:
     * its own, or its part of the runs of all routers, by the prefills, which are the latest sends.
     *
     * <p>If the balancer directs most requests of a domain to this router, the slots that become
     * free are those of other routers' runs.
     */
    int runsToReplace(ImmutableList<BackendServer> servers) {
        ServerLoad ownLoad = ServerLoad.none();
        ServerLoad totalLoad = ServerLoad.none();
        for (BackendServer server : servers) {
            ownLoad = ownLoad.plus(loads.ownLoad(server.incarnation()));
            totalLoad = totalLoad.plus(loads.totalLoad(server.incarnation()));
        }
        double ownRunFraction = (double) ownLoad.running() / Math.max(1, totalLoad.running());
        double demandFraction =
                (ownLoad.prefills() + MIN_COUNTED_PREFILLS * ownRunFraction)
                        / (totalLoad.prefills() + MIN_COUNTED_PREFILLS);
        return (int) Math.max(ownLoad.running(), demandFraction * totalLoad.running());
    }

    /** Returns whether {@code server} has a free slot for a plain request. */
    boolean hasFreeSlot(BackendServer server, long nowMs) {
        return loads.requestCount(server.incarnation(), nowMs) < server.slots();
    }

    /**
     * Returns the server that should store the copy of a run at {@code runningEngine}.
     *
     * <p>The engines of a failure domain may be lost together, so the copy must be in another
     * domain than the run. The routers of a partitioned domain lose their runs in other domains,
     * and can resume these runs only from copies in the own domain.
     */
    Optional<BackendServer> selectCopyHolder(
            ImmutableList<BackendServer> servers,
            BackendServer runningEngine,
            RequestSize size,
            EngineSpec engine,
            long nowMs) {
        boolean isRunnerInOtherDomain = !runningEngine.domain().equals(ownDomain);
        Ranking ranking = new Ranking();
        for (BackendServer server : servers) {
            boolean isOutsideRunnerDomain = !server.domain().equals(runningEngine.domain());
            if (isOutsideRunnerDomain
                    && notices.remainingPauseMs(server.incarnation(), nowMs) == 0
                    && !health.isDown(server, nowMs)
                    && !health.hasRecentlyFailed(server, nowMs)
                    && hasCapacity(server, size, Optional.of(engine))) {
                boolean areBothInOtherDomains =
                        isRunnerInOtherDomain && !server.domain().equals(ownDomain);
                ranking.offer(
                        server,
                        memoryFraction(server, engine)
                                + (areBothInOtherDomains ? OTHER_DOMAIN_MEMORY_FRACTION : 0));
            }
        }
        return ranking.bestServer();
    }

    private boolean hasCapacity(
            BackendServer server, RequestSize size, Optional<EngineSpec> engine) {
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
        boolean isRateLimited = isRateLimited(server);
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

    /**
     * Finds the server with the lowest rank. If several servers have equal rank, each is selected
     * with equal probability.
     */
    private final class Ranking {
        private Optional<BackendServer> bestServer = Optional.empty();
        private double bestRank;
        private int tieCount;

        void offer(BackendServer server, double rank) {
            if (bestServer.isEmpty() || rank < bestRank - RANK_TOLERANCE) {
                bestServer = Optional.of(server);
                bestRank = rank;
                tieCount = 1;
                return;
            }
            if (rank <= bestRank + RANK_TOLERANCE) {
                tieCount++;
                if (random.nextInt(tieCount) == 0) {
                    bestServer = Optional.of(server);
                }
            }
        }

        Optional<BackendServer> bestServer() {
            return bestServer;
        }
    }
}
