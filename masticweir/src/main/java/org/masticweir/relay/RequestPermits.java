package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServiceName;

/** Asks for the permits that one request needs, and logs the decisions; on the traffic thread. */
final class RequestPermits {
    private final RelayContext context;
    private final RequestLog log;

    RequestPermits(RelayContext context, RequestLog log) {
        this.context = checkNotNull(context, "context");
        this.log = checkNotNull(log, "log");
    }

    /** Asks whether the request may go to a server that limits what it takes. */
    void requestServerPermit(BackendServer server, int urgency, Consumer<Boolean> callback) {
        long requestedMs = context.clock().nowMs();
        context.limits()
                .requestPermit(
                        server.incarnation(),
                        urgency,
                        decision -> {
                            log.logServerPermit(server, decision, requestedMs);
                            callback.accept(decision.isGranted());
                        });
    }

    /** Asks whether the request may be sent again. */
    void requestRetryPermit(ServiceName service, int urgency, Consumer<Boolean> callback) {
        long requestedMs = context.clock().nowMs();
        context.sharedRetries()
                .request(
                        service,
                        urgency,
                        decision -> {
                            log.logRetryPermit(service, decision, requestedMs);
                            callback.accept(decision.isGranted());
                        });
    }
}
