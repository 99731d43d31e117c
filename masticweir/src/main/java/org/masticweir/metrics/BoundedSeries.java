package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Function;

/**
 * One {@link Series} for each of the first ids seen, and one named {@code other} for the rest.
 *
 * <p>The bound keeps memory and the metrics page in proportion, however many ids come and go. An id
 * that is itself {@code other} shares the series of the rest. Thread-safe; a lookup takes no lock
 * and allocates nothing, but for the first one of an id that gets a series.
 */
final class BoundedSeries<K> {
    private static final String OTHER = "other";

    private final ConcurrentMap<K, Series> shown = new ConcurrentHashMap<>();
    private final int maxShown;
    private final Function<K, String> nameOf;
    private final Function<String, Series> factory;
    private final Series other;

    private BoundedSeries(
            int maxShown, Function<K, String> nameOf, Function<String, Series> factory) {
        checkArgument(maxShown >= 1, "series shown %s below 1", maxShown);
        this.maxShown = maxShown;
        this.nameOf = checkNotNull(nameOf, "nameOf");
        this.factory = checkNotNull(factory, "factory");
        other = factory.apply(OTHER);
    }

    /** Returns a set of series, made by {@code factory} from the names of at most so many ids. */
    static <K> BoundedSeries<K> of(
            int maxShown, Function<K, String> nameOf, Function<String, Series> factory) {
        return new BoundedSeries<>(maxShown, nameOf, factory);
    }

    /** Returns the series that {@code id} is counted in. */
    Series of(K id) {
        Series known = shown.get(id);
        if (known != null) {
            return known;
        }
        return shown.size() >= maxShown ? other : add(id);
    }

    private synchronized Series add(K id) {
        String name = nameOf.apply(id);
        if (name.equals(OTHER) || shown.size() >= maxShown) {
            return shown.getOrDefault(id, other);
        }
        return shown.computeIfAbsent(id, k -> factory.apply(name));
    }
}
