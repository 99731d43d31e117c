package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.masticweir.id.RouterId;

/**
 * Grants permits for the shared rates that this router issues. Thread-safe: each call holds one
 * lock for a short time.
 *
 * <p>A permit allows the requesting router one use. Routers thereby use a rate in proportion to
 * their demand, and no router rounds its share up to a whole use.
 */
final class PermitIssuer {
    /** Maximum number of stored rates; the least recently used rate is evicted first. */
    private static final int MAX_RATES = 16_384;

    /** Number of requests per available permit that is enough for the use of all permits. */
    private static final double REQUESTS_PER_PERMIT = 4;

    /**
     * Tokens required while more urgent requests wait, so that one token is left for the urgent
     * requests.
     */
    private static final double TOKENS_TO_LEAVE_ONE = 2;

    /**
     * Maximum retry delay of a denied router, in ms. All demand may come from this router's
     * callers.
     */
    private static final long MAX_RETRY_AFTER_MS = 2_000;

    /**
     * Time after a router's last request for which the router is counted as a requester of the
     * rate, in ms.
     */
    private static final long REQUESTER_EXPIRY_MS = MAX_RETRY_AFTER_MS + 1_000;

    private static final double MS_PER_SECOND = 1_000;

    private final Map<PermitKey, RateState> rates =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<PermitKey, RateState> eldest) {
                    return size() > MAX_RATES;
                }
            };

    /** State of one rate. The requesting routers are ordered by the time of their last request. */
    private static final class RateState {
        private final TokenBucket bucket;
        private final Map<RouterId, Long> requesters = new LinkedHashMap<>(16, 0.75f, true);

        /** The time until which a token is reserved for denied requests, by urgency. */
        private final NavigableMap<Integer, Long> reservedUntilMs = new TreeMap<>();

        private long lastRequestMs;

        RateState(SharedRate rate, long sinceMs) {
            bucket = new TokenBucket(rate, sinceMs);
            lastRequestMs = sinceMs;
        }

        /**
         * Discards saved tokens if the last request was before {@code sinceMs}. Another router may
         * have issued permits between the last request and that time.
         */
        void discardTokensBefore(long sinceMs) {
            if (lastRequestMs < sinceMs) {
                bucket.discardTokens(sinceMs);
            }
        }

        void recordRequest(RouterId requester, long nowMs) {
            lastRequestMs = nowMs;
            requesters.put(requester, nowMs);
            Iterator<Long> oldest = requesters.values().iterator();
            while (nowMs - oldest.next() > REQUESTER_EXPIRY_MS) {
                oldest.remove();
            }
        }

        /** Returns the number of tokens required to grant a request. */
        double requiredTokens(int urgency, SharedRate rate, long nowMs) {
            boolean isMoreUrgentRequestWaiting =
                    reservedUntilMs.headMap(urgency).values().stream().anyMatch(t -> t > nowMs);
            return isMoreUrgentRequestWaiting ? Math.min(TOKENS_TO_LEAVE_ONE, rate.burst()) : 1;
        }

        /**
         * Returns the interval between two requests of one router, in ms. At this interval, all
         * requesters together send {@link #REQUESTS_PER_PERMIT} requests per permit.
         */
        long requestIntervalMs(SharedRate rate) {
            return (long)
                    (requesters.size() * MS_PER_SECOND / (REQUESTS_PER_PERMIT * rate.perSecond()));
        }
    }

    /**
     * Decides on a permit for one use.
     *
     * @param urgency 0 is the most urgent
     * @param rate the part of the shared rate that this router may grant
     * @param issuerSinceMs the latest time at which the issuer may have changed. Older tokens are
     *     not granted, as the previous issuer may have granted them.
     */
    synchronized PermitDecision decide(
            RouterId requester,
            PermitKey key,
            int urgency,
            SharedRate rate,
            long issuerSinceMs,
            long nowMs) {
        RateState state = updatedState(key, rate, issuerSinceMs, nowMs);
        state.recordRequest(requester, nowMs);
        double requiredTokens = state.requiredTokens(urgency, rate, nowMs);
        if (state.bucket.tryConsume(requiredTokens, nowMs)) {
            return PermitDecision.ofGrant();
        }
        long nextMs =
                Math.max(state.bucket.waitMs(requiredTokens, nowMs), state.requestIntervalMs(rate));
        long retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, nextMs);
        state.reservedUntilMs.put(urgency, nowMs + 2 * retryAfterMs);
        return PermitDecision.denied(retryAfterMs);
    }

    /** Counts a use without a permit. */
    synchronized void recordUsage(PermitKey key, SharedRate rate, long issuerSinceMs, long nowMs) {
        updatedState(key, rate, issuerSinceMs, nowMs).bucket.consumeWithoutPermit(nowMs);
    }

    private RateState updatedState(PermitKey key, SharedRate rate, long issuerSinceMs, long nowMs) {
        checkNotNull(rate, "rate");
        RateState state = rates.computeIfAbsent(key, k -> new RateState(rate, issuerSinceMs));
        state.discardTokensBefore(issuerSinceMs);
        state.bucket.setRate(rate, nowMs);
        return state;
    }
}
