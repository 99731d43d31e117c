package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.Quarantine.Change;
import org.masticweir.quarantine.SharedQuarantine;

/**
 * The requests of a router that are under way, and what a change of the quarantine means for them;
 * owned by the traffic thread.
 */
final class InFlightRequests {
    private final SharedQuarantine quarantine;
    private final Set<Request> requests = new LinkedHashSet<>();
    private boolean isEnded;

    /** A request under way. */
    interface Request {
        ContentId content();

        /** Returns whether its server has run it for longer than a trial lasts. */
        boolean runsLongerThanTrial();

        /** Its content was put into quarantine. */
        void onQuarantined();

        /** The router's process ends: the request is answered now, whatever it has come to. */
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

    /** Ends all of them, and each one that comes later, with an answer of its own. */
    void endAll() {
        isEnded = true;
        ImmutableList.copyOf(requests).forEach(Request::onRouterExit);
    }

    /**
     * Copies of a suspect content that run on speak for it. Copies of a quarantined one that have
     * just begun would end their servers too.
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
