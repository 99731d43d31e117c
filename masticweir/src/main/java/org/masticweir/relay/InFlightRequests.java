package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.Quarantine.Change;
import org.masticweir.quarantine.SharedQuarantine;

/**
 * Set of a router's requests in flight; applies quarantine changes to them; owned by the traffic
 * thread.
 */
final class InFlightRequests {
    private final SharedQuarantine quarantine;
    private final Set<Request> requests = new LinkedHashSet<>();
    private boolean isEnded;

    /** A request in flight. */
    interface Request {
        ContentId content();

        /** Returns whether the server has run the request for longer than a trial takes. */
        boolean runsLongerThanTrial();

        /** Notifies the request that its content was quarantined. */
        void onQuarantined();

        /**
         * Notifies the request that the router's process exits; the request must be answered now in
         * any state.
         */
        void onRouterExit();
    }

    InFlightRequests(SharedQuarantine quarantine) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
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

    /**
     * Applies a change of the quarantine to the requests with {@code content}. If one of these
     * requests has run for longer than a trial, the content is harmless, and a success is recorded.
     * Otherwise, if the content is quarantined, requests that have just started are cancelled,
     * because they would end their servers too.
     */
    void onQuarantineChange(ContentId content, Change change) {
        ImmutableList<Request> copies =
                requests.stream()
                        .filter(r -> r.content().equals(content))
                        .collect(ImmutableList.toImmutableList());
        if (copies.stream().anyMatch(Request::runsLongerThanTrial)) {
            quarantine.recordSuccess(() -> content);
        } else if (change == Change.QUARANTINED) {
            copies.forEach(Request::onQuarantined);
        }
    }
}
