package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * How one request waits for a server, and when it is refused instead; owned by the traffic thread.
 *
 * <p>Requests for engines that were not sent yet wait in a {@link WaitQueue}. All others look for
 * themselves: plain ones as they wait for a moment only, and those sent before as each of them has
 * other servers left to try.
 */
final class RequestWait implements AutoCloseable {
    /** Part of the time goal for which a plain request waits before it is refused. */
    private static final int PLAIN_GOAL_DIVISOR = 8;

    /**
     * Part of the time goal for which a request waits for a place at an engine. A prompt is read in
     * less than half of its goal, so that one which waits for the other half is still answered in
     * time.
     */
    private static final int ENGINE_GOAL_DIVISOR = 2;

    private final RequestParameters request;
    private final WaitQueue queue;
    private Optional<WaitQueue.Entry> entry = Optional.empty();

    RequestWait(RequestParameters request, WaitQueue queue) {
        this.request = checkNotNull(request, "request");
        this.queue = checkNotNull(queue, "queue");
    }

    /** Returns whether others are to be served before, though a server could take the request. */
    boolean mustWait(int sends, long nowMs) {
        if (!usesQueue(sends)) {
            return false;
        }
        return entry.isPresent() ? !queue.isFirst(entry.get(), nowMs) : countAhead(nowMs) > 0;
    }

    /**
     * Waits, or tells why that is of no use.
     *
     * @param running requests of this router that run at the service's servers
     */
    Optional<String> enterQueueOrRefuse(int sends, int running, long nowMs) {
        if (hasTimedOut(nowMs)) {
            return Optional.of("no server is free");
        }
        if (usesQueue(sends) && entry.isEmpty()) {
            // A run lasts about as long as the goal of its first event, or longer.
            long runMs = request.route().goalMs();
            if (countAhead(nowMs) >= WaitQueue.capacity(running, maxWaitMs(), runMs)) {
                return Optional.of("too many wait");
            }
            long expiresMs = request.receivedMs() + maxWaitMs();
            entry =
                    Optional.of(
                            queue.add(request.service(), request.route().priority(), expiresMs));
        }
        return Optional.empty();
    }

    /** Returns whether the request has waited as long as is of use. */
    boolean hasTimedOut(long nowMs) {
        return nowMs - request.receivedMs() >= maxWaitMs();
    }

    /** Leaves the line. */
    @Override
    public void close() {
        entry.ifPresent(queue::remove);
        entry = Optional.empty();
    }

    private int countAhead(long nowMs) {
        return queue.countAhead(request.service(), request.route().priority(), nowMs);
    }

    private long maxWaitMs() {
        return request.route().goalMs()
                / (request.engine().isPresent() ? ENGINE_GOAL_DIVISOR : PLAIN_GOAL_DIVISOR);
    }

    private boolean usesQueue(int sends) {
        return request.engine().isPresent() && sends == 0;
    }
}
