package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.BackendServer;

/** How long the server of one send has been silent, and may be; owned by the traffic thread. */
public final class SilenceTimer {
    /** Time between two looks at a server that has not begun, in ms: a third of a pause at most. */
    static final long CHECK_INTERVAL_MS = 250;

    /** Age that an engine's report may have, in ms: a request sent since may be missing in it. */
    static final long MAX_REPORT_AGE_MS = 600;

    private final BackendServer server;
    private final boolean fromCopy;
    private final long gapGoalMs;
    private final LoadTracker loads;
    private final SilenceTimeouts timeouts;
    private final long sentMs;
    private final long prefillTokens;
    private boolean hasStarted;
    private long lastActivityMs;
    private long timeoutMs;

    private SilenceTimer(
            Step.Send send,
            RequestParameters request,
            LoadTracker loads,
            SilenceTimeouts timeouts,
            long nowMs) {
        server = send.server();
        fromCopy = send.fromCopy();
        gapGoalMs = request.route().gapGoalMs();
        this.loads = checkNotNull(loads, "loads");
        this.timeouts = checkNotNull(timeouts, "timeouts");
        sentMs = nowMs;
        lastActivityMs = nowMs;
        prefillTokens = loads.totalLoad(server.incarnation()).prefillTokens();
        timeoutMs =
                fromCopy
                        ? nextEventTimeoutMs()
                        : timeouts.firstEventTimeoutMs(prefillTokens, request.route().goalMs());
    }

    /** Returns the silence of a send that leaves now and is on the board already. */
    public static SilenceTimer of(
            Step.Send send,
            RequestParameters request,
            LoadTracker loads,
            SilenceTimeouts timeouts,
            long nowMs) {
        return new SilenceTimer(send, request, loads, timeouts, nowMs);
    }

    /** An event came; returns whether it was the first one. */
    public boolean recordEvent(long nowMs) {
        boolean isFirst = !hasStarted;
        hasStarted = true;
        if (isFirst && !fromCopy) {
            timeouts.recordPrefill(prefillTokens, nowMs - sentMs);
        }
        lastActivityMs = nowMs;
        timeoutMs = nextEventTimeoutMs();
        return isFirst;
    }

    /**
     * Takes an engine's word on a request that it has not begun in time.
     *
     * @return whether it may still have the request, and gets the same time again
     */
    public boolean recordReport(EngineReport report, String requestId, long nowMs) {
        lastActivityMs = nowMs;
        return nowMs - sentMs < MAX_REPORT_AGE_MS || report.mayHaveRequest(requestId);
    }

    /** The server can't be asked now, and gets the same time again. */
    public void restart(long nowMs) {
        lastActivityMs = nowMs;
    }

    /** Returns when the server has been silent for too long. */
    public long deadlineMs() {
        return lastActivityMs + timeoutMs;
    }

    /** Returns when to look again. */
    public long nextCheckMs(long nowMs) {
        return isLossCertain() ? deadlineMs() : Math.min(deadlineMs(), nowMs + CHECK_INTERVAL_MS);
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
        return hasStarted || fromCopy;
    }

    public BackendServer server() {
        return server;
    }

    public long sentMs() {
        return sentMs;
    }

    public long silentMs(long nowMs) {
        return nowMs - lastActivityMs;
    }

    private long nextEventTimeoutMs() {
        return timeouts.nextEventTimeoutMs(
                gapGoalMs, loads.totalLoad(server.incarnation()).prefills());
    }
}
