package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.RequestContent;
import org.masticweir.quarantine.SendRule;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.time.Clock;

/**
 * Set of a router's requests in flight; applies quarantine changes to them; owned by the traffic
 * thread.
 */
final class InFlightRequests {
    private final SharedQuarantine quarantine;
    private final Clock clock;
    private final Set<Request> requests = new LinkedHashSet<>();
    private boolean isEnded;

    /** A request in flight. */
    interface Request {
        RequestContent content();

        /** Returns when the current run began if it has lasted longer than a trial. */
        OptionalLong provenRunStartMs();

        /** Returns the current run if it is at {@code server} and has just begun. */
        Optional<StartedRun> startedRunAt(ServerIncarnation server);

        /** Notifies the request that it must not be sent any more: it would end its server. */
        void onQuarantined();

        /**
         * Notifies the request that the router's process exits; the request must be answered now in
         * any state.
         */
        void onRouterExit();
    }

    InFlightRequests(SharedQuarantine quarantine, Clock clock) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.clock = checkNotNull(clock, "clock");
    }

    void add(Request request) {
        requests.add(request);
        if (isEnded) {
            request.onRouterExit();
        }
    }

    void remove(Request request) {
        requests.remove(request);
    }

    /** Ends all requests in flight with an answer; requests that are added later end at once. */
    void endAll() {
        isEnded = true;
        ImmutableList.copyOf(requests).forEach(Request::onRouterExit);
    }

    /** Returns the runs that have just begun at {@code server}. */
    ImmutableList<StartedRun> startedRunsAt(ServerIncarnation server) {
        return requests.stream()
                .flatMap(r -> r.startedRunAt(server).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Applies a change of the quarantine to the requests with any of {@code changedIds}. Those that
     * have run for longer than a trial are harmless, and are recorded as successes. After that, the
     * requests that the quarantine rejects are ended, because they would end their servers too.
     */
    void onQuarantineChange(ImmutableSet<ContentId> changedIds) {
        ImmutableList<Request> affected =
                requests.stream()
                        .filter(r -> r.content().all().stream().anyMatch(changedIds::contains))
                        .collect(ImmutableList.toImmutableList());
        affected.forEach(
                r ->
                        r.provenRunStartMs()
                                .ifPresent(began -> quarantine.recordSuccess(r::content, began)));
        long now = clock.nowMs();
        affected.stream()
                .filter(r -> quarantine.sendRule(r::content, now) == SendRule.REJECT)
                .forEach(Request::onQuarantined);
    }
}
