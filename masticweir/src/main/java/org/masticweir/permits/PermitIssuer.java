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
    private static final int MOST_RATES = 16_384;

    /** Asks for one permit that are enough to have each of them used. */
    private static final double ASKS_A_PERMIT = 4;

    /** Tokens that there must be for an ask while more urgent ones wait: one is left to those. */
    private static final double LEAVES_ONE = 2;

    /** Longest time after which a router may ask again, in ms: its callers may be the only ones. */
    private static final long MOST_AGAIN_MS = 2_000;

    /** How long a router that asked counts as one that has callers for the rate, in ms. */
    private static final long ASKER_MS = MOST_AGAIN_MS + 1_000;

    private static final double MS_A_SECOND = 1_000;

    private final Map<PermitKey, Rate> rates =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<PermitKey, Rate> eldest) {
                    return size() > MOST_RATES;
                }
            };

    /** One rate and the routers that ask for it, by when they last did. */
    private static final class Rate {
        private final TokenBucket bucket;
        private final Map<RouterId, Long> askers = new LinkedHashMap<>(16, 0.75f, true);

        /** By urgency, until when an ask that was denied is waited for. */
        private final NavigableMap<Integer, Long> waitingMs = new TreeMap<>();

        private long askedMs;

        Rate(SharedRate rate, long sinceMs) {
            bucket = new TokenBucket(rate, sinceMs);
            askedMs = sinceMs;
        }

        /** Another router may have issued the permits before {@code sinceMs}. */
        void issuedSince(long sinceMs) {
            if (askedMs < sinceMs) {
                bucket.emptyAt(sinceMs);
            }
        }

        void asked(RouterId asker, long nowMs) {
            askedMs = nowMs;
            askers.put(asker, nowMs);
            Iterator<Long> oldest = askers.values().iterator();
            while (nowMs - oldest.next() > ASKER_MS) {
                oldest.remove();
            }
        }

        /** Returns the tokens that there must be for an ask. */
        double least(int urgency, SharedRate rate, long nowMs) {
            boolean moreUrgentWait =
                    waitingMs.headMap(urgency).values().stream().anyMatch(t -> t > nowMs);
            return moreUrgentWait ? Math.min(LEAVES_ONE, rate.burst()) : 1;
        }

        /** Returns the pause at which all askers together ask often enough, in ms. */
        long pauseMs(SharedRate rate) {
            return (long) (askers.size() * MS_A_SECOND / (ASKS_A_PERMIT * rate.perSecond()));
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
    synchronized PermitDecision ask(
            RouterId asker, PermitKey key, int urgency, SharedRate rate, long sinceMs, long nowMs) {
        Rate asked = rate(key, rate, sinceMs, nowMs);
        asked.asked(asker, nowMs);
        double least = asked.least(urgency, rate, nowMs);
        if (asked.bucket.tryTake(least, nowMs)) {
            return PermitDecision.ofGrant();
        }
        long nextMs = Math.max(asked.bucket.nextMs(least, nowMs), asked.pauseMs(rate));
        long againMs = Math.min(MOST_AGAIN_MS, nextMs);
        asked.waitingMs.put(urgency, nowMs + 2 * againMs);
        return PermitDecision.denied(againMs);
    }

    /** Counts a use that nobody asked for. */
    synchronized void used(PermitKey key, SharedRate rate, long sinceMs, long nowMs) {
        rate(key, rate, sinceMs, nowMs).bucket.takeAnyway(nowMs);
    }

    private Rate rate(PermitKey key, SharedRate rate, long sinceMs, long nowMs) {
        checkNotNull(rate, "rate");
        Rate known = rates.computeIfAbsent(key, k -> new Rate(rate, sinceMs));
        known.issuedSince(sinceMs);
        known.bucket.changeTo(rate, nowMs);
        return known;
    }
}
