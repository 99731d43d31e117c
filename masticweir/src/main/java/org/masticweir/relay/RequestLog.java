package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.ServiceName;
import org.masticweir.forward.EngineReport;
import org.masticweir.forward.ServerLoad;
import org.masticweir.forward.Step;
import org.masticweir.id.RouterId;
import org.masticweir.permits.PermitDecision;
import org.masticweir.quarantine.RequestContent;

/**
 * Logs one line for each decision on a request, with the request's id and the reasons; runs on the
 * traffic thread.
 */
final class RequestLog {
    private static final Logger LOG = LogManager.getLogger(RequestLog.class);

    private final RelayContext context;
    private final String id;
    private final long receivedMs;
    private final long catalogVersion;

    RequestLog(RelayContext context, RelayRequest request) {
        this.context = checkNotNull(context, "context");
        id = request.id();
        receivedMs = request.params().receivedMs();
        catalogVersion = request.catalogVersion();
    }

    /** Logs a send; {@code number} counts the sends of the request from 1. */
    void logSend(Step.Send send, int number) {
        ServerLoad load = context.loads().totalLoad(send.server().incarnation());
        LOG.info(
                "relay: request {} goes to {} in {}, send {} after event {}, {}; {} running and {}"
                        + " reading there, copy at {}, config {}",
                id,
                send.server().id(),
                send.server().domain(),
                number,
                text(send.lastEventId()),
                send.fromCopy() ? "from its copy" : "anew",
                load.running(),
                load.prefills(),
                send.copyHolder().map(h -> h.id().value()).orElse("none"),
                currentCatalogVersion());
    }

    private long currentCatalogVersion() {
        return context.view().get().catalog().map(Catalog::version).orElse(0L);
    }

    /** Logs that the connection of a send goes through another router. */
    void logTunnel(BackendServer server, RouterId carrier, long sentMs) {
        logServerEvent(server, "is reached by way of " + carrier, sentMs);
    }

    /** Logs the result of a prompt cache query. */
    void logPromptSearch(int engineCount, Optional<BackendServer> engine) {
        LOG.info(
                "relay: request {}: its prompt is kept by {}, {} engines asked",
                id,
                engine.map(e -> e.id().value()).orElse("none"),
                engineCount);
    }

    /** Logs an event of the send to {@code server} that started at {@code sentMs}. */
    void logServerEvent(BackendServer server, String what, long sentMs) {
        LOG.info(
                "relay: request {}: {} in {} {} after {} ms",
                id,
                server.id(),
                server.domain(),
                what,
                context.clock().nowMs() - sentMs);
    }

    /**
     * Logs that the send that started at {@code sentMs} ended without a complete answer, after
     * {@code eventCount} events.
     */
    void logLoss(
            BackendServer server,
            String what,
            long sentMs,
            int eventCount,
            RequestContent content) {
        LOG.info(
                "relay: request {}: {} in {} {} after {} ms and {} events, content {}",
                id,
                server.incarnation(),
                server.domain(),
                what,
                context.clock().nowMs() - sentMs,
                eventCount,
                text(content));
    }

    /** Returns the ids of the whole content and of its parts. */
    static String text(RequestContent content) {
        return content.parts().isEmpty()
                ? content.whole().value()
                : content.whole() + " with parts " + content.parts();
    }

    /** Logs the decision on a retry permit that was requested at {@code requestedMs}. */
    void logRetryPermit(ServiceName service, PermitDecision decision, long requestedMs) {
        LOG.info(
                "relay: request {}: repeat for {} {} after {} ms",
                id,
                service,
                text(decision),
                context.clock().nowMs() - requestedMs);
    }

    private static String text(PermitDecision decision) {
        return decision.isGranted()
                ? "granted"
                : "denied for the next " + decision.retryAfterMs() + " ms";
    }

    /**
     * Logs the report of an engine that has not started the request in time; an empty value means
     * that the engine sent no report.
     */
    void logReport(BackendServer server, Optional<EngineReport> report, long sentMs) {
        logServerEvent(
                server, "reports " + report.map(EngineReport::toString).orElse("nothing"), sentMs);
    }

    /** Logs the decision on a server permit that was requested at {@code requestedMs}. */
    void logServerPermit(BackendServer server, PermitDecision decision, long requestedMs) {
        if (!context.limits().isLimited(server.incarnation())) {
            return;
        }
        LOG.info(
                "relay: request {}: permit for {} {} after {} ms, it takes {}",
                id,
                server.id(),
                text(decision),
                context.clock().nowMs() - requestedMs,
                context.limits().describe(server.incarnation()));
    }

    /** Logs that a brittle server has no room for the request now. */
    void logRoomDenied(BackendServer server, PermitDecision decision, long requestedMs) {
        LOG.info(
                "relay: request {}: room at {} {} after {} ms",
                id,
                server.id(),
                text(decision),
                context.clock().nowMs() - requestedMs);
    }

    /** Logs that a stream resumed after a pause. */
    void logResume(BackendServer server, long pauseMs) {
        LOG.info("relay: request {} goes on at {} after {} ms", id, server.id(), pauseMs);
    }

    /** Logs that an error answer is not passed on because its status would be a promise. */
    void logWithheldAnswer(BackendServer server, int status, long sentMs) {
        logServerEvent(
                server,
                "failed with " + status + " and does not state that it did not run",
                sentMs);
    }

    void logAnswer(String what, int sends) {
        LOG.info(
                "relay: request {} answered, {} after {} ms and {} sends",
                id,
                what,
                ageMs(),
                sends);
    }

    void logEnd(Step.End end, int sends) {
        LOG.info(
                "relay: request {} ends {} {} after {} ms and {} sends, {}",
                id,
                end.code(),
                end.verdict(),
                ageMs(),
                sends,
                end.reason());
    }

    /** Logs that a step of the request threw an exception. */
    void logFailure(RuntimeException failure) {
        LOG.error("relay: request {} failed with an internal error", id, failure);
    }

    /** Logs that the caller disconnected; {@code stage} describes the progress of the request. */
    void logCallerDisconnect(String stage) {
        LOG.info("relay: request {} was left by its caller after {} ms, {}", id, ageMs(), stage);
    }

    /**
     * Logs that the connection of the caller ended before its answer was complete.
     *
     * @param stage progress of the request, and the reason in words
     * @param lastServerBytesMs when a server sent something last; empty if none did
     * @param delayMs how late the task ran that ended the connection
     */
    void logCut(
            CutReason reason,
            String stage,
            CallerAnswerWriter.Progress written,
            OptionalLong lastServerBytesMs,
            OptionalLong delayMs) {
        long now = context.clock().nowMs();
        LOG.info(
                "relay: request {} was cut, {} by the {} after {} ms: {}; {} events and {} bytes"
                        + " written, {} bytes queued; a server's last bytes {} ms ago, config {} at"
                        + " admission and {} now, turn {} ms late",
                id,
                reason,
                reason.decider(),
                ageMs(),
                stage,
                written.events(),
                written.bytes(),
                written.queuedBytes(),
                lastServerBytesMs.isPresent() ? now - lastServerBytesMs.getAsLong() : "unknown",
                catalogVersion,
                currentCatalogVersion(),
                delayMs.isPresent() ? delayMs.getAsLong() : "unknown");
    }

    static String text(OptionalLong event) {
        return event.isPresent() ? Long.toString(event.getAsLong()) : "none";
    }

    private long ageMs() {
        return context.clock().nowMs() - receivedMs;
    }
}
