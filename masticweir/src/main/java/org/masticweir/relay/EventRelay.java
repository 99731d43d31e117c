package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.http.HttpHead;

/**
 * Forwards each event of one stream to the caller exactly once, even if several servers send the
 * event; runs on the traffic thread.
 */
final class EventRelay {
    private final RelayContext context;
    private final RequestParameters params;
    private final RequestStateMachine machine;
    private final CallerAnswerWriter writer;
    private final RelayMetrics.RequestMetrics metrics;
    private final RequestLog log;

    private long firstEventMs;
    private long lastEventMs;
    private boolean isResuming;

    EventRelay(
            RelayContext context,
            RequestParameters params,
            RequestStateMachine machine,
            CallerAnswerWriter writer,
            RelayMetrics.RequestMetrics metrics,
            RequestLog log) {
        this.context = checkNotNull(context, "context");
        this.params = checkNotNull(params, "params");
        this.machine = checkNotNull(machine, "machine");
        this.writer = checkNotNull(writer, "writer");
        this.metrics = checkNotNull(metrics, "metrics");
        this.log = checkNotNull(log, "log");
    }

    /** Records the loss of the current server; the next event comes from another send. */
    void handleServerLoss() {
        isResuming = writer.isStreaming();
    }

    /** Forwards an event of {@code server}, unless the caller has already received the event. */
    void forward(
            BackendServer server, HttpHead head, ByteBuffer bytes, OptionalLong id, long nowMs) {
        if (hasCallerReceived(id)) {
            return;
        }
        if (!writer.isStreaming()) {
            firstEventMs = nowMs;
            metrics.recordFirstEvent(nowMs - params.receivedMs());
            startEventStream(head);
        } else if (isResuming) {
            isResuming = false;
            context.metrics().recordResume(server, nowMs - lastEventMs);
            log.logResume(server, nowMs - lastEventMs);
        }
        lastEventMs = nowMs;
        id.ifPresent(machine::onEvent);
        writer.addEvent(bytes);
    }

    /** Handles the end of a server's events; the caller of this method must then end the answer. */
    void handleEnd(HttpHead head, long nowMs) {
        if (writer.isStreaming()) {
            context.streamDurations()
                    .recordStream(
                            params.size(),
                            firstEventMs - params.receivedMs(),
                            nowMs - firstEventMs);
        } else {
            // If the caller already has all events, the answer consists of headers only.
            startEventStream(head);
        }
    }

    private boolean hasCallerReceived(OptionalLong id) {
        return id.isPresent()
                && machine.lastEventId().isPresent()
                && id.getAsLong() <= machine.lastEventId().getAsLong();
    }

    private void startEventStream(HttpHead head) {
        writer.startEventStream(
                new HttpHead(head.status(), context.protocol().headersToCaller(head.headers())));
    }
}
