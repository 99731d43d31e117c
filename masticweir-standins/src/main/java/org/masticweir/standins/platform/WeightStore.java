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
    private final long loadMs;
    private final EvictingQueue<Fetch> fetches = EvictingQueue.create(MAX_FETCHES);

    WeightStore(Clock clock, double loadsPerS, long loadMs) {
        checkArgument(loadMs >= 0, "load of %s ms", loadMs);
        this.clock = clock;
        this.loadMs = loadMs;
        limit = RateLimit.perS(loadsPerS, clock.nowMs());
    }

    /** Admits a fetch and returns 0, or returns the milliseconds after which to come back. */
    synchronized long fetch(FetchBody body) {
        long retryAfterMs = limit.take(clock.nowMs());
        if (retryAfterMs == 0) {
            fetches.add(new Fetch(body.model(), body.version(), body.engine(), clock.wallMs()));
        }
        return retryAfterMs;
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

    /** One admitted fetch; its time is wall time. */
    record Fetch(String model, String version, String engine, long atMs) {}
}
