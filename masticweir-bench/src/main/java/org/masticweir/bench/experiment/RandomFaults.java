package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Random;

/**
 * Draws a schedule of faults from a seed; the same seed draws the same one.
 *
 * <p>The first and the last fifth of the run stay without a new fault, so that there is work to
 * disturb and time to recover. Not thread-safe.
 */
final class RandomFaults {
    private static final int MIN_FOR_MS = 100;
    private static final int MAX_FOR_MS = 2_500;
    private static final double MAX_SLOW_FACTOR = 8;
    private static final double FIRST_SHARE = 0.2;
    private static final double LAST_SHARE = 0.8;

    private final Random random;
    private final List<String> engines;
    private final List<FaultKind> kinds;

    /**
     * Creates the drawing of faults.
     *
     * @param engines ids of engines; each is also the name of its route
     * @param proxied whether routes can be cut
     * @param platform whether there is a platform to put out
     */
    RandomFaults(long seed, List<String> engines, boolean proxied, boolean platform) {
        checkArgument(!engines.isEmpty(), "no engine to disturb");
        this.random = new Random(seed);
        this.engines = ImmutableList.copyOf(engines);
        ImmutableList.Builder<FaultKind> possible = ImmutableList.builder();
        possible.add(FaultKind.KILL, FaultKind.PAUSE, FaultKind.SLOW, FaultKind.REFUSE);
        if (proxied) {
            possible.add(FaultKind.CUT, FaultKind.STALL);
        }
        if (platform) {
            possible.add(FaultKind.OUTAGE);
        }
        kinds = possible.build();
    }

    /** Returns {@code count} faults of a run of {@code runMs}. */
    FaultSchedule draw(int count, long runMs) {
        checkArgument(count >= 0, "%s faults", count);
        ImmutableList.Builder<Fault> faults = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            faults.add(next(runMs));
        }
        return new FaultSchedule(faults.build());
    }

    private Fault next(long runMs) {
        FaultKind kind = checkNotNull(kinds.get(random.nextInt(kinds.size())));
        String engine = engines.get(random.nextInt(engines.size()));
        double at = FIRST_SHARE + random.nextDouble() * (LAST_SHARE - FIRST_SHARE);
        long forMs = MIN_FOR_MS + random.nextInt(MAX_FOR_MS - MIN_FOR_MS);
        double factor = 1 + random.nextDouble() * (MAX_SLOW_FACTOR - 1);
        String target = kind.strikesAll() ? "platform" : engine;
        return new Fault(
                Math.round(at * runMs), kind, target, kind == FaultKind.KILL ? 0 : forMs, factor);
    }
}
