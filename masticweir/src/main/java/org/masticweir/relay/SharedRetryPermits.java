package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import org.masticweir.catalog.ServiceName;
import org.masticweir.forward.ServiceRetryBudgets;
import org.masticweir.permits.PermitDecision;
import org.masticweir.permits.PermitKey;
import org.masticweir.permits.SharedPermits;
import org.masticweir.time.Clock;

/** Permits for repeats beyond what a router's own requests allow; owned by the traffic thread. */
final class SharedRetryPermits {
    private final ServiceRetryBudgets repeats;
    private final SharedPermits permits;
    private final Clock clock;

    SharedRetryPermits(ServiceRetryBudgets repeats, SharedPermits permits, Clock clock) {
        this.repeats = checkNotNull(repeats, "repeats");
        this.permits = checkNotNull(permits, "permits");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Asks for a permit to send one request again.
     *
     * @param urgency 0 for the first to be served
     * @param then hears the decision on the traffic thread
     */
    void ask(ServiceName service, int urgency, Consumer<PermitDecision> then) {
        permits.request(
                PermitKey.ofRepeats(service),
                urgency,
                repeats.allowance().orElseThrow(),
                decision -> {
                    if (!decision.isGranted()) {
                        repeats.suspendPermits(service, clock.nowMs() + decision.retryAfterMs());
                    }
                    then.accept(decision);
                });
    }
}
