package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.BackendServer;
import org.masticweir.relay.RelayMetrics.SendEnd;

/** Logs and counts how the sends of one request end without an answer; on the traffic thread. */
final class SendEnds {
    private final RelayContext context;
    private final RequestLog log;
    private final ContentMonitor monitor;

    SendEnds(RelayContext context, RequestLog log, ContentMonitor monitor) {
        this.context = checkNotNull(context, "context");
        this.log = checkNotNull(log, "log");
        this.monitor = checkNotNull(monitor, "monitor");
    }

    /** Records a send that the server did not run. */
    void recordNotRun(BackendServer server, SendEnd end, String what, long sentMs) {
        log.logServerEvent(server, what, sentMs);
        context.metrics().countSendEnd(server, end);
    }

    /** Records a send that the server refused; {@code detail} follows the status in the log. */
    void recordRefusal(BackendServer server, int status, String detail, long sentMs) {
        recordNotRun(server, SendEnd.REFUSED, "refused with " + status + detail, sentMs);
    }

    /** Records a send that might have run and was abandoned by this router. */
    void recordAbandoned(BackendServer server, SendEnd end, String what, long sentMs) {
        log.logLoss(server, what, sentMs, monitor.eventCount(), monitor.content());
        context.metrics().countSendEnd(server, end);
    }

    /** Records a send that is kept although its server is silent; the server is checked. */
    void recordKept(BackendServer server, String reason, long sentMs) {
        log.logServerEvent(server, "is kept, " + reason + ",", sentMs);
        monitor.recordLoss(server, sentMs, false, context.clock().nowMs());
        context.serverVerifier().verify(server, false);
    }

    /** Records a send that the server lost, and checks whether the server has failed. */
    void recordLost(BackendServer server, SendEnd end, String what, long sentMs) {
        recordAbandoned(server, end, what, sentMs);
        boolean isConnectionBroken = end == SendEnd.BROKE_OFF;
        monitor.recordLoss(server, sentMs, isConnectionBroken, context.clock().nowMs());
        context.serverVerifier().verify(server, isConnectionBroken);
    }
}
