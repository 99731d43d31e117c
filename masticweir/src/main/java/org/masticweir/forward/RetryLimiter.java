package org.masticweir.forward;

import org.masticweir.catalog.ServiceName;

/** Says whether a request may be sent to a second server, and counts it if so. */
public interface RetryLimiter {
    /** Counts a request of callers for {@code service}. */
    void recordRequest(ServiceName service, long nowMs);

    /**
     * Counts one more send and returns true if this router's own requests allow it, else changes
     * nothing.
     */
    boolean tryRetry(ServiceName service, long nowMs);

    /** Returns whether a permit of the allowance that all routers share may be had now. */
    boolean mayRequestPermit(ServiceName service, long nowMs);

    /** Takes back a send that was counted at {@code countedMs}, as it reached no server. */
    void cancelRetry(ServiceName service, long countedMs, long nowMs);
}
