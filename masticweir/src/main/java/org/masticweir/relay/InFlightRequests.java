package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.Quarantine.Change;
import org.masticweir.quarantine.SharedQuarantine;

/**
 * The requests of a router that are in flight, and the effect of quarantine changes on them; owned
 * by the traffic thread.
 */
final class InFlightRequests {
    private final SharedQuarantine quarantine;
    private final Set<Request> requests = new LinkedHashSet<>();
    private boolean isEnded;

    /** A request in flight. */
    interface Request {
        ContentId content();

        /** Returns whether its server has run it for longer than the duration of a trial. */
        boolean runsLongerThanTrial();

        /** Notifies the request that its content was quarantined. */
        void onQuarantined();

        /**
         * Notifies the request that the router's process exits; it must be answered now, whatever
         * its state.
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

    /** Ends all requests in flight, and each later one when it is added; each gets an answer. */
    void endAll() {
        isEnded = true;
        ImmutableList.copyOf(requests).forEach(Request::onRouterExit);
    }

    /**
     * Applies a change of the quarantine to the requests with {@code content}. A copy of a suspect
     * content that runs on shows that the content is harmless. Copies of a quarantined content that
     * have just started would end their servers too, so they are cancelled.
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
