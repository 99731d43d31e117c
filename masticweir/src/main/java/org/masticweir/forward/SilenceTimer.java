package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.BackendServer;

/** How long the server of one send has been silent, and may be; owned by the traffic thread. */
public final class SilenceTimer {
    /** Time between two looks at a server that has not begun, in ms: a third of a pause at most. */
    static final long LOOK_MS = 250;

    /** Age that an engine's report may have, in ms: a request sent since may be missing in it. */
    static final long REPORT_AGE_MS = 600;

    private final BackendServer server;
    private final boolean fromCopy;
    private final long gapGoalMs;
    private final LoadTracker loads;
    private final SilenceTimeouts bounds;
    private final long sentMs;
    private final long tokensAhead;
    private boolean begun;
    private long lastMs;
    private long allowedMs;

    private SilenceTimer(
            Step.Send send,
            RequestParameters plan,
            LoadTracker loads,
            SilenceTimeouts bounds,
            long nowMs) {
        server = send.server();
        fromCopy = send.fromCopy();
        gapGoalMs = plan.route().gapGoalMs();
        this.loads = checkNotNull(loads, "loads");
        this.bounds = checkNotNull(bounds, "bounds");
        sentMs = nowMs;
        lastMs = nowMs;
        tokensAhead = loads.totalLoad(server.incarnation()).prefillTokens();
        allowedMs =
                fromCopy ? nextEventMs() : bounds.firstEventMs(tokensAhead, plan.route().goalMs());
    }

    /** Returns the silence of a send that leaves now and is on the board already. */
    public static SilenceTimer of(
            Step.Send send,
            RequestParameters plan,
            LoadTracker loads,
            SilenceTimeouts bounds,
            long nowMs) {
        return new SilenceTimer(send, plan, loads, bounds, nowMs);
    }

    /** An event came; returns whether it was the first one. */
    public boolean recordEvent(long nowMs) {
        boolean first = !begun;
        begun = true;
        if (first && !fromCopy) {
            bounds.observeRead(tokensAhead, nowMs - sentMs);
        }
        lastMs = nowMs;
        allowedMs = nextEventMs();
        return first;
    }

    /**
     * Takes an engine's word on a request that it has not begun in time.
     *
     * @return whether it may still have the request, and gets the same time again
     */
    public boolean recordReport(EngineReport report, String request, long nowMs) {
        lastMs = nowMs;
        return nowMs - sentMs < REPORT_AGE_MS || report.mayHold(request);
    }

    /** The server can't be asked now, and gets the same time again. */
    public void restart(long nowMs) {
        lastMs = nowMs;
    }

    /** Returns when the server has been silent for too long. */
    public long deadlineMs() {
        return lastMs + allowedMs;
    }

    /** Returns when to look again. */
    public long nextCheckMs(long nowMs) {
        return isLossCertain() ? deadlineMs() : Math.min(deadlineMs(), nowMs + LOOK_MS);
    }

    /**
     * Returns whether the silence calls for a step now.
     *
     * <p>Failure guarded against: a domain goes dark while an engine of it reads a prompt. Its
     * streams show the loss within half a pause, while the reading one would be waited for for
     * seconds. It is asked as soon as its server is passed over for new requests.
     */
    public boolean needsAction(ServerHealth health, long nowMs) {
        return nowMs >= deadlineMs() || (!isLossCertain() && health.isDown(server, nowMs));
    }

    /**
     * Returns whether too long a silence shows that the server is lost. Before its first event it
     * may only be reading; a copy leaves next to nothing to read.
     */
    public boolean isLossCertain() {
        return begun || fromCopy;
    }

    public BackendServer server() {
        return server;
    }

    public long sentMs() {
        return sentMs;
    }

    public long silentMs(long nowMs) {
        return nowMs - lastMs;
    }

    private long nextEventMs() {
        return bounds.nextEventMs(gapGoalMs, loads.totalLoad(server.incarnation()).prefills());
    }
}
