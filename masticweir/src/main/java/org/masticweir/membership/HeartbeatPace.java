package org.masticweir.membership;

/**
 * Finds the time between a router's heartbeats that keeps them within a budget of bytes; owned by
 * the control thread.
 *
 * <p>Failure guarded against: with a fixed time a router of a large fleet spends several times its
 * share of bytes on heartbeats. The time follows the number of peers, between {@code heartbeat_ms}
 * and {@code heartbeat_max_ms}.
 *
 * <p>It changes by at most {@link #STEP} at once, and only after it was kept for its own length.
 * Each heartbeat announces it, but an answer and an ask travel on two connections, so the older of
 * two may arrive last: the next heartbeat then comes {@code 5/4 * STEP} of the announced time
 * later, which is under the two that {@link MembershipSettings#suspectMs(long)} allows.
 */
final class HeartbeatPace {
    static final double STEP = 1.5;

    /** TCP and IP headers of a segment and of its acknowledgement, the frame, fixed fields. */
    private static final int FIXED_BYTES = 2 * 52 + 11 + 60;

    /** How often the sender's id stands in a message: once, and in a rumour now and then. */
    private static final double ROUTER_IDS = 1.25;

    /** How often a domain's name stands in it: sender, revision of a domain, a rumour. */
    private static final double DOMAIN_IDS = 2.25;

    private static final int MESSAGES_PER_EXCHANGE = 2;
    private static final double MS_PER_S = 1000;

    private final MembershipSettings settings;
    private final double exchangeBytes;
    private long intervalMs;
    private long changedMs = DomainView.NEVER;

    HeartbeatPace(RouterAddress self, MembershipSettings settings) {
        this.settings = settings;
        intervalMs = settings.heartbeatMs();
        double ids =
                ROUTER_IDS * self.router().value().length()
                        + DOMAIN_IDS * self.domain().value().length();
        exchangeBytes = MESSAGES_PER_EXCHANGE * (FIXED_BYTES + ids);
    }

    /** Returns the time between two heartbeats to a member of the own domain. */
    long intervalMs() {
        return intervalMs;
    }

    /**
     * Moves the time towards what the number of peers asks for.
     *
     * @param near peers in the own domain
     * @param far peers in others, to which it is longer; as many others chose this router
     */
    void adjust(int near, int far, long nowMs) {
        if (changedMs != DomainView.NEVER && nowMs - changedMs < intervalMs) {
            return;
        }
        long next = Math.round(Math.min(intervalMs * STEP, targetMs(near, far)));
        next = Math.max(next, Math.round(intervalMs / STEP));
        if (next != intervalMs) {
            intervalMs = next;
            changedMs = nowMs;
        }
    }

    private double targetMs(int near, int far) {
        double exchanges = near + 2.0 * far / settings.farFactor();
        double ms = exchanges * exchangeBytes * MS_PER_S / settings.heartbeatBytesPerS();
        return Math.max(settings.heartbeatMs(), Math.min(settings.heartbeatMaxMs(), ms));
    }
}
