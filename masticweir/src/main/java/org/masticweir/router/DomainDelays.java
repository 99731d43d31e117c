package org.masticweir.router;

import com.google.common.collect.EvictingQueue;
import com.google.common.math.Quantiles;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.masticweir.id.DomainId;

/**
 * Measures what a call into another failure domain costs beyond a local one; owned by the control
 * thread.
 *
 * <p>The round trips of state polls are the measure. Both sides wait alike for this router's own
 * threads, so the difference of the medians is the way between the domains.
 */
final class DomainDelays {
    private static final int KEPT = 64;
    private static final long LAPSES_MS = 10_000;

    private final DomainId own;
    private final Map<DomainId, RoundTrips> domains = new HashMap<>();

    DomainDelays(DomainId own) {
        this.own = own;
    }

    /** Takes note that a poll into {@code domain} took {@code ms}. */
    void answered(DomainId domain, long ms, long nowMs) {
        RoundTrips trips = domains.computeIfAbsent(domain, d -> new RoundTrips());
        trips.ms.add(ms);
        trips.atMs = nowMs;
    }

    /**
     * Returns the extra delay to {@code domain}; empty for a domain that answers nothing.
     *
     * <p>Failure guarded against: a partition between domains. It shows as polls that all fail, and
     * a domain without a delay gets no work until one of its engines answers again.
     */
    OptionalLong extraMs(DomainId domain, long nowMs) {
        RoundTrips trips = domains.get(domain);
        if (trips == null || nowMs - trips.atMs > LAPSES_MS) {
            return OptionalLong.empty();
        }
        double local = domains.containsKey(own) ? domains.get(own).medianMs() : 0;
        return OptionalLong.of(Math.max(0, Math.round(trips.medianMs() - local)));
    }

    private static final class RoundTrips {
        private final EvictingQueue<Long> ms = EvictingQueue.create(KEPT);
        private long atMs;

        double medianMs() {
            return Quantiles.median().compute(ms);
        }
    }
}
