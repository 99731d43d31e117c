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
    private static final int MAX_IDLE = 512;

    /** Stands for every team where they share one queue. */
    private static final TeamId ALL = TeamId.of("all");

    private final ToDoubleFunction<TeamId> weight;
    private final LimitSettings tuning;
    private final Map<TeamId, TeamQueue> teams = new LinkedHashMap<>();

    /** Where teams without requests stand, as long as that is ahead of the clock. */
    private final Map<TeamId, Double> idle = new LinkedHashMap<>();

    private final TurnTime turn = new TurnTime();
    private final HoldTime hold = new HoldTime();
    private double clock;
    private double served;
    private int size;
    private int firstInTurn;

    ClassQueue(ToDoubleFunction<TeamId> weight, LimitSettings tuning) {
        this.weight = tuning.fairShares() ? weight : team -> 1;
        this.tuning = tuning;
    }

    void add(AdmissionRequest r, long nowMs) {
        if (size == 0) {
            turn.began(nowMs);
        }
        teams.computeIfAbsent(key(r.team()), this::newTeam).add(r);
        size++;
    }

    boolean remove(AdmissionRequest r) {
        TeamQueue team = teams.get(key(r.team()));
        if (team == null || !team.remove(r)) {
            return false;
        }
        size--;
        if (team.isEmpty()) {
            teams.remove(key(r.team()));
            remember(key(r.team()), team.servedPerWeight());
        }
        return true;
    }

    /** Returns the request to be served next of those that {@code admissible} lets in, if any. */
    Optional<AdmissionRequest> next(Predicate<AdmissionRequest> admissible) {
        return teams.values().stream()
                .filter(t -> admissible.test(t.first()))
                .min(comparingDouble(TeamQueue::servedPerWeight))
                .map(TeamQueue::first);
    }

    /** Takes {@code r} out and charges its team. */
    void serve(AdmissionRequest r, long nowMs) {
        TeamQueue team = teams.get(key(r.team()));
        clock = Math.max(clock, team.servedPerWeight());
        team.charge(r.tokens() / weight.applyAsDouble(r.team()));
        remove(r);
        turn.served(nowMs);
    }

    /** Returns the place time served to this class, on the clock of all classes. */
    double served() {
        return served;
    }

    void charge(double placeMs) {
        served += placeMs;
    }

    /** Takes the class no further back than {@code level}, as it has been idle. */
    void raise(double level) {
        served = Math.max(served, level);
    }

    HoldTime hold() {
        return hold;
    }

    /** Returns how long the first request waits for its turn. */
    double turnMs(double estimateMs, long nowMs) {
        return turn.ms(estimateMs, size > 0, nowMs);
    }

    /**
     * Returns how many requests go before {@code r} if its team has {@code own} before it.
     *
     * <p>Failure guarded against: a small team's only request is taken to wait for as many of a
     * large team's as their weights tell, and is refused, though it would be next. What counts is
     * where each team stands.
     */
    double ahead(AdmissionRequest r, int own) {
        double perRequest = r.tokens() / weight.applyAsDouble(r.team());
        double turn = level(key(r.team())) + own * perRequest;
        double ahead = own;
        for (Map.Entry<TeamId, TeamQueue> e : teams.entrySet()) {
            double lead = turn - e.getValue().servedPerWeight();
            if (!e.getKey().equals(key(r.team())) && lead >= 0) {
                int tokens = e.getValue().first().tokens();
                double turns = lead * weight.applyAsDouble(e.getKey()) / tokens + 1;
                ahead += Math.min(e.getValue().size(), turns);
            }
        }
        return ahead;
    }

    /** Returns where {@code team} stands, or would if it queued now. */
    private double level(TeamId team) {
        TeamQueue queue = teams.get(team);
        return queue != null
                ? queue.servedPerWeight()
                : Math.max(clock, idle.getOrDefault(team, clock));
    }

    int size() {
        return size;
    }

    int size(TeamId team) {
        TeamQueue q = teams.get(key(team));
        return q == null ? 0 : q.size();
    }

    ImmutableList<TeamId> waitingTeams() {
        return ImmutableList.copyOf(teams.keySet());
    }

    /** Returns up to {@code most} teams with requests; all of them come up in turn. */
    ImmutableList<TeamId> teamsInTurn(int most) {
        ImmutableList<TeamId> all = waitingTeams();
        if (all.size() <= most) {
            return all;
        }
        firstInTurn = (firstInTurn + most) % all.size();
        int wrapped = Math.max(0, firstInTurn + most - all.size());
        return ImmutableList.<TeamId>builder()
                .addAll(all.subList(firstInTurn, firstInTurn + most - wrapped))
                .addAll(all.subList(0, wrapped))
                .build();
    }

    TeamQueue team(TeamId team) {
        return teams.get(team);
    }

    private TeamId key(TeamId team) {
        return tuning.fairShares() ? team : ALL;
    }

    private TeamQueue newTeam(TeamId team) {
        double level = level(team);
        idle.remove(team);
        return new TeamQueue(level, tuning.classShares());
    }

    /**
     * Failure guarded against: a team that queues one request at a time would start level each time
     * and never pay for the one before.
     */
    private void remember(TeamId team, double servedPerWeight) {
        idle.values().removeIf(stood -> stood <= clock);
        if (servedPerWeight > clock && idle.size() < MAX_IDLE) {
            idle.put(team, servedPerWeight);
        }
    }
}
