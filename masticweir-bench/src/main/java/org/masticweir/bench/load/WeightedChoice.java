package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Draws one of several values by weight; immutable. */
final class WeightedChoice<T> {
    private final ImmutableList<T> values;
    private final double[] upTo;

    private WeightedChoice(ImmutableList<T> values, double[] upTo) {
        this.values = values;
        this.upTo = upTo;
    }

    static <T> WeightedChoice<T> of(List<T> values, ToDoubleFunction<T> weight) {
        checkArgument(!values.isEmpty(), "nothing to choose from");
        double[] upTo = new double[values.size()];
        double sum = 0;
        for (int i = 0; i < upTo.length; i++) {
            double w = weight.applyAsDouble(values.get(i));
            checkArgument(w > 0, "weight %s of %s", w, values.get(i));
            sum += w;
            upTo[i] = sum;
        }
        return new WeightedChoice<>(ImmutableList.copyOf(values), upTo);
    }

    T draw(RandomGenerator random) {
        double at = random.nextDouble() * upTo[upTo.length - 1];
        int i = 0;
        while (i < upTo.length - 1 && at >= upTo[i]) {
            i++;
        }
        return values.get(i);
    }
}
