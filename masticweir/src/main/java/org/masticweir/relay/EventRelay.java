package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.http.HttpHead;

/**
 * Forwards the events of one stream to its caller, each exactly once, whichever server sends them;
 * runs on the traffic thread.
 */
final class EventRelay {
    private final RelayContext context;
    private final RequestParameters plan;
    private final RequestStateMachine machine;
    private final CallerAnswerWriter answer;
    private final RelayMetrics.RequestMetrics metrics;
    private final RequestLog log;

    private long firstMs;
    private long lastMs;
    private boolean isResuming;

    EventRelay(
            RelayContext context,
            RequestParameters plan,
            RequestStateMachine machine,
            CallerAnswerWriter answer,
            RelayMetrics.RequestMetrics metrics,
            RequestLog log) {
        this.context = checkNotNull(context, "context");
        this.plan = checkNotNull(plan, "plan");
        this.machine = checkNotNull(machine, "machine");
        this.answer = checkNotNull(answer, "answer");
        this.metrics = checkNotNull(metrics, "metrics");
        this.log = checkNotNull(log, "log");
    }

    /**
     * Records that the server of the events so far was lost; the next event comes from another
     * server.
     */
    void handleServerLoss() {
        isResuming = answer.isStreaming();
    }

    /** Forwards an event of {@code server}, unless the caller already has it. */
    void forward(
            BackendServer server, HttpHead head, ByteBuffer bytes, OptionalLong id, long nowMs) {
        if (callerHas(id)) {
            return;
        }
        if (!answer.isStreaming()) {
            firstMs = nowMs;
            metrics.recordFirstEvent(nowMs - plan.receivedMs());
            startEventStream(head);
        } else if (isResuming) {
            isResuming = false;
            context.metrics().recordResume(server, nowMs - lastMs);
            log.logResume(server, nowMs - lastMs);
        }
        lastMs = nowMs;
        id.ifPresent(machine::onEvent);
        answer.sendEvent(bytes);
    }

    /**
     * Handles the end of the events of a server; the caller of this method then ends the answer.
     */
    void handleEnd(HttpHead head, long nowMs) {
        if (answer.isStreaming()) {
            context.durations()
                    .recordStream(plan.size(), firstMs - plan.receivedMs(), nowMs - firstMs);
        } else {
            // If the caller already has all events, the answer has a head and an end only.
            startEventStream(head);
        }
    }

    private boolean callerHas(OptionalLong id) {
        return id.isPresent()
                && machine.lastEventId().isPresent()
                && id.getAsLong() <= machine.lastEventId().getAsLong();
    }

    private void startEventStream(HttpHead head) {
        answer.startEventStream(
                new HttpHead(head.status(), context.protocol().headersToCaller(head.headers())));
    }
}
