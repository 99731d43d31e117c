package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.Quarantine.Change;
import org.masticweir.quarantine.RequestContent;
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
        RequestContent content();

        /** Returns when the current run began if it has lasted longer than a trial. */
        OptionalLong provenRunStartMs();

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
     * Applies a change of the quarantine to the requests with any of {@code changedIds}. If one of
     * these requests has run for longer than a trial, the content is harmless, and a success is
     * recorded. Otherwise, if the content is quarantined, requests that have just started are
     * cancelled, because they would end their servers too.
     */
    void onQuarantineChange(ImmutableSet<ContentId> changedIds, Change change) {
        ImmutableList<Request> copies =
                requests.stream()
                        .filter(r -> changedIds.contains(r.content().whole()))
                        .collect(ImmutableList.toImmutableList());
        Optional<Request> proven =
                copies.stream().filter(r -> r.provenRunStartMs().isPresent()).findAny();
        if (proven.isPresent()) {
            quarantine.recordSuccess(
                    proven.get()::content, proven.get().provenRunStartMs().getAsLong());
        } else if (change == Change.QUARANTINED) {
            copies.forEach(Request::onQuarantined);
        }
    }
}
