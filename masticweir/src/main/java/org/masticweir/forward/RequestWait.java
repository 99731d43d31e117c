package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Wait of one request for a server; owned by the traffic thread. Refuses the request if the wait is
 * useless.
 *
 * <p>Unsent requests for engines wait in a {@link WaitQueue}. Plain requests check for a server
 * without the queue, because they wait only briefly. Retries do the same, because each retry has a
 * different set of untried servers.
 */
final class RequestWait implements AutoCloseable {
    /** Divisor of the time goal that gives how long a plain request waits before it is refused. */
    private static final int PLAIN_GOAL_DIVISOR = 8;

    /**
     * Divisor of the time goal that gives how long a request waits for a slot of an engine. A
     * prefill takes less than half of the goal, so an answer after a wait of half the goal is still
     * in time.
     */
    private static final int ENGINE_GOAL_DIVISOR = 2;

    /** Factor by which a request with a partly delivered answer waits longer for a trial. */
    private static final int EVENT_WAIT_FACTOR = 2;

    private final RequestParameters request;
    private final WaitQueue queue;
    private Optional<WaitQueue.Entry> queueEntry = Optional.empty();

    /** Start of the wait for a trial since the last send; empty if there was no such wait. */
    private OptionalLong trialWaitStartMs = OptionalLong.empty();

    RequestWait(RequestParameters request, WaitQueue queue) {
        this.request = checkNotNull(request, "request");
        this.queue = checkNotNull(queue, "queue");
    }

    /**
     * Returns whether other requests must be sent before this request, even if a server could
     * accept this request.
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
     * Adds an unsent engine request to the queue, or returns the reason to refuse the request.
     *
     * @param runningRequests running requests whose slots this router may get
     * @param availability how many servers are excluded for which reason, for the log
     */
    Optional<String> enterQueueOrRefuse(
            int sendCount, int runningRequests, Supplier<String> availability, long nowMs) {
        if (hasTimedOut(nowMs)) {
            return Optional.of("no server is free, " + availability.get());
        }
        if (usesQueue(sendCount) && queueEntry.isEmpty()) {
            // A run lasts at least about as long as the time goal of the first event.
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

    /**
     * Returns whether the wait for a trial has lasted for the longest useful time. The wait of an
     * unsent request counts from its arrival, any other wait from the first call after a send.
     *
     * @param hasEvent whether the answer is partly delivered, so that a refusal wastes work
     */
    boolean hasTrialTimedOut(boolean isSent, boolean hasEvent, long nowMs) {
        if (trialWaitStartMs.isEmpty()) {
            trialWaitStartMs = OptionalLong.of(isSent ? nowMs : request.receivedMs());
        }
        long maxMs = hasEvent ? EVENT_WAIT_FACTOR * maxWaitMs() : maxWaitMs();
        return nowMs - trialWaitStartMs.getAsLong() >= maxMs;
    }

    /** Ends all waits before a send: leaves the queue, and forgets the wait for a trial. */
    @Override
    public void close() {
        trialWaitStartMs = OptionalLong.empty();
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
