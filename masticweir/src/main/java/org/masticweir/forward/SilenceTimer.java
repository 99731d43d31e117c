package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.BackendServer;

/** Measures the time since the last activity of one send's server; owned by the traffic thread. */
public final class SilenceTimer {
    /**
     * Time between two checks of a server that has not sent its first event, in ms: at most a third
     * of the longest pause within the goal.
     */
    static final long CHECK_INTERVAL_MS = 250;

    /**
     * Maximum age of an engine's report, in ms. A report may lack requests that were sent within
     * this time.
     */
    static final long MAX_REPORT_AGE_MS = 600;

    private final BackendServer server;
    private final boolean resumesFromCopy;
    private final long gapGoalMs;
    private final LoadTracker loads;
    private final SilenceTimeouts timeouts;
    private final long sentMs;
    private final long prefillTokens;
    private boolean hasFirstEvent;
    private long lastActivityMs;
    private long timeoutMs;

    private SilenceTimer(
            Step.Send send,
            RequestParameters request,
            LoadTracker loads,
            SilenceTimeouts timeouts,
            long nowMs) {
        server = send.server();
        resumesFromCopy = send.fromCopy();
        gapGoalMs = request.route().gapGoalMs();
        this.loads = checkNotNull(loads, "loads");
        this.timeouts = checkNotNull(timeouts, "timeouts");
        sentMs = nowMs;
        lastActivityMs = nowMs;
        prefillTokens = loads.totalLoad(server.incarnation()).prefillTokens();
        timeoutMs =
                resumesFromCopy
                        ? nextEventTimeoutMs()
                        : timeouts.firstEventTimeoutMs(prefillTokens, request.route().goalMs());
    }

    /** Returns the timer of a send that starts now and is already counted in {@code loads}. */
    public static SilenceTimer of(
            Step.Send send,
            RequestParameters request,
            LoadTracker loads,
            SilenceTimeouts timeouts,
            long nowMs) {
        return new SilenceTimer(send, request, loads, timeouts, nowMs);
    }

    /** Records an event and returns whether it was the first one. */
    public boolean recordEvent(long nowMs) {
        boolean isFirst = !hasFirstEvent;
        hasFirstEvent = true;
        if (isFirst && !resumesFromCopy) {
            timeouts.recordPrefill(prefillTokens, nowMs - sentMs);
        }
        lastActivityMs = nowMs;
        timeoutMs = nextEventTimeoutMs();
        return isFirst;
    }

    /**
     * Handles an engine's report about a request that has not started in time.
     *
     * @return whether the engine may still have the request, so that the restarted timer applies
     */
    public boolean recordReport(EngineReport report, String requestId, long nowMs) {
        lastActivityMs = nowMs;
        return nowMs - sentMs < MAX_REPORT_AGE_MS || report.mayHaveRequest(requestId);
    }

    /** Restarts the timer, because the engine can't be probed now. */
    public void restart(long nowMs) {
        lastActivityMs = nowMs;
    }

    /** Returns the time at which the timeout is reached. */
    public long deadlineMs() {
        return lastActivityMs + timeoutMs;
    }

    /** Returns the time of the next check. */
    public long nextCheckMs(long nowMs) {
        return isLossCertain() ? deadlineMs() : Math.min(deadlineMs(), nowMs + CHECK_INTERVAL_MS);
    }

    /**
     * Returns whether the server must be probed or replaced now.
     *
     * <p>Covers a domain that stops responding while one of its engines is in a prefill. Timeouts
     * of other streams reveal the loss within half of the longest pause, while the timeout of the
     * prefill takes seconds. The engine is therefore probed as soon as it is excluded from new
     * requests.
     */
    public boolean needsAction(ServerHealth health, long nowMs) {
        return nowMs >= deadlineMs() || (!isLossCertain() && health.isDown(server, nowMs));
    }

    /**
     * Returns whether a timeout means that the server is lost. Before the first event, the server
     * may still run the prefill. A run that resumes from a copy needs almost no prefill.
     */
    public boolean isLossCertain() {
        return hasFirstEvent || resumesFromCopy;
    }

    public BackendServer server() {
        return server;
    }

    public long sentMs() {
        return sentMs;
    }

    public long silenceMs(long nowMs) {
        return nowMs - lastActivityMs;
    }

    private long nextEventTimeoutMs() {
        return timeouts.nextEventTimeoutMs(
                gapGoalMs, loads.totalLoad(server.incarnation()).prefills());
    }
}
