package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;

/**
 * Computes fair shares of teams over all routers, from usage digests of each router's top teams.
 *
 * <p>Without this, a large team that spreads its burst over all routers would appear as an average
 * team on each router. The sum of its usage over the digests is above its share, so its weight is
 * reduced on every router until the usage is back within the share. A team too small for any digest
 * keeps its weight.
 *
 * <p>Usage: call {@link #recordUsage} as tokens are produced; every second or so send {@link
 * #digest} to peers, {@link #merge} their digests and call {@link #updateWeights}. Thread-safe;
 * {@link #weight} and {@link #isOverShare} take no lock.
 */
public final class TeamShares implements TeamWeights {
    /** Time in which recorded usage decays to 1/e, in ms. */
    private static final double DECAY_MS = 10_000;

    private static final double MS_PER_S = 1_000;
    private static final int MAX_TEAMS = 512;
    private static final int MAX_ROUTERS = 1_024;
    private static final long DIGEST_TTL_MS = 30_000;
    private static final double MIN_CORRECTION = 0.05;

    /**
     * Correction below which a team counts as over its share. At a higher correction, the excess
     * may be a random variation over a few seconds.
     */
    private static final double OVER_SHARE_CORRECTION = 0.7;

    /** Usage below which a team no longer counts as active, in tokens per second. */
    private static final double ACTIVE_TOKENS_PER_S = 0.01;

    private final RouterId self;
    private final ToIntFunction<TeamId> declaredShare;
    private final Map<TeamId, DecayingSum> ownUsage = new HashMap<>();
    private final Map<RouterId, ReceivedDigest> receivedDigests = new HashMap<>();
    private volatile ImmutableMap<TeamId, Double> corrections = ImmutableMap.of();

    private TeamShares(RouterId self, ToIntFunction<TeamId> declaredShare) {
        this.self = checkNotNull(self, "self");
        this.declaredShare = checkNotNull(declaredShare, "declaredShare");
    }

    /**
     * Returns shares without any usage.
     *
     * @param declaredShare declared share of a team, at least 1 also for an undeclared team
     */
    public static TeamShares create(RouterId self, ToIntFunction<TeamId> declaredShare) {
        return new TeamShares(self, declaredShare);
    }

    /** Returns the weight of {@code team} in the queues of this router. */
    @Override
    public double weight(TeamId team) {
        return declaredShare.applyAsInt(team) * corrections.getOrDefault(team, 1.0);
    }

    @Override
    public boolean isOverShare(TeamId team) {
        return corrections.getOrDefault(team, 1.0) < OVER_SHARE_CORRECTION;
    }

    /** Adds {@code tokens} to the usage of {@code team}. */
    public synchronized void recordUsage(TeamId team, int tokens, long nowMs) {
        checkNotNull(team, "team");
        if (ownUsage.size() >= MAX_TEAMS && !ownUsage.containsKey(team)) {
            evictLowestUsage(nowMs);
        }
        ownUsage.computeIfAbsent(team, t -> new DecayingSum()).add(tokens, nowMs);
    }

    /** Returns the usage digest to send to the other routers. */
    public synchronized TeamUsageDigest digest(long nowMs) {
        List<TeamUsage> usages = ownUsages(nowMs);
        double total = usages.stream().mapToDouble(TeamUsage::tokensPerS).sum();
        List<TeamUsage> top = usages.subList(0, Math.min(TeamUsageDigest.MAX_TOP, usages.size()));
        return new TeamUsageDigest(top, total, usages.size());
    }

    /** Stores the digest of another router in place of its earlier one. */
    public synchronized void merge(RouterId from, TeamUsageDigest digest, long nowMs) {
        checkNotNull(from, "from");
        checkNotNull(digest, "digest");
        boolean isKnown = receivedDigests.containsKey(from);
        if (!from.equals(self) && (isKnown || receivedDigests.size() < MAX_ROUTERS)) {
            receivedDigests.put(from, new ReceivedDigest(digest, nowMs));
        }
    }

    /** Recomputes all weights. */
    public synchronized void updateWeights(long nowMs) {
        receivedDigests.values().removeIf(r -> nowMs - r.receivedAtMs >= DIGEST_TTL_MS);
        List<TeamUsageDigest> digests = new ArrayList<>();
        digests.add(digest(nowMs));
        receivedDigests.values().forEach(r -> digests.add(r.digest));
        corrections = corrections(digests);
    }

    private ImmutableMap<TeamId, Double> corrections(List<TeamUsageDigest> digests) {
        Map<TeamId, Double> usage = new HashMap<>();
        double total = 0;
        int active = 0;
        for (TeamUsageDigest d : digests) {
            d.top().forEach(u -> usage.merge(u.team(), u.tokensPerS(), Double::sum));
            total += d.totalTokensPerS();
            active = Math.max(active, d.activeTeams());
        }
        double shares = usage.keySet().stream().mapToInt(declaredShare).sum();
        double perShare = total / Math.max(1, shares + Math.max(0, active - usage.size()));
        ImmutableMap.Builder<TeamId, Double> result = ImmutableMap.builder();
        usage.forEach(
                (team, tokens) -> {
                    double fair = perShare * declaredShare.applyAsInt(team);
                    if (tokens > fair) {
                        result.put(team, Math.max(MIN_CORRECTION, fair / tokens));
                    }
                });
        return result.buildOrThrow();
    }

    private ImmutableList<TeamUsage> ownUsages(long nowMs) {
        return ownUsage.entrySet().stream()
                .map(e -> new TeamUsage(e.getKey(), e.getValue().ratePerS(nowMs)))
                .filter(u -> u.tokensPerS() >= ACTIVE_TOKENS_PER_S)
                .sorted(Comparator.comparingDouble(TeamUsage::tokensPerS).reversed())
                .collect(ImmutableList.toImmutableList());
    }

    private void evictLowestUsage(long nowMs) {
        ownUsage.entrySet().stream()
                .min(Comparator.comparingDouble(e -> e.getValue().ratePerS(nowMs)))
                .map(Map.Entry::getKey)
                .ifPresent(ownUsage::remove);
    }

    /** A digest and its time of arrival. */
    private record ReceivedDigest(TeamUsageDigest digest, long receivedAtMs) {}

    /** A sum that decays exponentially. */
    private static final class DecayingSum {
        private double sum;
        private long updatedAtMs;

        void add(int tokens, long nowMs) {
            sum = valueAt(nowMs) + tokens;
            updatedAtMs = Math.max(updatedAtMs, nowMs);
        }

        double ratePerS(long nowMs) {
            return valueAt(nowMs) * MS_PER_S / DECAY_MS;
        }

        private double valueAt(long nowMs) {
            return sum * Math.exp(-Math.max(0, nowMs - updatedAtMs) / DECAY_MS);
        }
    }
}
