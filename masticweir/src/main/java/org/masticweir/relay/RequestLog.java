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
import org.masticweir.id.ContentId;
import org.masticweir.permits.PermitDecision;

/**
 * Writes one line for each decision on one request, with the request's id and what decided it; on
 * the traffic thread.
 */
final class RequestLog {
    private static final Logger LOG = LogManager.getLogger(RequestLog.class);

    private final RelayContext context;
    private final String id;
    private final long receivedMs;

    RequestLog(RelayContext context, RelayRequest request) {
        this.context = checkNotNull(context, "context");
        id = request.id();
        receivedMs = request.plan().receivedMs();
    }

    /** The request is sent, for the {@code number}-th time. */
    void goes(Step.Send send, int number) {
        ServerLoad use = context.loads().totalLoad(send.server().incarnation());
        LOG.info(
                "relay: request {} goes to {} in {}, send {} after event {}, {}; {} running and {}"
                        + " reading there, copy at {}, config {}",
                id,
                send.server().id(),
                send.server().domain(),
                number,
                text(send.lastEventId()),
                send.fromCopy() ? "from its copy" : "anew",
                use.running(),
                use.prefills(),
                send.copyHolder().map(h -> h.id().value()).orElse("none"),
                context.view().get().catalog().map(Catalog::version).orElse(0L));
    }

    /** Engines were asked for the prompt. */
    void searched(int asked, Optional<BackendServer> keeper) {
        LOG.info(
                "relay: request {}: its prompt is kept by {}, {} engines asked",
                id,
                keeper.map(k -> k.id().value()).orElse("none"),
                asked);
    }

    /** Something happened at the server of the send that left at {@code sentMs}. */
    void at(BackendServer server, String what, long sentMs) {
        LOG.info(
                "relay: request {}: {} in {} {} after {} ms",
                id,
                server.id(),
                server.domain(),
                what,
                context.clock().nowMs() - sentMs);
    }

    /**
     * A send that left at {@code sentMs} ended without a whole answer, {@code events} after its
     * start.
     */
    void lost(BackendServer server, String what, long sentMs, int events, ContentId content) {
        LOG.info(
                "relay: request {}: {} in {} {} after {} ms and {} events, content {}",
                id,
                server.incarnation(),
                server.domain(),
                what,
                context.clock().nowMs() - sentMs,
                events,
                content);
    }

    /** A permit to send the request again was asked for at {@code askedMs}. */
    void repeat(ServiceName service, PermitDecision decision, long askedMs) {
        LOG.info(
                "relay: request {}: repeat for {} {} after {} ms",
                id,
                service,
                text(decision),
                context.clock().nowMs() - askedMs);
    }

    private static String text(PermitDecision decision) {
        return decision.isGranted()
                ? "granted"
                : "denied for the next " + decision.retryAfterMs() + " ms";
    }

    /** An engine that has not begun the request in time reports, or does not. */
    void reported(BackendServer server, Optional<EngineReport> report, long sentMs) {
        at(server, "reports " + report.map(EngineReport::toString).orElse("nothing"), sentMs);
    }

    /** A permit was asked for at {@code askedMs}. */
    void permit(BackendServer server, PermitDecision decision, long askedMs) {
        LOG.info(
                "relay: request {}: permit for {} {} after {} ms, it takes {}",
                id,
                server.id(),
                text(decision),
                context.clock().nowMs() - askedMs,
                context.limits().describe(server.incarnation()));
    }

    /** A stream goes on after a pause. */
    void goesOn(BackendServer server, long pauseMs) {
        LOG.info("relay: request {} goes on at {} after {} ms", id, server.id(), pauseMs);
    }

    void answered(String what, int sends) {
        LOG.info(
                "relay: request {} answered, {} after {} ms and {} sends",
                id,
                what,
                ageMs(),
                sends);
    }

    void ended(Step.End end, int sends) {
        LOG.info(
                "relay: request {} ends {} {} after {} ms and {} sends, {}",
                id,
                end.code(),
                end.verdict(),
                ageMs(),
                sends,
                end.reason());
    }

    /** The caller left; {@code where} tells how far the request had come. */
    void left(String where) {
        LOG.info("relay: request {} was left by its caller after {} ms, {}", id, ageMs(), where);
    }

    static String text(OptionalLong event) {
        return event.isPresent() ? Long.toString(event.getAsLong()) : "none";
    }

    private long ageMs() {
        return context.clock().nowMs() - receivedMs;
    }
}
