package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;

/**
 * Permits of one request until the request is sent; owned by the traffic thread.
 *
 * <p>A permit expires after a short time; afterwards the request needs a new one. Without the
 * expiry, a waiting request could use its permit in a later window, for which the issuer has
 * already granted the full rate.
 */
final class HeldPermits {
    /** Validity of a permit, in ms. */
    static final long PERMIT_VALIDITY_MS = 300;

    private Optional<BackendServer> permittedServer = Optional.empty();
    private long serverPermitExpiresMs;
    private OptionalLong retryPermitExpiresMs = OptionalLong.empty();

    /** Expiry of the retry permit that the send in flight has consumed. */
    private OptionalLong usedRetryPermitExpiresMs = OptionalLong.empty();

    /** Records the decision on the permit that {@code step} requests. */
    void recordDecision(Step step, boolean granted, long nowMs) {
        if (step instanceof Step.AcquirePermit permit) {
            recordDecision(permit.server(), granted, nowMs);
        } else {
            recordRetryDecision(granted, nowMs);
        }
    }

    /** Records the decision on a permit for a rate-limited server. */
    void recordDecision(BackendServer limitedServer, boolean granted, long nowMs) {
        checkNotNull(limitedServer, "limitedServer");
        permittedServer = granted ? Optional.of(limitedServer) : Optional.empty();
        serverPermitExpiresMs = nowMs + PERMIT_VALIDITY_MS;
    }

    /** Records the decision on a retry permit. */
    void recordRetryDecision(boolean granted, long nowMs) {
        retryPermitExpiresMs =
                granted ? OptionalLong.of(nowMs + PERMIT_VALIDITY_MS) : OptionalLong.empty();
    }

    /** Returns the rate-limited server to which the request may be sent once. */
    Optional<BackendServer> permittedServer(long nowMs) {
        return permittedServer.filter(s -> nowMs < serverPermitExpiresMs);
    }

    boolean allowsRetry(long nowMs) {
        return retryPermitExpiresMs.isPresent() && nowMs < retryPermitExpiresMs.getAsLong();
    }

    /** Consumes the permits for a send. */
    void consume() {
        permittedServer = Optional.empty();
        usedRetryPermitExpiresMs = retryPermitExpiresMs;
        retryPermitExpiresMs = OptionalLong.empty();
    }

    /** Restores the retry permit of a send that transmitted no data. */
    void restoreRetryPermit() {
        retryPermitExpiresMs = usedRetryPermitExpiresMs;
    }
}
