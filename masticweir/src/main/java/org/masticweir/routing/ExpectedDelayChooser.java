package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.Comparator.comparingDouble;

import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.masticweir.routing.RouteChoice.Chosen;
import org.masticweir.routing.RouteChoice.None;

/**
 * Chooses by expected time to the next token among a few sampled engines.
 *
 * <p>Failure guarded against: herding. Reports reach all routers at about the same time, so routers
 * that take the least loaded engine all send to that one, and its queue grows until the next
 * report. Here each router compares a few engines drawn at random, and counts its own sends since
 * the report, so that two routers seldom compare the same engines and no router repeats itself.
 *
 * <p>Thread-safe if the supplier gives each thread a generator of its own (for example {@code
 * ThreadLocalRandom::current}).
 */
public final class ExpectedDelayChooser implements EngineChooser {
    /** Engines drawn in each of the two rings, local and remote. */
    private static final int SAMPLES = 6;

    /** What a remote engine must gain beyond its extra delay, since its report is older too. */
    private static final double SPILL_MARGIN_MS = 5;

    private final Supplier<? extends RandomGenerator> random;
    private final InFlight inFlight;
    private final Affinity affinity;

    private ExpectedDelayChooser(InFlight inFlight, Supplier<? extends RandomGenerator> random) {
        this.random = checkNotNull(random, "random");
        this.inFlight = checkNotNull(inFlight, "inFlight");
        this.affinity = new Affinity(inFlight);
    }

    /** Returns a chooser that corrects reports by {@code inFlight}. */
    public static ExpectedDelayChooser create(
            InFlight inFlight, Supplier<? extends RandomGenerator> random) {
        return new ExpectedDelayChooser(inFlight, random);
    }

    @Override
    public RouteChoice choose(RoutingSnapshot snapshot, RouteQuery query, long nowMs) {
        Candidates candidates = snapshot.candidates(query.model(), query.version());
        RandomGenerator r = random.get();
        Comparison local = new Comparison(inFlight, query, nowMs);
        affinity.preferred(candidates, query, nowMs).ifPresent(e -> local.add(e, 0, true));
        Affinity.holder(candidates, query).ifPresent(e -> local.add(e, 0, false));
        Draw.from(candidates.local(), EngineView::id, query, SAMPLES, r)
                .forEach(e -> local.add(e, 0, false));
        Comparison remote = new Comparison(inFlight, query, nowMs);
        Draw.from(candidates.remote(), x -> x.engine().id(), query, SAMPLES, r)
                .forEach(x -> remote.add(x.engine(), x.extraDelayMs() + SPILL_MARGIN_MS, false));
        return Stream.of(local.best(), remote.best())
                .flatMap(Optional::stream)
                .min(comparingDouble(Chosen::expectedMs))
                .<RouteChoice>map(c -> c)
                .orElseGet(() -> new None(Draw.whyNone(snapshot, query)));
    }
}
