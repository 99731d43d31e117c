package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServiceName;

/**
 * Requests the permits that one request needs, and logs the decisions; runs on the traffic thread.
 */
final class RequestPermits {
    private final RelayContext context;
    private final RequestLog log;

    RequestPermits(RelayContext context, RequestLog log) {
        this.context = checkNotNull(context, "context");
        this.log = checkNotNull(log, "log");
    }

    /** Requests a permit to send the request to a server that limits its request rate. */
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

    /** Requests a permit to retry the request. */
    void requestRetryPermit(ServiceName service, int urgency, Consumer<Boolean> callback) {
        long requestedMs = context.clock().nowMs();
        context.sharedRetryPermits()
                .request(
                        service,
                        urgency,
                        decision -> {
                            log.logRetryPermit(service, decision, requestedMs);
                            callback.accept(decision.isGranted());
                        });
    }
}
