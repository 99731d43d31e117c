package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.masticweir.config.Deployment;
import org.masticweir.config.Model;
import org.masticweir.config.WorkClass;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.limits.RecoveryRequest;
import org.masticweir.recovery.RecoveryAction;
import org.masticweir.routing.PrefixBlocks;
import org.masticweir.routing.RouteChoice;
import org.masticweir.routing.RouteQuery;

/** Asks for the engines of one request's attempts; owned by the request's thread. */
final class EngineSearch {
    private final ServingContext context;
    private final RequestSpec spec;
    private final WorkClass workClass;
    private final long dueMs;

    EngineSearch(ServingContext context, RunningRequest request, WorkClass workClass) {
        this.context = checkNotNull(context, "context");
        this.workClass = checkNotNull(workClass, "workClass");
        spec = request.spec();
        dueMs = request.acceptedAtMs() + workClass.totalMs();
    }

    /** Returns an engine for {@code generation}, of which {@code accepted} tokens are there. */
    RouteChoice choose(
            RecoveryAction.ChooseEngine choose, GenerationSpec generation, int accepted) {
        RouteQuery query =
                new RouteQuery(
                        spec.model(),
                        generation.version(),
                        workClass.id(),
                        spec.prompt().length(),
                        prefixes(generation),
                        accepted,
                        choose.excluded(),
                        choose.recovering());
        return context.chooser()
                .choose(context.view().get().routing(), query, context.clock().nowMs());
    }

    /** Tells whether there is no engine because the model's version was replaced. */
    boolean versionGone(RouteChoice.None none, GenerationSpec generation) {
        return none.reason() == RouteChoice.Reason.VERSION_NOT_LOADED
                && declaredModel()
                        .map(m -> !m.version().equals(generation.version()))
                        .orElse(false);
    }

    /** Returns the model as the configuration in force declares it. */
    Optional<Model> declaredModel() {
        Optional<Deployment> deployment = context.view().get().deployment();
        return deployment.flatMap(d -> d.model(spec.model()));
    }

    /** Returns what the recovery of {@code generation} asks of its admission. */
    RecoveryRequest recovery(GenerationSpec generation, int accepted) {
        return new RecoveryRequest(
                generation.id(),
                workClass,
                spec.model(),
                generation.version(),
                spec.prompt().length() + accepted,
                dueMs);
    }

    private ImmutableList<String> prefixes(GenerationSpec generation) {
        return PrefixBlocks.hashesOf(
                spec.model(), generation.version(), generation.adapter(), spec.prompt().asList());
    }
}
