package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/** Logs and counts how the answer of one request was cut; runs on the traffic thread. */
final class CutRecorder {
    private final RelayContext context;
    private final RequestLog log;
    private final CallerAnswerWriter writer;
    private OptionalLong lastServerBytesMs = OptionalLong.empty();

    CutRecorder(RelayContext context, RequestLog log, CallerAnswerWriter writer) {
        this.context = checkNotNull(context, "context");
        this.log = checkNotNull(log, "log");
        this.writer = checkNotNull(writer, "writer");
    }

    /** Records that a server sent something. */
    void recordServerBytes(long nowMs) {
        lastServerBytesMs = OptionalLong.of(nowMs);
    }

    /**
     * Records that the caller's connection ends before its answer is complete.
     *
     * @param stage progress of the request, and the reason in words
     * @param delayMs how late the task runs that ends the connection
     */
    void recordCut(CutReason reason, String stage, OptionalLong delayMs) {
        log.logCut(reason, stage, writer.progress(), lastServerBytesMs, delayMs);
        context.metrics().countCut(reason);
    }
}
