package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.masticweir.time.Clock;

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

    /**
     * An order as it came.
     *
     * @param applied whether it was accepted, not refused as old
     * @param changed whether something holds since then that did not before
     * @param atMs wall time
     */
    record Recorded(
            long fencing,
            Order.Kind kind,
            String model,
            String version,
            String adapter,
            boolean applied,
            boolean changed,
            long atMs) {}

    private final Set<LoadedModel> models = new LinkedHashSet<>();
    private final List<Recorded> recorded = new ArrayList<>();
    private final boolean checksFencing;
    private final Clock clock;
    private Role role = Role.SERVING;
    private long highest;

    private Orders(List<LoadedModel> models, boolean checksFencing, Clock clock) {
        this.models.addAll(models);
        this.checksFencing = checksFencing;
        this.clock = checkNotNull(clock, "clock");
    }

    static Orders of(EngineSettings settings, Clock clock) {
        return new Orders(settings.models(), settings.checksFencing(), clock);
    }

    /** Applies {@code order} and returns true, or refuses it as old and returns false. */
    synchronized boolean apply(Order order, boolean ignoreFencing) {
        boolean old = order.fencing() < highest;
        boolean applied = !old || !checksFencing || ignoreFencing;
        boolean changed = applied && change(order);
        recorded.add(
                new Recorded(
                        order.fencing(),
                        order.kind(),
                        order.model(),
                        order.version(),
                        order.adapter(),
                        applied,
                        changed,
                        clock.wallMs()));
        if (applied) {
            highest = Math.max(highest, order.fencing());
        }
        return applied;
    }

    /** Does what {@code order} asks; returns whether that was not so before. */
    private boolean change(Order order) {
        return switch (order.kind()) {
            case LOAD -> models.add(order.target());
            case UNLOAD -> models.remove(order.target());
            case ROLE -> become(Role.SERVING);
            case LEAVE -> become(Role.LEAVING);
        };
    }

    private boolean become(Role next) {
        boolean changed = role != next;
        role = next;
        return changed;
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
