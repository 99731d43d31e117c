package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Grants permits for the shared rates whose issuer this router is. Thread-safe: each call holds one
 * lock for a short time.
 *
 * <p>A permit is one use by whoever asked for it, so that the parts of routers follow their demand
 * and no fraction of a use is rounded up at each of them.
 */
final class PermitIssuer {
    /** Rates remembered; the one asked for longest ago is dropped first. */
    private static final int MOST_RATES = 16_384;

    /** Asks for one permit that are enough to have each of them used. */
    private static final double ASKS_A_PERMIT = 3;

    /** Longest time after which a router may ask again, in ms: its callers may be the only ones. */
    private static final long MOST_AGAIN_MS = 2_000;

    private static final double MS_A_SECOND = 1_000;

    private final Map<PermitKey, Rate> rates =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<PermitKey, Rate> eldest) {
                    return size() > MOST_RATES;
                }
            };

    /** One rate and how often it is asked for. */
    private static final class Rate {
        private final TokenBucket bucket;
        private double asksPerSecond;
        private long askedMs;

        Rate(SharedRate rate, long nowMs) {
            bucket = new TokenBucket(rate, nowMs);
            askedMs = nowMs;
        }

        /** Counts an ask; older ones fade within a second. */
        void asked(long nowMs) {
            double faded = Math.exp(-Math.max(0, nowMs - askedMs) / MS_A_SECOND);
            asksPerSecond = asksPerSecond * faded + 1;
            askedMs = nowMs;
        }
    }

    /**
     * Decides on one use.
     *
     * @param rate what this router may grant of the shared rate
     */
    synchronized PermitDecision ask(PermitKey key, SharedRate rate, long nowMs) {
        checkNotNull(rate, "rate");
        Rate asked = rates.computeIfAbsent(key, k -> new Rate(rate, nowMs));
        asked.bucket.changeTo(rate, nowMs);
        asked.asked(nowMs);
        if (asked.bucket.tryTake(nowMs)) {
            return PermitDecision.ofGrant();
        }
        double crowd = asked.asksPerSecond / (ASKS_A_PERMIT * rate.perSecond());
        long againMs = (long) (asked.bucket.nextMs(nowMs) * Math.max(1, crowd));
        return PermitDecision.denied(Math.min(MOST_AGAIN_MS, againMs));
    }
}
