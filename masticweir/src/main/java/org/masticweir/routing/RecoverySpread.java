package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Places the generations of a lost engine over the survivors.
 *
 * <p>Failure guarded against: an engine dies with its whole batch, all its generations look for a
 * place in the same few milliseconds and before any new report, and most of them land on the engine
 * that seemed emptiest or that holds their common prefix. Each placement is counted as sent, with
 * its prefill, before the next one is chosen, so the next sees the engine as that much busier.
 *
 * <p>Thread-safe as far as its chooser is.
 */
public final class RecoverySpread {
    private final EngineChooser chooser;
    private final InFlight inFlight;

    private RecoverySpread(EngineChooser chooser, InFlight inFlight) {
        this.chooser = checkNotNull(chooser, "chooser");
        this.inFlight = checkNotNull(inFlight, "inFlight");
    }

    public static RecoverySpread create(EngineChooser chooser, InFlight inFlight) {
        return new RecoverySpread(chooser, inFlight);
    }

    /**
     * Returns one choice for each query, in their order, and counts each engine chosen as sent to.
     *
     * <p>The caller sends at once and calls {@link InFlight#finished} for each as usual.
     */
    public ImmutableList<RouteChoice> place(
            RoutingSnapshot snapshot, List<RouteQuery> lost, long nowMs) {
        checkNotNull(snapshot, "snapshot");
        ImmutableList.Builder<RouteChoice> choices = ImmutableList.builder();
        for (RouteQuery query : lost) {
            RouteChoice choice = chooser.choose(snapshot, query, nowMs);
            if (choice instanceof RouteChoice.Chosen chosen) {
                inFlight.sent(chosen, nowMs);
            }
            choices.add(choice);
        }
        return choices.build();
    }
}
