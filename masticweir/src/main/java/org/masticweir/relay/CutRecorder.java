package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/** Logs and counts how the answer of one request was cut; runs on the traffic thread. */
final class CutRecorder {
    private final RelayContext context;
    private final RequestLog log;
    private final CallerAnswerWriter writer;
    private final RequestTimer timer;
    private final RequestTimer deadlineTimer;
    private OptionalLong lastServerBytesMs = OptionalLong.empty();

    CutRecorder(
            RelayContext context,
            RequestLog log,
            CallerAnswerWriter writer,
            RequestTimer timer,
            RequestTimer deadlineTimer) {
        this.context = checkNotNull(context, "context");
        this.log = checkNotNull(log, "log");
        this.writer = checkNotNull(writer, "writer");
        this.timer = checkNotNull(timer, "timer");
        this.deadlineTimer = checkNotNull(deadlineTimer, "deadlineTimer");
    }

    /** Records that a server sent something. */
    void recordServerBytes(long nowMs) {
        lastServerBytesMs = OptionalLong.of(nowMs);
    }

    /**
     * Records that the caller's connection ends before its answer is complete.
     *
     * @param stage progress of the request, and the reason in words
     */
    void recordCut(CutReason reason, String stage) {
        OptionalLong delayMs =
                timer.delayMs().isPresent() ? timer.delayMs() : deadlineTimer.delayMs();
        log.logCut(reason, stage, writer.progress(), lastServerBytesMs, delayMs);
        context.metrics().countCut(reason);
    }
}
