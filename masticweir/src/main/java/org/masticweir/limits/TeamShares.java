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
 * Settles fair shares between teams over all routers, from digests of each router's top users.
 *
 * <p>Failure guarded against: a large team spreads its burst over all routers, and on each of them
 * it looks like one team among others. Its use summed over the digests is above its share, and its
 * weight falls on every router until it is back. A team too small for any digest keeps its weight.
 *
 * <p>Use: {@link #recordUsage} as tokens flow; every second or so send {@link #digest} to peers,
 * {@link #merge} theirs, and {@link #updateWeights}. Thread-safe; {@link #weight} and {@link
 * #isOverShare} take no lock.
 */
public final class TeamShares implements TeamWeights {
    /** Time in which the memory of a use falls to 1/e, in ms. */
    private static final double MEMORY_MS = 10_000;

    private static final double MS_PER_S = 1_000;
    private static final int MAX_TEAMS = 512;
    private static final int MAX_ROUTERS = 1_024;
    private static final long DIGEST_LAPSES_MS = 30_000;
    private static final double MIN_CORRECTION = 0.05;

    /** Correction below which a team is over its share, and not by the chance of a few seconds. */
    private static final double OVER_SHARE = 0.7;

    /** Use below which a team no longer counts as active, in tokens a second. */
    private static final double ACTIVE_TOKENS_PER_S = 0.01;

    private final RouterId self;
    private final ToIntFunction<TeamId> share;
    private final Map<TeamId, DecayingSum> own = new HashMap<>();
    private final Map<RouterId, Received> others = new HashMap<>();
    private volatile ImmutableMap<TeamId, Double> corrections = ImmutableMap.of();

    private TeamShares(RouterId self, ToIntFunction<TeamId> share) {
        this.self = checkNotNull(self, "self");
        this.share = checkNotNull(share, "share");
    }

    /**
     * Returns shares in which no team has used anything.
     *
     * @param share a team's declared share, at least 1 also for a team that is not declared
     */
    public static TeamShares create(RouterId self, ToIntFunction<TeamId> share) {
        return new TeamShares(self, share);
    }

    /** Returns the weight of {@code team} in the queues of this router. */
    @Override
    public double weight(TeamId team) {
        return share.applyAsInt(team) * corrections.getOrDefault(team, 1.0);
    }

    @Override
    public boolean isOverShare(TeamId team) {
        return corrections.getOrDefault(team, 1.0) < OVER_SHARE;
    }

    /** Adds {@code tokens} to the use of {@code team}. */
    public synchronized void recordUsage(TeamId team, int tokens, long nowMs) {
        checkNotNull(team, "team");
        if (own.size() >= MAX_TEAMS && !own.containsKey(team)) {
            dropLeast(nowMs);
        }
        own.computeIfAbsent(team, t -> new DecayingSum()).add(tokens, nowMs);
    }

    /** Returns what to tell the other routers. */
    public synchronized TeamUsageDigest digest(long nowMs) {
        List<TeamUsage> uses = ownUses(nowMs);
        double total = uses.stream().mapToDouble(TeamUsage::tokensPerS).sum();
        List<TeamUsage> top = uses.subList(0, Math.min(TeamUsageDigest.MAX_TOP, uses.size()));
        return new TeamUsageDigest(top, total, uses.size());
    }

    /** Takes the digest of another router in place of its earlier one. */
    public synchronized void merge(RouterId from, TeamUsageDigest digest, long nowMs) {
        checkNotNull(from, "from");
        checkNotNull(digest, "digest");
        boolean known = others.containsKey(from);
        if (!from.equals(self) && (known || others.size() < MAX_ROUTERS)) {
            others.put(from, new Received(digest, nowMs));
        }
    }

    /** Works out all weights anew. */
    public synchronized void updateWeights(long nowMs) {
        others.values().removeIf(r -> nowMs - r.atMs >= DIGEST_LAPSES_MS);
        List<TeamUsageDigest> digests = new ArrayList<>();
        digests.add(digest(nowMs));
        others.values().forEach(r -> digests.add(r.digest));
        corrections = corrections(digests);
    }

    private ImmutableMap<TeamId, Double> corrections(List<TeamUsageDigest> digests) {
        Map<TeamId, Double> use = new HashMap<>();
        double total = 0;
        int active = 0;
        for (TeamUsageDigest d : digests) {
            d.top().forEach(u -> use.merge(u.team(), u.tokensPerS(), Double::sum));
            total += d.totalTokensPerS();
            active = Math.max(active, d.activeTeams());
        }
        double shares = use.keySet().stream().mapToInt(share).sum();
        double perShare = total / Math.max(1, shares + Math.max(0, active - use.size()));
        ImmutableMap.Builder<TeamId, Double> result = ImmutableMap.builder();
        use.forEach(
                (team, tokens) -> {
                    double fair = perShare * share.applyAsInt(team);
                    if (tokens > fair) {
                        result.put(team, Math.max(MIN_CORRECTION, fair / tokens));
                    }
                });
        return result.buildOrThrow();
    }

    private ImmutableList<TeamUsage> ownUses(long nowMs) {
        return own.entrySet().stream()
                .map(e -> new TeamUsage(e.getKey(), e.getValue().perS(nowMs)))
                .filter(u -> u.tokensPerS() >= ACTIVE_TOKENS_PER_S)
                .sorted(Comparator.comparingDouble(TeamUsage::tokensPerS).reversed())
                .collect(ImmutableList.toImmutableList());
    }

    private void dropLeast(long nowMs) {
        own.entrySet().stream()
                .min(Comparator.comparingDouble(e -> e.getValue().perS(nowMs)))
                .map(Map.Entry::getKey)
                .ifPresent(own::remove);
    }

    /** A digest and when it came. */
    private record Received(TeamUsageDigest digest, long atMs) {}

    /** A sum whose parts fade with age. */
    private static final class DecayingSum {
        private double sum;
        private long atMs;

        void add(int tokens, long nowMs) {
            sum = at(nowMs) + tokens;
            atMs = Math.max(atMs, nowMs);
        }

        double perS(long nowMs) {
            return at(nowMs) * MS_PER_S / MEMORY_MS;
        }

        private double at(long nowMs) {
            return sum * Math.exp(-Math.max(0, nowMs - atMs) / MEMORY_MS);
        }
    }
}
