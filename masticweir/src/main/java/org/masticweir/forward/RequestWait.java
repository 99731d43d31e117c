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
    private static final int PLAIN_PART = 8;

    /**
     * Part of the time goal for which a request waits for a place at an engine. A prompt is read in
     * less than half of its goal, so that one which waits for the other half is still answered in
     * time.
     */
    private static final int ENGINE_PART = 2;

    private final RequestParameters plan;
    private final WaitQueue line;
    private Optional<WaitQueue.Place> place = Optional.empty();

    RequestWait(RequestParameters plan, WaitQueue line) {
        this.plan = checkNotNull(plan, "plan");
        this.line = checkNotNull(line, "line");
    }

    /** Returns whether others are to be served before, though a server could take the request. */
    boolean mustWait(int sends, long nowMs) {
        if (!standsInLine(sends)) {
            return false;
        }
        return place.isPresent() ? !line.isFirst(place.get(), nowMs) : ahead(nowMs) > 0;
    }

    /**
     * Waits, or tells why that is of no use.
     *
     * @param running requests of this router that run at the service's servers
     */
    Optional<String> refusal(int sends, int running, long nowMs) {
        if (isOver(nowMs)) {
            return Optional.of("no server is free");
        }
        if (standsInLine(sends) && place.isEmpty()) {
            // A run lasts about as long as the goal of its first event, or longer.
            long lifeMs = plan.route().goalMs();
            if (ahead(nowMs) >= WaitQueue.longest(running, patienceMs(), lifeMs)) {
                return Optional.of("too many wait");
            }
            long untilMs = plan.receivedMs() + patienceMs();
            place = Optional.of(line.enter(plan.service(), plan.route().priority(), untilMs));
        }
        return Optional.empty();
    }

    /** Returns whether the request has waited as long as is of use. */
    boolean isOver(long nowMs) {
        return nowMs - plan.receivedMs() >= patienceMs();
    }

    /** Leaves the line. */
    @Override
    public void close() {
        place.ifPresent(line::leave);
        place = Optional.empty();
    }

    private int ahead(long nowMs) {
        return line.ahead(plan.service(), plan.route().priority(), nowMs);
    }

    private long patienceMs() {
        return plan.route().goalMs() / (plan.engine().isPresent() ? ENGINE_PART : PLAIN_PART);
    }

    private boolean standsInLine(int sends) {
        return plan.engine().isPresent() && sends == 0;
    }
}
