package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.http.HttpHead;

/**
 * Passes the events of one stream on to its caller, each once, whichever server they come from; on
 * the traffic thread.
 */
final class EventRelay {
    private final RelayContext context;
    private final RequestParameters plan;
    private final RequestStateMachine course;
    private final CallerAnswer answer;
    private final RelayMetrics.ForRequest metrics;
    private final RequestLog log;

    private long firstMs;
    private long lastMs;
    private boolean resuming;

    EventRelay(
            RelayContext context,
            RequestParameters plan,
            RequestStateMachine course,
            CallerAnswer answer,
            RelayMetrics.ForRequest metrics,
            RequestLog log) {
        this.context = checkNotNull(context, "context");
        this.plan = checkNotNull(plan, "plan");
        this.course = checkNotNull(course, "course");
        this.answer = checkNotNull(answer, "answer");
        this.metrics = checkNotNull(metrics, "metrics");
        this.log = checkNotNull(log, "log");
    }

    /** The server of the events so far is lost; the next one comes from another. */
    void serverLost() {
        resuming = answer.isStreaming();
    }

    /** Passes on an event of {@code server}, unless the caller has it. */
    void event(BackendServer server, HttpHead head, ByteBuffer bytes, OptionalLong id, long nowMs) {
        if (callerHas(id)) {
            return;
        }
        if (!answer.isStreaming()) {
            firstMs = nowMs;
            metrics.firstEvent(nowMs - plan.receivedMs());
            begin(head);
        } else if (resuming) {
            resuming = false;
            context.metrics().resumed(server, nowMs - lastMs);
            log.goesOn(server, nowMs - lastMs);
        }
        lastMs = nowMs;
        id.ifPresent(course::onEvent);
        answer.event(bytes);
    }

    /** The last event has come; what is left to do is to end the answer. */
    void ended(HttpHead head, long nowMs) {
        if (answer.isStreaming()) {
            context.pace().observe(plan.size(), firstMs - plan.receivedMs(), nowMs - firstMs);
        } else {
            // A caller that has all events gets none, and the end.
            begin(head);
        }
    }

    private boolean callerHas(OptionalLong id) {
        return id.isPresent()
                && course.lastEventId().isPresent()
                && id.getAsLong() <= course.lastEventId().getAsLong();
    }

    private void begin(HttpHead head) {
        answer.startEvents(
                new HttpHead(head.status(), context.dialect().headersToCaller(head.headers())));
    }
}
