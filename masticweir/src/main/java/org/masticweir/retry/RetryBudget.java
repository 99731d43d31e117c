package org.masticweir.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.LinkedHashMap;
import java.util.Map;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * Limits retries to a share of the first sends of requests.
 *
 * <p>If engines refuse requests in overload and every refusal is retried, the sends that cause the
 * overload multiply. Over a sliding window, the retries of each pair of class and team stay within
 * a share of the pair's first sends or within a small floor. The same limit applies to the whole
 * router, so the floors of many small teams don't add up. A recovery of a request that has received
 * a token is not a retry and is not counted here. A recovery of a request without a token costs
 * engines as much as a retry, so it is counted and reduces the remaining retries. The budget never
 * refuses a recovery, because the request was accepted before its engine was lost.
 *
 * <p>The router's floor applies only at low load: above {@code floor / share} first sends in a
 * window, the number of all sends is at most {@code 1 + share} times the number of first sends.
 *
 * <p>Thread-safe: each call holds one lock for a short time.
 */
public final class RetryBudget {
    private static final double DEFAULT_SHARE = 0.1;
    private static final int DEFAULT_FLOOR = 3;

    /**
     * Maximum share. A share above the maximum number of sends of a request has no effect, but
     * experiments may set it.
     */
    private static final double MAX_SHARE = 10;

    /**
     * Maximum number of pairs of class and team with a window; the least recently used pair is
     * evicted first.
     */
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

    /**
     * Returns a budget of one retry per ten first sends, with a floor of three retries in a window.
     */
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

    /**
     * Returns true and counts a retry if the budget allows the retry; otherwise changes nothing.
     */
    public synchronized boolean tryRetry(WorkClassId workClass, TeamId team, long nowMs) {
        if (!mayRetry(workClass, team, nowMs)) {
            return false;
        }
        SendWindow ownWindow = window(workClass, team);
        ownWindow.addRetry(nowMs);
        routerWindow.addRetry(nowMs);
        return true;
    }

    /** Returns whether the budget allows a retry; counts nothing. */
    public synchronized boolean mayRetry(WorkClassId workClass, TeamId team, long nowMs) {
        return allows(window(workClass, team), nowMs) && allows(routerWindow, nowMs);
    }

    /**
     * Cancels a retry that was counted at {@code countedMs} and transmitted no data.
     *
     * <p>In a partitioned domain, connects to all other domains fail. Without this, failed connects
     * would exhaust the budget while an engine in the own domain could accept the request.
     */
    public synchronized void cancelRetry(
            WorkClassId workClass, TeamId team, long countedMs, long nowMs) {
        routerWindow.removeRetry(countedMs, nowMs);
        window(workClass, team).removeRetry(countedMs, nowMs);
    }

    /** Counts a recovery send after an engine was lost before the first token. */
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
