package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.BackendServer;

/** How long the server of one send has been silent, and may be; owned by the traffic thread. */
public final class SendSilence {
    private final BackendServer server;
    private final boolean fromCopy;
    private final long gapGoalMs;
    private final LoadBoard loads;
    private final SilenceBounds bounds;
    private final long sentMs;
    private final long tokensAhead;
    private boolean begun;
    private long lastMs;
    private long allowedMs;

    private SendSilence(
            Step.Send send, RequestPlan plan, LoadBoard loads, SilenceBounds bounds, long nowMs) {
        server = send.server();
        fromCopy = send.fromCopy();
        gapGoalMs = plan.route().gapGoalMs();
        this.loads = checkNotNull(loads, "loads");
        this.bounds = checkNotNull(bounds, "bounds");
        sentMs = nowMs;
        lastMs = nowMs;
        tokensAhead = loads.use(server.id()).readingTokens();
        allowedMs =
                fromCopy ? nextEventMs() : bounds.firstEventMs(tokensAhead, plan.route().goalMs());
    }

    /** Returns the silence of a send that leaves now and is on the board already. */
    public static SendSilence of(
            Step.Send send, RequestPlan plan, LoadBoard loads, SilenceBounds bounds, long nowMs) {
        return new SendSilence(send, plan, loads, bounds, nowMs);
    }

    /** An event came; returns whether it was the first one. */
    public boolean heard(long nowMs) {
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
    public boolean reported(EngineReport report, String request, long nowMs) {
        lastMs = nowMs;
        return report.mayHold(request);
    }

    /** Returns when the server has been silent for too long. */
    public long dueMs() {
        return lastMs + allowedMs;
    }

    /**
     * Returns whether too long a silence shows that the server is lost. Before its first event it
     * may only be reading; a copy leaves next to nothing to read.
     */
    public boolean provesLoss() {
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
        return bounds.nextEventMs(gapGoalMs, loads.use(server.id()).reading());
    }
}
