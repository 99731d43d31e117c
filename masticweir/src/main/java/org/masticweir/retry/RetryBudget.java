package org.masticweir.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.LinkedHashMap;
import java.util.Map;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * Limits retries of requests to a share of the first sends.
 *
 * <p>If engines refuse requests in overload and every refusal is retried, the sends that cause the
 * overload multiply. Over a sliding window, the retries of a class and team stay within a share of
 * its first sends or a small floor, and so do those of the whole router, so the floors of many
 * small teams don't add up. A recovery that continues after a token is not a retry and is not
 * counted here. A recovery of a request without a token costs engines as much as a retry: it is
 * counted and leaves less for retries, but it is never refused, because the request was accepted
 * and the loss of its engine is no reason to abandon it.
 *
 * <p>The floor of the router matters only when hardly anything is sent: above {@code floor / share}
 * first sends in a window, all sends are at most {@code 1 + share} times the first ones.
 *
 * <p>Thread-safe: each call holds one lock for a short time.
 */
public final class RetryBudget {
    private static final double DEFAULT_SHARE = 0.1;
    private static final int DEFAULT_FLOOR = 3;

    /** Largest share: more than the sends of a request bounds nothing, but a trial may set it. */
    private static final double MAX_SHARE = 10;

    /** Pairs of class and team with a window; the least recently used one is dropped first. */
    private static final int MAX_WINDOWS = 8_192;

    private final double share;
    private final int floor;
    private final SendWindow routerWindow = new SendWindow();
    private final Map<ClassAndTeam, SendWindow> windows =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<ClassAndTeam, SendWindow> eldest) {
                    return size() > MAX_WINDOWS;
                }
            };

    private RetryBudget(double share, int floor) {
        checkArgument(share >= 0 && share <= MAX_SHARE, "retry share %s", share);
        checkArgument(floor >= 0, "retry floor %s", floor);
        this.share = share;
        this.floor = floor;
    }

    /** Returns a budget of one retry per ten first sends, and at least three in a window. */
    public static RetryBudget create() {
        return new RetryBudget(DEFAULT_SHARE, DEFAULT_FLOOR);
    }

    /**
     * Returns a budget with the given limits.
     *
     * @param floor retries allowed in a window for each pair and for the router, regardless of
     *     first sends
     */
    public static RetryBudget create(double share, int floor) {
        return new RetryBudget(share, floor);
    }

    /** Counts the first send of a request. */
    public synchronized void recordFirstSend(WorkClassId workClass, TeamId team, long nowMs) {
        routerWindow.addFirstSend(nowMs);
        window(workClass, team).addFirstSend(nowMs);
    }

    /** Counts a retry and returns true if the budget allows one, else changes nothing. */
    public synchronized boolean tryRetry(WorkClassId workClass, TeamId team, long nowMs) {
        SendWindow ownWindow = window(workClass, team);
        if (!allows(ownWindow, nowMs) || !allows(routerWindow, nowMs)) {
            return false;
        }
        ownWindow.addRetry(nowMs);
        routerWindow.addRetry(nowMs);
        return true;
    }

    /**
     * Cancels a retry that was counted at {@code countedMs} and never left this process.
     *
     * <p>Without this, a domain that is cut off, whose sends to all others fail to connect, would
     * spend the budget on them while an engine in its own domain could accept the request.
     */
    public synchronized void cancelRetry(
            WorkClassId workClass, TeamId team, long countedMs, long nowMs) {
        routerWindow.removeRetry(countedMs, nowMs);
        window(workClass, team).removeRetry(countedMs, nowMs);
    }

    /** Counts a send that replaces one lost by its engine before the first token. */
    public synchronized void recordRecoverySend(WorkClassId workClass, TeamId team, long nowMs) {
        routerWindow.addRetry(nowMs);
        window(workClass, team).addRetry(nowMs);
    }

    private boolean allows(SendWindow window, long nowMs) {
        return window.retries(nowMs) + 1 <= Math.max(floor, share * window.firstSends(nowMs));
    }

    private SendWindow window(WorkClassId workClass, TeamId team) {
        return windows.computeIfAbsent(new ClassAndTeam(workClass, team), p -> new SendWindow());
    }

    private record ClassAndTeam(WorkClassId workClass, TeamId team) {
        ClassAndTeam {
            checkNotNull(workClass, "workClass");
            checkNotNull(team, "team");
        }
    }
}
