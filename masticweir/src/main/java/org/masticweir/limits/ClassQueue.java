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

    /** Stands for every team where they share one queue. */
    private static final TeamId ALL = TeamId.of("all");

    private final ToDoubleFunction<TeamId> weight;
    private final LimitTuning tuning;
    private final Map<TeamId, TeamQueue> teams = new LinkedHashMap<>();

    /** Where teams without requests stand, as long as that is ahead of the clock. */
    private final Map<TeamId, Double> idle = new LinkedHashMap<>();

    private double clock;
    private int size;

    ClassQueue(ToDoubleFunction<TeamId> weight, LimitTuning tuning) {
        this.weight = tuning.fairShares() ? weight : team -> 1;
        this.tuning = tuning;
    }

    void add(WorkRequest r) {
        teams.computeIfAbsent(key(r.team()), this::newTeam).add(r);
        size++;
    }

    boolean remove(WorkRequest r) {
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

    /** Returns the request to be served next; the queue must hold one. */
    WorkRequest next() {
        return teams.values().stream()
                .min(comparingDouble(TeamQueue::servedPerWeight))
                .orElseThrow()
                .first();
    }

    /** Takes {@code r} out and charges its team. */
    void serve(WorkRequest r) {
        TeamQueue team = teams.get(key(r.team()));
        clock = Math.max(clock, team.servedPerWeight());
        team.charge(r.tokens() / weight.applyAsDouble(r.team()));
        remove(r);
    }

    /** Returns how many requests go before one of {@code team} that has {@code own} before it. */
    double ahead(TeamId team, int own) {
        double perWeight = (own + 1) / weight.applyAsDouble(team);
        double ahead = own;
        for (Map.Entry<TeamId, TeamQueue> e : teams.entrySet()) {
            if (!e.getKey().equals(key(team))) {
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
        TeamQueue q = teams.get(key(team));
        return q == null ? 0 : q.size();
    }

    ImmutableList<TeamId> waitingTeams() {
        return ImmutableList.copyOf(teams.keySet());
    }

    TeamQueue team(TeamId team) {
        return teams.get(team);
    }

    private TeamId key(TeamId team) {
        return tuning.fairShares() ? team : ALL;
    }

    private TeamQueue newTeam(TeamId team) {
        Double stood = idle.remove(team);
        double level = stood == null ? clock : Math.max(clock, stood);
        return new TeamQueue(level, tuning.classPriority());
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
