package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import org.masticweir.catalog.ServiceName;
import org.masticweir.forward.ServiceRepeats;
import org.masticweir.permits.PermitDecision;
import org.masticweir.permits.PermitKey;
import org.masticweir.permits.SharedPermits;
import org.masticweir.time.Clock;

/** Permits for repeats beyond what a router's own requests allow; owned by the traffic thread. */
final class SharedRepeats {
    private final ServiceRepeats repeats;
    private final SharedPermits permits;
    private final Clock clock;

    SharedRepeats(ServiceRepeats repeats, SharedPermits permits, Clock clock) {
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
        permits.ask(
                PermitKey.ofRepeats(service),
                urgency,
                repeats.allowance().orElseThrow(),
                decision -> {
                    if (!decision.granted()) {
                        repeats.close(service, clock.nowMs() + decision.againMs());
                    }
                    then.accept(decision);
                });
    }
}
