package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Waiting of one request for a server, and the reasons to refuse it; owned by the traffic thread.
 *
 * <p>Unsent requests for engines wait in a {@link WaitQueue}. All others check for a server on
 * their own: plain requests because they wait only briefly, and retries because each has other
 * servers left to try.
 */
final class RequestWait implements AutoCloseable {
    /** Divisor of the time goal that gives how long a plain request waits before it is refused. */
    private static final int PLAIN_GOAL_DIVISOR = 8;

    /**
     * Divisor of the time goal that gives how long a request waits for a slot of an engine. A
     * prefill takes less than half of the goal, so a request that waits for the other half is still
     * answered in time.
     */
    private static final int ENGINE_GOAL_DIVISOR = 2;

    private final RequestParameters request;
    private final WaitQueue queue;
    private Optional<WaitQueue.Entry> queueEntry = Optional.empty();

    RequestWait(RequestParameters request, WaitQueue queue) {
        this.request = checkNotNull(request, "request");
        this.queue = checkNotNull(queue, "queue");
    }

    /**
     * Returns whether other requests must be served first, even if a server could accept this one.
     */
    boolean mustWait(int sendCount, long nowMs) {
        if (!usesQueue(sendCount)) {
            return false;
        }
        return queueEntry.isPresent()
                ? !queue.isFirst(queueEntry.get(), nowMs)
                : countAhead(nowMs) > 0;
    }

    /**
     * Adds the request to the queue if it belongs there, or returns why waiting can't help.
     *
     * @param runningRequests requests of this router that run at the servers of the service
     */
    Optional<String> enterQueueOrRefuse(int sendCount, int runningRequests, long nowMs) {
        if (hasTimedOut(nowMs)) {
            return Optional.of("no server is free");
        }
        if (usesQueue(sendCount) && queueEntry.isEmpty()) {
            // A run lasts about as long as the goal of its first event, or longer.
            long runMs = request.route().goalMs();
            if (countAhead(nowMs) >= WaitQueue.capacity(runningRequests, maxWaitMs(), runMs)) {
                return Optional.of("too many wait");
            }
            long expiresMs = request.receivedMs() + maxWaitMs();
            queueEntry =
                    Optional.of(
                            queue.add(request.service(), request.route().priority(), expiresMs));
        }
        return Optional.empty();
    }

    /** Returns whether the request has waited for the longest useful time. */
    boolean hasTimedOut(long nowMs) {
        return nowMs - request.receivedMs() >= maxWaitMs();
    }

    /** Leaves the queue. */
    @Override
    public void close() {
        queueEntry.ifPresent(queue::remove);
        queueEntry = Optional.empty();
    }

    private int countAhead(long nowMs) {
        return queue.countAhead(request.service(), request.route().priority(), nowMs);
    }

    private long maxWaitMs() {
        return request.route().goalMs()
                / (request.engine().isPresent() ? ENGINE_GOAL_DIVISOR : PLAIN_GOAL_DIVISOR);
    }

    private boolean usesQueue(int sendCount) {
        return request.engine().isPresent() && sendCount == 0;
    }
}
