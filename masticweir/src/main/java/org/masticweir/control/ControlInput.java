package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.masticweir.config.Deployment;

/**
 * What the router knows for the control of its failure domain; immutable.
 *
 * <p>Holdings are to be read anew at least once per {@link OrderSettings#auditMs}, as they are the
 * audit that finds what a late order left behind.
 *
 * @param deployment the one in force; empty while none is known
 * @param engines the engines of this failure domain, and of no other
 */
public record ControlInput(Optional<Deployment> deployment, List<ManagedEngine> engines) {
    public ControlInput {
        checkNotNull(deployment, "deployment");
        engines = ImmutableList.copyOf(engines);
    }

    public static ControlInput of(Deployment deployment, List<ManagedEngine> engines) {
        return new ControlInput(Optional.of(deployment), engines);
    }

    /** Returns the input of a router that has no deployment yet. */
    public static ControlInput none() {
        return new ControlInput(Optional.empty(), List.of());
    }
}
