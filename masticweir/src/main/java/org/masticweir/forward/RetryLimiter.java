package org.masticweir.forward;

import org.masticweir.catalog.ServiceName;

/** Decides whether a request may be retried, and counts the retry. */
public interface RetryLimiter {
    /** Counts a caller's request for {@code service}. */
    void recordRequest(ServiceName service, long nowMs);

    /**
     * Counts a retry and returns true if the requests of this router allow one, else changes
     * nothing.
     */
    boolean tryRetry(ServiceName service, long nowMs);

    /** Returns whether a permit of the allowance shared by all routers may be requested now. */
    boolean mayRequestPermit(ServiceName service, long nowMs);

    /** Cancels a retry that was counted at {@code countedMs} and reached no server. */
    void cancelRetry(ServiceName service, long countedMs, long nowMs);
}
