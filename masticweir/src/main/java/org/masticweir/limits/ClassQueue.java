package org.masticweir.limits;

import static java.util.Comparator.comparingDouble;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.masticweir.id.TeamId;

/**
 * The waiting requests of one class, served fairly between teams; not thread-safe.
 *
 * <p>Weighted fair queueing on tokens: the team that got the fewest tokens for its weight is next.
 * A team that was idle starts level with those served now, so it can't save up a claim.
 */
final class ClassQueue {
    private static final int MAX_IDLE_TEAMS = 512;

    /** Stands for every team where they share one queue. */
    private static final TeamId ALL_TEAMS = TeamId.of("all");

    private final ToDoubleFunction<TeamId> weight;
    private final LimitSettings settings;
    private final Map<TeamId, TeamQueue> teams = new LinkedHashMap<>();

    /** Where teams without requests stand, as long as that is ahead of the clock. */
    private final Map<TeamId, Double> idleVirtualTimes = new LinkedHashMap<>();

    private final HeadWaitEstimate headWait = new HeadWaitEstimate();
    private final HoldTimeEstimate holdTime = new HoldTimeEstimate();
    private double virtualTime;
    private double servedSlotMs;
    private int size;
    private int rotationStart;

    ClassQueue(ToDoubleFunction<TeamId> weight, LimitSettings settings) {
        this.weight = settings.fairShares() ? weight : team -> 1;
        this.settings = settings;
    }

    void add(AdmissionRequest r, long nowMs) {
        if (size == 0) {
            headWait.startWait(nowMs);
        }
        teams.computeIfAbsent(queueKey(r.team()), this::newTeam).add(r);
        size++;
    }

    boolean remove(AdmissionRequest r) {
        TeamQueue team = teams.get(queueKey(r.team()));
        if (team == null || !team.remove(r)) {
            return false;
        }
        size--;
        if (team.isEmpty()) {
            teams.remove(queueKey(r.team()));
            storeIdleTeam(queueKey(r.team()), team.servedPerWeight());
        }
        return true;
    }

    /** Returns the request to be served next of those that {@code admissible} lets in, if any. */
    Optional<AdmissionRequest> next(Predicate<AdmissionRequest> isAdmissible) {
        return teams.values().stream()
                .filter(t -> isAdmissible.test(t.first()))
                .min(comparingDouble(TeamQueue::servedPerWeight))
                .map(TeamQueue::first);
    }

    /** Takes {@code r} out and charges its team. */
    void serve(AdmissionRequest r, long nowMs) {
        TeamQueue team = teams.get(queueKey(r.team()));
        virtualTime = Math.max(virtualTime, team.servedPerWeight());
        team.charge(r.maxTotalTokens() / weight.applyAsDouble(r.team()));
        remove(r);
        headWait.recordServed(nowMs);
    }

    /** Returns the place time served to this class, on the clock of all classes. */
    double servedSlotMs() {
        return servedSlotMs;
    }

    void charge(double slotMs) {
        servedSlotMs += slotMs;
    }

    /** Takes the class no further back than {@code level}, as it has been idle. */
    void advanceTo(double level) {
        servedSlotMs = Math.max(servedSlotMs, level);
    }

    HoldTimeEstimate holdTime() {
        return holdTime;
    }

    /** Returns how long the first request waits for its turn. */
    double headWaitMs(double estimateMs, long nowMs) {
        return headWait.expectedMs(estimateMs, size > 0, nowMs);
    }

    /**
     * Returns how many requests go before {@code r} if its team has {@code own} before it.
     *
     * <p>Failure guarded against: a small team's only request is taken to wait for as many of a
     * large team's as their weights tell, and is refused, though it would be next. What counts is
     * where each team stands.
     */
    double requestsAhead(AdmissionRequest r, int ownAhead) {
        double perRequest = r.maxTotalTokens() / weight.applyAsDouble(r.team());
        double startTime = virtualTimeOf(queueKey(r.team())) + ownAhead * perRequest;
        double ahead = ownAhead;
        for (Map.Entry<TeamId, TeamQueue> e : teams.entrySet()) {
            double lead = startTime - e.getValue().servedPerWeight();
            if (!e.getKey().equals(queueKey(r.team())) && lead >= 0) {
                int tokens = e.getValue().first().maxTotalTokens();
                double served = lead * weight.applyAsDouble(e.getKey()) / tokens + 1;
                ahead += Math.min(e.getValue().size(), served);
            }
        }
        return ahead;
    }

    /** Returns where {@code team} stands, or would if it queued now. */
    private double virtualTimeOf(TeamId team) {
        TeamQueue queue = teams.get(team);
        return queue != null
                ? queue.servedPerWeight()
                : Math.max(virtualTime, idleVirtualTimes.getOrDefault(team, virtualTime));
    }

    int size() {
        return size;
    }

    int size(TeamId team) {
        TeamQueue q = teams.get(queueKey(team));
        return q == null ? 0 : q.size();
    }

    ImmutableList<TeamId> waitingTeams() {
        return ImmutableList.copyOf(teams.keySet());
    }

    /** Returns up to {@code most} teams with requests; all of them come up in turn. */
    ImmutableList<TeamId> nextTeams(int max) {
        ImmutableList<TeamId> all = waitingTeams();
        if (all.size() <= max) {
            return all;
        }
        rotationStart = (rotationStart + max) % all.size();
        int wrapped = Math.max(0, rotationStart + max - all.size());
        return ImmutableList.<TeamId>builder()
                .addAll(all.subList(rotationStart, rotationStart + max - wrapped))
                .addAll(all.subList(0, wrapped))
                .build();
    }

    TeamQueue team(TeamId team) {
        return teams.get(team);
    }

    private TeamId queueKey(TeamId team) {
        return settings.fairShares() ? team : ALL_TEAMS;
    }

    private TeamQueue newTeam(TeamId team) {
        double level = virtualTimeOf(team);
        idleVirtualTimes.remove(team);
        return new TeamQueue(level, settings.classShares());
    }

    /**
     * Failure guarded against: a team that queues one request at a time would start level each time
     * and never pay for the one before.
     */
    private void storeIdleTeam(TeamId team, double servedPerWeight) {
        idleVirtualTimes.values().removeIf(t -> t <= virtualTime);
        if (servedPerWeight > virtualTime && idleVirtualTimes.size() < MAX_IDLE_TEAMS) {
            idleVirtualTimes.put(team, servedPerWeight);
        }
    }
}
