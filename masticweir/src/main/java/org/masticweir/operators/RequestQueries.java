package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import java.util.Comparator;
import org.masticweir.generation.RequestSpec;
import org.masticweir.serving.RequestRegistry;
import org.masticweir.serving.RunningRequest;
import org.masticweir.time.Clock;

/** Lists the requests of a registry; thread-safe. */
public final class RequestQueries {
    /** Most requests in one list, which bounds the answer. */
    static final int MAX_LISTED = 1_000;

    /** The ones an operator looks for come first: still open, and for the longest time. */
    private static final Comparator<RequestList.Request> ORDER =
            Comparator.comparing((RequestList.Request r) -> r.state().ended())
                    .thenComparing(RequestList.Request::ageMs, Comparator.reverseOrder());

    private final RequestRegistry registry;
    private final Clock clock;

    private RequestQueries(RequestRegistry registry, Clock clock) {
        this.registry = checkNotNull(registry, "registry");
        this.clock = checkNotNull(clock, "clock");
    }

    /** Returns queries over {@code registry}, whose times are those of {@code clock}. */
    public static RequestQueries of(RequestRegistry registry, Clock clock) {
        return new RequestQueries(registry, clock);
    }

    /** Returns open requests before ended ones, the oldest first, at most 1000. */
    public RequestList list() {
        long nowMs = clock.nowMs();
        return new RequestList(
                registry.all().stream()
                        .map(r -> describe(r, nowMs))
                        .sorted(ORDER)
                        .limit(MAX_LISTED)
                        .collect(toImmutableList()));
    }

    private static RequestList.Request describe(RunningRequest request, long nowMs) {
        RequestSpec spec = request.spec();
        RunningRequest.Placement placement = request.placement();
        return new RequestList.Request(
                spec.id(),
                spec.team(),
                spec.workClass(),
                spec.model(),
                placement.engine(),
                placement.generation(),
                placement.attempt(),
                request.log().size(),
                RequestList.State.of(request),
                nowMs - request.acceptedAtMs());
    }
}
