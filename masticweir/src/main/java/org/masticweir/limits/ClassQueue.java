package org.masticweir.limits;

import static java.util.Comparator.comparingDouble;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
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

    private final ToDoubleFunction<TeamId> weight;
    private final Map<TeamId, TeamQueue> teams = new LinkedHashMap<>();

    /** Where teams without requests stand, as long as that is ahead of the clock. */
    private final Map<TeamId, Double> idle = new LinkedHashMap<>();

    private double clock;
    private int size;

    ClassQueue(ToDoubleFunction<TeamId> weight) {
        this.weight = weight;
    }

    void add(WorkRequest r) {
        teams.computeIfAbsent(r.team(), this::newTeam).add(r);
        size++;
    }

    boolean remove(WorkRequest r) {
        TeamQueue team = teams.get(r.team());
        if (team == null || !team.remove(r)) {
            return false;
        }
        size--;
        if (team.isEmpty()) {
            teams.remove(r.team());
            remember(r.team(), team.servedPerWeight());
        }
        return true;
    }

    /** Returns the request to be served next; the queue must hold one. */
    WorkRequest next() {
        return teams.values().stream()
                .min(comparingDouble(TeamQueue::servedPerWeight))
                .orElseThrow()
                .first();
    }

    /** Takes {@code r} out and charges its team. */
    void serve(WorkRequest r) {
        TeamQueue team = teams.get(r.team());
        clock = Math.max(clock, team.servedPerWeight());
        team.charge(r.tokens() / weight.applyAsDouble(r.team()));
        remove(r);
    }

    /** Returns how many requests go before one of {@code team} that has {@code own} before it. */
    double ahead(TeamId team, int own) {
        double perWeight = (own + 1) / weight.applyAsDouble(team);
        double ahead = own;
        for (Map.Entry<TeamId, TeamQueue> e : teams.entrySet()) {
            if (!e.getKey().equals(team)) {
                double turns = perWeight * weight.applyAsDouble(e.getKey());
                ahead += Math.min(e.getValue().size(), turns);
            }
        }
        return ahead;
    }

    int size() {
        return size;
    }

    int size(TeamId team) {
        TeamQueue q = teams.get(team);
        return q == null ? 0 : q.size();
    }

    ImmutableList<TeamId> waitingTeams() {
        return ImmutableList.copyOf(teams.keySet());
    }

    TeamQueue team(TeamId team) {
        return teams.get(team);
    }

    private TeamQueue newTeam(TeamId team) {
        Double stood = idle.remove(team);
        return new TeamQueue(stood == null ? clock : Math.max(clock, stood));
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
