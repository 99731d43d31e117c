package org.masticweir.forward;

import org.masticweir.catalog.ServiceName;

/** Decides whether a request may be retried, and counts each retry. */
public interface RetryLimiter {
    /** Counts a caller's request for {@code service}. */
    void recordRequest(ServiceName service, long nowMs);

    /**
     * Returns true and counts a retry if the budget of this router's own requests allows the retry;
     * otherwise changes nothing.
     */
    boolean tryRetry(ServiceName service, long nowMs);

    /** Returns whether {@link #tryRetry} would allow a retry; counts nothing. */
    boolean mayRetry(ServiceName service, long nowMs);

    /**
     * Returns whether a retry permit may be requested now. All routers share the allowance of these
     * permits.
     */
    boolean mayRequestPermit(ServiceName service, long nowMs);

    /** Cancels a retry that was counted at {@code countedMs} and reached no server. */
    void cancelRetry(ServiceName service, long countedMs, long nowMs);
}
