package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RequestId;

/** The requests that this router owns, by id; thread-safe and bounded. */
public final class RequestRegistry {
    private static final long FULL_RETRY_MS = 1_000;

    private final ConcurrentMap<RequestId, RunningRequest> requests = new ConcurrentHashMap<>();
    private final AtomicInteger unfinished = new AtomicInteger();
    private final int maxRequests;

    private RequestRegistry(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    /** Returns an empty registry that holds at most {@code maxRequests}. */
    public static RequestRegistry holding(int maxRequests) {
        return new RequestRegistry(maxRequests);
    }

    /**
     * Adds the request unless one of its id is here.
     *
     * @return the request of this id, and whether it is new
     */
    public Admission admit(RequestSpec spec, long nowMs) {
        checkNotNull(spec, "spec");
        RunningRequest fresh = new RunningRequest(spec, nowMs);
        RunningRequest known = requests.putIfAbsent(spec.id(), fresh);
        if (known != null) {
            return new Admission(known, false);
        }
        if (requests.size() > maxRequests) {
            requests.remove(spec.id(), fresh);
            throw MasticweirException.notRun(ErrorCode.OVERLOADED, "too many requests at once")
                    .retryAfterMs(FULL_RETRY_MS);
        }
        unfinished.incrementAndGet();
        return new Admission(fresh, true);
    }

    public Optional<RunningRequest> find(RequestId id) {
        return Optional.ofNullable(requests.get(checkNotNull(id, "id")));
    }

    /** Returns all requests, in no order. */
    public ImmutableList<RunningRequest> all() {
        return ImmutableList.copyOf(requests.values());
    }

    /** Returns the count of requests that have not had their final outcome. */
    public int unfinished() {
        return unfinished.get();
    }

    /** Returns the count of requests that are under way or whose answer is still being read. */
    public int busy() {
        int busy = 0;
        for (RunningRequest request : requests.values()) {
            if (!request.log().ended() || request.log().readers() > 0) {
                busy++;
            }
        }
        return busy;
    }

    void finished() {
        unfinished.decrementAndGet();
    }

    void forget(RunningRequest request) {
        requests.remove(request.spec().id(), request);
    }

    /** The request of an id, and whether the submission that asked for it created it. */
    public record Admission(RunningRequest request, boolean fresh) {}
}
