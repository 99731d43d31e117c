package org.masticweir.bench.slopes;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;

/** The line of one cost over one sweep, with the points it was fitted to; immutable. */
public record CostFit(Sweep sweep, Cost cost, List<LineFit.Xy> points, LineFit line) {
    public CostFit {
        points = ImmutableList.copyOf(points);
    }

    /** Fits every cost of every sweep that was measured at enough sizes. */
    static ImmutableList<CostFit> all(List<SlopePoint> measured) {
        ImmutableList.Builder<CostFit> fits = ImmutableList.builder();
        for (Sweep sweep : Sweep.values()) {
            for (Cost cost : Cost.values()) {
                ImmutableList<LineFit.Xy> points = points(measured, sweep, cost);
                if (points.size() >= LineFit.LEAST_POINTS) {
                    fits.add(new CostFit(sweep, cost, points, LineFit.of(points)));
                }
            }
        }
        return fits.build();
    }

    private static ImmutableList<LineFit.Xy> points(
            List<SlopePoint> measured, Sweep sweep, Cost cost) {
        return measured.stream()
                .filter(p -> p.sweep() == sweep && p.costs().containsKey(cost))
                .map(p -> new LineFit.Xy(p.at(), p.costs().get(cost)))
                .sorted(Comparator.comparingDouble(LineFit.Xy::x))
                .collect(toImmutableList());
    }
}
