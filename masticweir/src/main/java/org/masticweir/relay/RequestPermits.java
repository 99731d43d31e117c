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

    /**
     * Requests what a send to a server needs: a permit if the server limits its request rate, and
     * room if it is brittle.
     */
    void requestServerPermit(BackendServer server, int urgency, Consumer<Boolean> callback) {
        long requestedMs = context.clock().nowMs();
        context.limits()
                .requestPermit(
                        server.incarnation(),
                        urgency,
                        decision -> {
                            log.logServerPermit(server, decision, requestedMs);
                            if (decision.isGranted()) {
                                requestRoom(server, urgency, callback);
                            } else {
                                callback.accept(false);
                            }
                        });
    }

    private void requestRoom(BackendServer server, int urgency, Consumer<Boolean> callback) {
        long requestedMs = context.clock().nowMs();
        context.rooms()
                .request(
                        server,
                        urgency,
                        decision -> {
                            if (!decision.isGranted()) {
                                log.logRoomDenied(server, decision, requestedMs);
                            }
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
