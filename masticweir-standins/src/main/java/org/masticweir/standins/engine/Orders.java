package org.masticweir.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Applies orders and keeps what holds, with the check of fencing numbers when it is asked for.
 *
 * <p>Thread-safe.
 */
final class Orders {
    /** What an engine does with new work. */
    enum Role {
        @JsonProperty("serving")
        SERVING,
        @JsonProperty("leaving")
        LEAVING
    }

    /** What holds after the orders so far. */
    record State(ImmutableList<LoadedModel> models, Role role, long highestFencing) {}

    /** An order as it came, and whether it took effect. */
    record Recorded(
            long fencing,
            Order.Kind kind,
            String model,
            String version,
            String adapter,
            boolean applied) {}

    private final Set<LoadedModel> models = new LinkedHashSet<>();
    private final List<Recorded> recorded = new ArrayList<>();
    private final boolean checksFencing;
    private Role role = Role.SERVING;
    private long highest;

    private Orders(List<LoadedModel> models, boolean checksFencing) {
        this.models.addAll(models);
        this.checksFencing = checksFencing;
    }

    static Orders of(EngineSettings settings) {
        return new Orders(settings.models(), settings.checksFencing());
    }

    /** Applies {@code order} and returns true, or refuses it as old and returns false. */
    synchronized boolean apply(Order order, boolean ignoreFencing) {
        boolean old = order.fencing() < highest;
        boolean applied = !old || !checksFencing || ignoreFencing;
        recorded.add(
                new Recorded(
                        order.fencing(),
                        order.kind(),
                        order.model(),
                        order.version(),
                        order.adapter(),
                        applied));
        if (applied) {
            highest = Math.max(highest, order.fencing());
            change(order);
        }
        return applied;
    }

    private void change(Order order) {
        switch (order.kind()) {
            case LOAD -> models.add(order.target());
            case UNLOAD -> models.remove(order.target());
            case ROLE -> role = Role.SERVING;
            case LEAVE -> role = Role.LEAVING;
            default -> throw new IllegalStateException("unknown kind " + order.kind());
        }
    }

    synchronized boolean serves(LoadedModel wanted) {
        return models.stream().anyMatch(model -> model.serves(wanted));
    }

    synchronized State state() {
        return new State(ImmutableList.copyOf(models), role, highest);
    }

    synchronized ImmutableList<Recorded> recorded() {
        return ImmutableList.copyOf(recorded);
    }
}
