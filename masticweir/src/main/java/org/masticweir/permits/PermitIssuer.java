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
 * <p>A permit allows the requesting router one use. The routers' shares of a rate thereby follow
 * their demand, and no router rounds a fraction of a use up.
 */
final class PermitIssuer {
    /** Maximum number of rates stored; the least recently used one is evicted first. */
    private static final int MAX_RATES = 16_384;

    /** Requests for each available permit that are enough for all permits to be used. */
    private static final double REQUESTS_PER_PERMIT = 4;

    /** Tokens required while more urgent requests wait, so that one token is left for them. */
    private static final double TOKENS_TO_LEAVE_ONE = 2;

    /**
     * Longest time for which a router is denied, in ms: its callers may be the only ones with
     * demand.
     */
    private static final long MAX_RETRY_AFTER_MS = 2_000;

    /**
     * Time after its last request for which a router counts as having callers for the rate, in ms.
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

    /** One rate and the routers that request it, ordered by the time of their last request. */
    private static final class RateState {
        private final TokenBucket bucket;
        private final Map<RouterId, Long> requesters = new LinkedHashMap<>(16, 0.75f, true);

        /** The time until which a token is reserved for denied requests, by their urgency. */
        private final NavigableMap<Integer, Long> reservedUntilMs = new TreeMap<>();

        private long lastRequestMs;

        RateState(SharedRate rate, long sinceMs) {
            bucket = new TokenBucket(rate, sinceMs);
            lastRequestMs = sinceMs;
        }

        /**
         * Discards saved tokens if the last request came before {@code sinceMs}, as another router
         * may have issued permits between the two.
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
         * Returns the interval between two requests of one router at which all routers together
         * send enough requests, in ms.
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
     * @param rate the fraction of the shared rate that this router may grant
     * @param issuerSinceMs the latest time at which the issuer may have changed: tokens from before
     *     that time are not granted, as the previous issuer may have granted them
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

    /** Counts a use that was made without a permit. */
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
