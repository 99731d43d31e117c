package org.masticweir.standins.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.EvictingQueue;
import com.google.common.collect.ImmutableList;
import org.masticweir.time.Clock;

/** The rate-limited weight store and the record of what was fetched from it; thread-safe. */
final class WeightStore {
    /** Most fetches remembered, the latest ones; bounds the memory of a long run. */
    static final int MAX_FETCHES = 10_000;

    private final Clock clock;
    private final RateLimit limit;
    private volatile long loadMs;
    private final EvictingQueue<Fetch> fetches = EvictingQueue.create(MAX_FETCHES);

    WeightStore(Clock clock, double loadsPerS, long loadMs) {
        this.clock = clock;
        setLoadMs(loadMs);
        limit = RateLimit.perS(loadsPerS, clock.nowMs());
    }

    /** Admits a fetch and returns 0, or returns the milliseconds after which to come back. */
    synchronized long fetch(FetchBody body) {
        long retryAfterMs = limit.take(clock.nowMs());
        if (retryAfterMs == 0) {
            long now = clock.wallMs();
            fetches.add(new Fetch(body.model(), body.version(), body.engine(), now, now + loadMs));
        }
        return retryAfterMs;
    }

    /** Sets how long the loads admitted from now on take. */
    void setLoadMs(long ms) {
        checkArgument(ms >= 0, "load of %s ms", ms);
        loadMs = ms;
    }

    long loadMs() {
        return loadMs;
    }

    synchronized ImmutableList<Fetch> fetches() {
        return ImmutableList.copyOf(fetches);
    }

    /** Asks for the weights of a model's version on behalf of an engine. */
    record FetchBody(String model, String version, String engine) {
        FetchBody {
            checkNotNull(model, "model");
            checkNotNull(version, "version");
            checkNotNull(engine, "engine");
        }
    }

    /** One admitted fetch; its times are wall time, and it ends also if nobody waits for it. */
    record Fetch(String model, String version, String engine, long atMs, long endsAtMs) {}
}
