package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.masticweir.id.RouterId;

/**
 * Grants permits for the shared rates whose issuer this router is. Thread-safe: each call holds one
 * lock for a short time.
 *
 * <p>A permit is one use by whoever asked for it, so that the parts of routers follow their demand
 * and no fraction of a use is rounded up at each of them.
 */
final class PermitIssuer {
    /** Rates remembered; the one asked for longest ago is dropped first. */
    private static final int MAX_RATES = 16_384;

    /** Asks for one permit that are enough to have each of them used. */
    private static final double REQUESTS_PER_PERMIT = 4;

    /** Tokens that there must be for an ask while more urgent ones wait: one is left to those. */
    private static final double TOKENS_TO_LEAVE_ONE = 2;

    /** Longest time after which a router may ask again, in ms: its callers may be the only ones. */
    private static final long MAX_RETRY_AFTER_MS = 2_000;

    /** How long a router that asked counts as one that has callers for the rate, in ms. */
    private static final long REQUESTER_EXPIRY_MS = MAX_RETRY_AFTER_MS + 1_000;

    private static final double MS_PER_SECOND = 1_000;

    private final Map<PermitKey, RateState> rates =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<PermitKey, RateState> eldest) {
                    return size() > MAX_RATES;
                }
            };

    /** One rate and the routers that ask for it, by when they last did. */
    private static final class RateState {
        private final TokenBucket bucket;
        private final Map<RouterId, Long> requesters = new LinkedHashMap<>(16, 0.75f, true);

        /** By urgency, until when an ask that was denied is waited for. */
        private final NavigableMap<Integer, Long> waitingUntilMs = new TreeMap<>();

        private long lastRequestMs;

        RateState(SharedRate rate, long sinceMs) {
            bucket = new TokenBucket(rate, sinceMs);
            lastRequestMs = sinceMs;
        }

        /** Another router may have issued the permits before {@code sinceMs}. */
        void discardTokensBefore(long sinceMs) {
            if (lastRequestMs < sinceMs) {
                bucket.emptyAt(sinceMs);
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

        /** Returns the tokens that there must be for an ask. */
        double requiredTokens(int urgency, SharedRate rate, long nowMs) {
            boolean hasMoreUrgentWaiting =
                    waitingUntilMs.headMap(urgency).values().stream().anyMatch(t -> t > nowMs);
            return hasMoreUrgentWaiting ? Math.min(TOKENS_TO_LEAVE_ONE, rate.burst()) : 1;
        }

        /** Returns the pause at which all askers together ask often enough, in ms. */
        long requestIntervalMs(SharedRate rate) {
            return (long)
                    (requesters.size() * MS_PER_SECOND / (REQUESTS_PER_PERMIT * rate.perSecond()));
        }
    }

    /**
     * Decides on one use.
     *
     * @param urgency 0 for the first to be served
     * @param rate what this router may grant of the shared rate
     * @param sinceMs when another router may have become or ceased to be the issuer at the latest:
     *     what that one has granted is not granted again
     */
    synchronized PermitDecision request(
            RouterId requester,
            PermitKey key,
            int urgency,
            SharedRate rate,
            long sinceMs,
            long nowMs) {
        RateState state = updatedState(key, rate, sinceMs, nowMs);
        state.recordRequest(requester, nowMs);
        double requiredTokens = state.requiredTokens(urgency, rate, nowMs);
        if (state.bucket.tryTake(requiredTokens, nowMs)) {
            return PermitDecision.ofGrant();
        }
        long nextMs =
                Math.max(state.bucket.waitMs(requiredTokens, nowMs), state.requestIntervalMs(rate));
        long retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, nextMs);
        state.waitingUntilMs.put(urgency, nowMs + 2 * retryAfterMs);
        return PermitDecision.denied(retryAfterMs);
    }

    /** Counts a use that nobody asked for. */
    synchronized void recordUsage(PermitKey key, SharedRate rate, long sinceMs, long nowMs) {
        updatedState(key, rate, sinceMs, nowMs).bucket.forceTake(nowMs);
    }

    private RateState updatedState(PermitKey key, SharedRate rate, long sinceMs, long nowMs) {
        checkNotNull(rate, "rate");
        RateState state = rates.computeIfAbsent(key, k -> new RateState(rate, sinceMs));
        state.discardTokensBefore(sinceMs);
        state.bucket.setRate(rate, nowMs);
        return state;
    }
}
