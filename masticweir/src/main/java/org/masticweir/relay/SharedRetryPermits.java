package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import org.masticweir.catalog.ServiceName;
import org.masticweir.forward.ServiceRetryBudgets;
import org.masticweir.permits.PermitDecision;
import org.masticweir.permits.PermitKey;
import org.masticweir.permits.SharedPermits;
import org.masticweir.time.Clock;

/**
 * Requests permits for retries that exceed a router's own retry budget; owned by the traffic
 * thread.
 */
final class SharedRetryPermits {
    private final ServiceRetryBudgets retryBudgets;
    private final SharedPermits permits;
    private final Clock clock;

    SharedRetryPermits(ServiceRetryBudgets retryBudgets, SharedPermits permits, Clock clock) {
        this.retryBudgets = checkNotNull(retryBudgets, "retryBudgets");
        this.permits = checkNotNull(permits, "permits");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Requests a permit to retry one request.
     *
     * @param urgency rank of the request; 0 is served first
     * @param callback receives the decision on the traffic thread
     */
    void request(ServiceName service, int urgency, Consumer<PermitDecision> callback) {
        permits.request(
                PermitKey.ofRetries(service),
                urgency,
                retryBudgets.allowance().orElseThrow(),
                decision -> {
                    if (!decision.isGranted()) {
                        retryBudgets.suspendPermits(
                                service, clock.nowMs() + decision.retryAfterMs());
                    }
                    callback.accept(decision);
                });
    }
}
