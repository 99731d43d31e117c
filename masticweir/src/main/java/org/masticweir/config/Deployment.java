package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.ModelId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * One accepted revision of the deployment document; immutable.
 *
 * @param revision position in the one order of accepted changes, from 1
 */
public record Deployment(
        long revision,
        Map<WorkClassId, WorkClass> classes,
        Map<TeamId, Team> teams,
        Map<ModelId, Model> models,
        Map<String, EngineGroup> groups) {
    public Deployment {
        checkArgument(revision >= 1, "revision %s below 1", revision);
        classes = ImmutableMap.copyOf(classes);
        teams = ImmutableMap.copyOf(teams);
        models = ImmutableMap.copyOf(models);
        groups = ImmutableMap.copyOf(groups);
    }

    public Optional<WorkClass> workClass(WorkClassId id) {
        return Optional.ofNullable(classes.get(checkNotNull(id, "id")));
    }

    public Optional<Team> team(TeamId id) {
        return Optional.ofNullable(teams.get(checkNotNull(id, "id")));
    }

    public Optional<Model> model(ModelId id) {
        return Optional.ofNullable(models.get(checkNotNull(id, "id")));
    }

    public Optional<EngineGroup> group(String name) {
        return Optional.ofNullable(groups.get(checkNotNull(name, "name")));
    }
}
