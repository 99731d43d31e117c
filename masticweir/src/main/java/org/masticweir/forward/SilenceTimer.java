package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
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

    /**
     * Time between two checks whether a request can leave its silent server, in ms: short compared
     * with the pauses that callers notice.
     */
    static final long KEPT_CHECK_INTERVAL_MS = 50;

    /** Number of consecutive reports after which a request that they lack is missing. */
    private static final int MISSING_REPORTS = 2;

    private final BackendServer server;
    private final boolean resumesFromCopy;
    private final long gapGoalMs;
    private final LoadTracker loads;
    private final SilenceTimeouts timeouts;
    private final long sentMs;
    private final long prefillTokens;
    private boolean hasFirstEvent;

    /** Time of the next check of a silent server whose send is kept; empty if it isn't kept. */
    private OptionalLong nextKeptCheckMs = OptionalLong.empty();

    /** Consecutive reports of an engine that lack a request whose events it has sent before. */
    private int missingCount;

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
        recordActivity(nowMs);
        timeoutMs = nextEventTimeoutMs();
        return isFirst;
    }

    private void recordActivity(long nowMs) {
        lastActivityMs = nowMs;
        nextKeptCheckMs = OptionalLong.empty();
        missingCount = 0;
    }

    /**
     * Handles an engine's report about a silent request. Before the first event, the report is a
     * sign of life that restarts the timer.
     *
     * @return whether the engine may still have the request. A request that has sent events is
     *     missing only if several reports lack it, because its last events may be under way.
     */
    public boolean recordReport(EngineReport report, String requestId, long nowMs) {
        boolean mayHaveRequest =
                nowMs - sentMs < MAX_REPORT_AGE_MS || report.mayHaveRequest(requestId);
        if (isEventDue()) {
            missingCount = mayHaveRequest ? 0 : missingCount + 1;
            return missingCount < MISSING_REPORTS;
        }
        recordActivity(nowMs);
        return mayHaveRequest;
    }

    /** Keeps the send of a silent server, because the request can't be sent elsewhere now. */
    public void keep(long nowMs) {
        nextKeptCheckMs = OptionalLong.of(nowMs + KEPT_CHECK_INTERVAL_MS);
    }

    /** Returns whether the server is silent and its send is kept. */
    public boolean isKept() {
        return nextKeptCheckMs.isPresent();
    }

    /** Restarts the timer, because the engine can't be probed now. */
    public void restart(long nowMs) {
        recordActivity(nowMs);
    }

    /** Returns the time at which the timeout is reached. */
    public long deadlineMs() {
        return lastActivityMs + timeoutMs;
    }

    /** Returns the time of the next check. */
    public long nextCheckMs(long nowMs) {
        if (isKept()) {
            return nextKeptCheckMs.getAsLong();
        }
        return isEventDue() ? deadlineMs() : Math.min(deadlineMs(), nowMs + CHECK_INTERVAL_MS);
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
        if (isKept()) {
            return nowMs >= nextKeptCheckMs.getAsLong();
        }
        return nowMs >= deadlineMs() || (!isEventDue() && health.isDown(server, nowMs));
    }

    /**
     * Returns whether the server should send an event within the timeout. Before the first event,
     * the server may still run the prefill. A run that resumes from a copy needs almost no prefill.
     */
    public boolean isEventDue() {
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
