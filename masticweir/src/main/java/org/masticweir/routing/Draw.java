package org.masticweir.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.masticweir.id.EngineId;
import org.masticweir.routing.RouteChoice.Reason;

/** Draws engines that a query does not exclude. */
final class Draw {
    private Draw() {}

    /** Returns up to {@code n} distinct items drawn evenly, none of them excluded. */
    static <T> List<T> from(
            List<T> items,
            Function<T, EngineId> id,
            RouteQuery query,
            int n,
            RandomGenerator random) {
        List<T> drawn = new ArrayList<>(n);
        int size = items.size();
        if (size == 0) {
            return drawn;
        }
        int start = random.nextInt(size);
        int stride = coprimeStride(size, random);
        for (int i = 0; i < size && drawn.size() < n; i++) {
            T item = items.get((int) ((start + (long) i * stride) % size));
            if (!query.excluded().contains(id.apply(item))) {
                drawn.add(item);
            }
        }
        return drawn;
    }

    /** Tells why {@code query} found no engine in {@code snapshot}. */
    static Reason whyNone(RoutingSnapshot snapshot, RouteQuery query) {
        if (snapshot.engines(query.model()).isEmpty()) {
            return Reason.UNKNOWN_MODEL;
        }
        Candidates candidates = snapshot.candidates(query.model(), query.version());
        if (candidates.known() == 0) {
            return Reason.VERSION_NOT_LOADED;
        }
        return candidates.isEmpty() ? Reason.NONE_AVAILABLE : Reason.ALL_EXCLUDED;
    }

    /** A stride without a common factor with the size visits every item once. */
    private static int coprimeStride(int size, RandomGenerator random) {
        int stride = 1 + random.nextInt(size);
        while (gcd(stride, size) != 1) {
            stride++;
        }
        return stride;
    }

    private static int gcd(int a, int b) {
        return b == 0 ? a : gcd(b, a % b);
    }
}
