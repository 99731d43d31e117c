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
 * The queued requests of one class, shared fairly between teams; not thread-safe.
 *
 * <p>Weighted fair queueing on tokens: the team with the fewest tokens per weight is served next. A
 * team that was idle starts at the current virtual time, so idle teams can't accumulate credit.
 */
final class ClassQueue {
    private static final int MAX_IDLE_TEAMS = 512;

    /** Key of the common queue when teams are not separated. */
    private static final TeamId ALL_TEAMS = TeamId.of("all");

    private final ToDoubleFunction<TeamId> weight;
    private final LimitSettings settings;
    private final Map<TeamId, TeamQueue> queuesByTeam = new LinkedHashMap<>();

    /**
     * Virtual times of teams without requests; a time is kept while it is ahead of {@link
     * #virtualTime}.
     */
    private final Map<TeamId, Double> idleVirtualTimes = new LinkedHashMap<>();

    private final HeadWaitEstimate headWait = new HeadWaitEstimate();
    private final HoldTimeEstimate holdTime = new HoldTimeEstimate();
    private double virtualTime;
    private double servedSlotMs;
    private int queuedCount;
    private int rotationStart;

    ClassQueue(ToDoubleFunction<TeamId> weight, LimitSettings settings) {
        this.weight = settings.hasFairShares() ? weight : team -> 1;
        this.settings = settings;
    }

    void add(AdmissionRequest r, long nowMs) {
        if (queuedCount == 0) {
            headWait.startWait(nowMs);
        }
        queuesByTeam.computeIfAbsent(queueKey(r.team()), this::newTeam).add(r);
        queuedCount++;
    }

    boolean remove(AdmissionRequest r) {
        TeamQueue team = queuesByTeam.get(queueKey(r.team()));
        if (team == null || !team.remove(r)) {
            return false;
        }
        queuedCount--;
        if (team.isEmpty()) {
            queuesByTeam.remove(queueKey(r.team()));
            storeIdleTeam(queueKey(r.team()), team.servedPerWeight());
        }
        return true;
    }

    /** Returns the next request among those for which {@code isAdmissible} holds, if any. */
    Optional<AdmissionRequest> next(Predicate<AdmissionRequest> isAdmissible) {
        return queuesByTeam.values().stream()
                .filter(t -> isAdmissible.test(t.first()))
                .min(comparingDouble(TeamQueue::servedPerWeight))
                .map(TeamQueue::first);
    }

    /** Removes {@code r} and charges its team. */
    void serve(AdmissionRequest r, long nowMs) {
        TeamQueue team = queuesByTeam.get(queueKey(r.team()));
        virtualTime = Math.max(virtualTime, team.servedPerWeight());
        team.charge(r.maxTotalTokens() / weight.applyAsDouble(r.team()));
        remove(r);
        headWait.recordServed(nowMs);
    }

    /** Returns the slot time served to this class, in the virtual time of all classes. */
    double servedSlotMs() {
        return servedSlotMs;
    }

    void charge(double slotMs) {
        servedSlotMs += slotMs;
    }

    /** Raises the virtual time of a class that was idle to at least {@code minVirtualTime}. */
    void advanceTo(double minVirtualTime) {
        servedSlotMs = Math.max(servedSlotMs, minVirtualTime);
    }

    HoldTimeEstimate holdTime() {
        return holdTime;
    }

    /** Returns the expected time that the first request waits until it is admitted. */
    double headWaitMs(double estimateMs, long nowMs) {
        return headWait.expectedMs(estimateMs, queuedCount > 0, nowMs);
    }

    /**
     * Returns how many requests are served before {@code r} if the team of {@code r} has {@code
     * ownAhead} earlier requests.
     *
     * <p>Compares the virtual times of the teams. An estimate from the weights alone would assume
     * that the only request of a small team waits for many requests of a large team. This request
     * would be refused although it would be served next.
     */
    double requestsAhead(AdmissionRequest r, int ownAhead) {
        double perRequest = r.maxTotalTokens() / weight.applyAsDouble(r.team());
        double startTime = virtualTimeOf(queueKey(r.team())) + ownAhead * perRequest;
        double ahead = ownAhead;
        for (Map.Entry<TeamId, TeamQueue> e : queuesByTeam.entrySet()) {
            double lead = startTime - e.getValue().servedPerWeight();
            if (!e.getKey().equals(queueKey(r.team())) && lead >= 0) {
                int tokens = e.getValue().first().maxTotalTokens();
                double served = lead * weight.applyAsDouble(e.getKey()) / tokens + 1;
                ahead += Math.min(e.getValue().size(), served);
            }
        }
        return ahead;
    }

    /**
     * Returns the virtual time of {@code team}. For a team without requests, returns the start time
     * of a request that is queued now.
     */
    private double virtualTimeOf(TeamId team) {
        TeamQueue queue = queuesByTeam.get(team);
        return queue != null
                ? queue.servedPerWeight()
                : Math.max(virtualTime, idleVirtualTimes.getOrDefault(team, virtualTime));
    }

    int queuedCount() {
        return queuedCount;
    }

    int queuedCount(TeamId team) {
        TeamQueue q = queuesByTeam.get(queueKey(team));
        return q == null ? 0 : q.size();
    }

    ImmutableList<TeamId> waitingTeams() {
        return ImmutableList.copyOf(queuesByTeam.keySet());
    }

    /**
     * Returns up to {@code max} teams with requests; repeated calls return all teams in rotation.
     */
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

    TeamQueue queueOf(TeamId team) {
        return queuesByTeam.get(team);
    }

    private TeamId queueKey(TeamId team) {
        return settings.hasFairShares() ? team : ALL_TEAMS;
    }

    private TeamQueue newTeam(TeamId team) {
        double startTime = virtualTimeOf(team);
        idleVirtualTimes.remove(team);
        return new TeamQueue(startTime, settings.hasClassShares());
    }

    /**
     * Keeps the virtual time of a team that became idle. Without this, a team that queues one
     * request at a time would start each request at the current virtual time and would never be
     * charged for the previous request.
     */
    private void storeIdleTeam(TeamId team, double servedPerWeight) {
        idleVirtualTimes.values().removeIf(t -> t <= virtualTime);
        if (servedPerWeight > virtualTime && idleVirtualTimes.size() < MAX_IDLE_TEAMS) {
            idleVirtualTimes.put(team, servedPerWeight);
        }
    }
}
