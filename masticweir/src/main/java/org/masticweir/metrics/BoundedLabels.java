package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keeps the values of one label within a number: the first ones seen stay, the rest share one.
 *
 * <p>Failure guarded against: names come and go for as long as a process runs, each leaves a series
 * behind, and the metrics take the memory of the requests. Thread-safe; a value seen before takes
 * no lock.
 */
public final class BoundedLabels {
    static final String OTHER = "other";

    private final int most;
    private final Set<String> shown = ConcurrentHashMap.newKeySet();

    private BoundedLabels(int most) {
        checkArgument(most >= 1, "%s values", most);
        this.most = most;
    }

    /** Returns a label that shows {@code most} values and {@code other}. */
    public static BoundedLabels of(int most) {
        return new BoundedLabels(most);
    }

    /** Returns what {@code value} is shown as. */
    public String shownAs(String value) {
        checkNotNull(value, "value");
        return shown.contains(value) || add(value) ? value : OTHER;
    }

    private synchronized boolean add(String value) {
        return shown.size() < most && shown.add(value);
    }
}
