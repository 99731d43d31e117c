package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.generation.AnswerLog;
import org.masticweir.generation.RequestSpec;
import org.masticweir.recovery.copy.OwnedAnswer;

/**
 * One request that this router owns, under way or finished and still readable.
 *
 * <p>Thread-safe: what changes is in the log, or written by the request's I/O thread and read as a
 * whole.
 */
public final class RunningRequest {
    private final RequestSpec spec;
    private final AnswerLog log = new AnswerLog();
    private final long acceptedAtMs;
    private volatile Optional<OwnedAnswer> owned = Optional.empty();
    private volatile Placement placement = Placement.NONE;
    private volatile boolean shared;
    private volatile Runnable canceller = () -> {};

    RunningRequest(RequestSpec spec, long acceptedAtMs) {
        this.spec = checkNotNull(spec, "spec");
        this.acceptedAtMs = acceptedAtMs;
    }

    public RequestSpec spec() {
        return spec;
    }

    public AnswerLog log() {
        return log;
    }

    public long acceptedAtMs() {
        return acceptedAtMs;
    }

    /** Tells whether another submission of the key is known of, here or at another router. */
    public boolean shared() {
        return shared;
    }

    void share() {
        shared = true;
    }

    /** Returns the answer as other routers may read it, while this router owns the request. */
    public Optional<OwnedAnswer> owned() {
        return owned;
    }

    void ownedAs(Optional<OwnedAnswer> now) {
        owned = checkNotNull(now, "now");
    }

    public Placement placement() {
        return placement;
    }

    /** Asks the request's own thread to give it up; does nothing once it has ended. */
    public void cancel() {
        canceller.run();
    }

    void placedAt(Placement now) {
        placement = checkNotNull(now, "now");
    }

    void cancelWith(Runnable how) {
        canceller = checkNotNull(how, "how");
    }

    /** Where a request's generation runs; the engine's name is empty before the first attempt. */
    public record Placement(String engine, int generation, int attempt) {
        static final Placement NONE = new Placement("", 1, 0);
    }
}
