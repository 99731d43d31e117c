package org.masticweir.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.LinkedHashMap;
import java.util.Map;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * Holds second and later sends of new work to a share of the first sends.
 *
 * <p>Failure guarded against: engines refuse in overload, every refusal is sent again, and the
 * sends that make up the overload multiply. Over a sliding window, retries of a class and team stay
 * within a share of its first sends or a small floor, and so do those of the whole router, so many
 * small teams can't add up their floors. A recovery that goes on with tokens is not a retry and
 * isn't counted here. One of a request that had no token yet costs engines what a retry costs: it
 * is counted, and leaves less for retries, but never refused, as the request was accepted and its
 * engine's death is no reason to give it up.
 *
 * <p>The router's own floor matters when hardly anything is sent: above {@code floor / share} first
 * sends in a window, all sends are at most {@code 1 + share} times the first ones.
 *
 * <p>Thread-safe: each call holds one lock for a short time.
 */
public final class RetryBudget {
    private static final double DEFAULT_SHARE = 0.1;
    private static final int DEFAULT_FLOOR = 3;

    /** A share above the sends that a request may have bounds nothing; a trial may ask for it. */
    private static final double MAX_SHARE = 10;

    /** Pairs of class and team remembered; the one used longest ago is dropped first. */
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

    /** Returns a budget of one retry for ten first sends, and three in a window in any case. */
    public static RetryBudget create() {
        return new RetryBudget(DEFAULT_SHARE, DEFAULT_FLOOR);
    }

    /**
     * Returns a budget with limits of the caller's.
     *
     * @param floor retries in a window allowed to each pair, and to the router, in any case
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
     * Takes back a retry that was counted at {@code countedMs}, as it never left this process.
     *
     * <p>Failure guarded against: a domain is cut off, its sends to all others fail to connect, and
     * the budget is spent on them when an engine at home could take the request.
     */
    public synchronized void cancelRetry(
            WorkClassId workClass, TeamId team, long countedMs, long nowMs) {
        routerWindow.removeRetry(countedMs, nowMs);
        window(workClass, team).removeRetry(countedMs, nowMs);
    }

    /** Counts a send in the place of one that its engine lost before the first token. */
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
