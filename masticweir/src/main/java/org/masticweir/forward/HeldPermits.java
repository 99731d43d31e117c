package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;

/**
 * The permits that one request holds until it is sent; owned by the traffic thread.
 *
 * <p>Failure guarded against: a request waits with its permit, and uses it in a window for which
 * the issuer has granted all that is allowed. A permit is good for a short time, and is asked for
 * again after it.
 */
final class HeldPermits {
    /** Time for which a permit is good, in ms. */
    static final long VALID_MS = 300;

    private Optional<BackendServer> permittedServer = Optional.empty();
    private long serverPermitExpiresMs;
    private OptionalLong retryPermitExpiresMs = OptionalLong.empty();

    /** The permit for a repeat that the send under way has used. */
    private OptionalLong usedRetryPermit = OptionalLong.empty();

    /** Takes the decision on a permit for a server that limits what it takes. */
    void recordDecision(BackendServer limitedServer, boolean granted, long nowMs) {
        checkNotNull(limitedServer, "limitedServer");
        permittedServer = granted ? Optional.of(limitedServer) : Optional.empty();
        serverPermitExpiresMs = nowMs + VALID_MS;
    }

    /** Takes the decision on a permit for a repeat. */
    void recordRetryDecision(boolean granted, long nowMs) {
        retryPermitExpiresMs = granted ? OptionalLong.of(nowMs + VALID_MS) : OptionalLong.empty();
    }

    /** Returns the server that the request may be sent to once, though it limits what it takes. */
    Optional<BackendServer> permittedServer(long nowMs) {
        return permittedServer.filter(s -> nowMs < serverPermitExpiresMs);
    }

    boolean allowsRetry(long nowMs) {
        return retryPermitExpiresMs.isPresent() && nowMs < retryPermitExpiresMs.getAsLong();
    }

    /** The request is sent, with what it holds. */
    void consume() {
        permittedServer = Optional.empty();
        usedRetryPermit = retryPermitExpiresMs;
        retryPermitExpiresMs = OptionalLong.empty();
    }

    /** Nothing of the send left this process: its permit for a repeat was not used. */
    void restoreRetryPermit() {
        retryPermitExpiresMs = usedRetryPermit;
    }
}
