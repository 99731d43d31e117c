package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.recovery.RecoveryEvent;
import org.masticweir.routing.EngineFailure;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RouteChoice;

/**
 * Counts one request's attempts where they run, and reports how their engines fare; owned by the
 * request's thread.
 */
final class AttemptWatch {
    private final ServingContext context;
    private final ModelId model;
    private Optional<RouteChoice.Chosen> choice = Optional.empty();
    private Optional<EngineId> engine = Optional.empty();
    private PaceRecorder pace;
    private boolean loaded;
    private long sentAtMs;

    AttemptWatch(ServingContext context, ModelId model) {
        this.context = checkNotNull(context, "context");
        this.model = checkNotNull(model, "model");
    }

    /** Takes the choice that the next send follows. */
    void chose(RouteChoice.Chosen chosen) {
        choice = Optional.of(chosen);
    }

    /** Counts an attempt that is about to be sent where the last choice said. */
    void sending(long nowMs) {
        RouteChoice.Chosen chosen = choice.orElseThrow();
        EngineView view = chosen.view();
        loaded = context.inFlight().expectedLoad(view, nowMs) >= view.usableCapacity();
        begin(view.id(), nowMs);
        context.inFlight().sent(chosen, nowMs);
    }

    /** Counts a stream that is read again on {@code from}; it computes no prompt. */
    void rereading(EngineId from, long nowMs) {
        begin(from, nowMs);
        loaded = true;
        context.inFlight().sent(from, nowMs);
    }

    /** Counts the attempt under way, if any, as over. */
    void ended(long nowMs) {
        engine.ifPresent(
                e -> {
                    context.inFlight().finished(e, nowMs);
                    pace.held(nowMs - sentAtMs);
                });
        engine = Optional.empty();
    }

    /** Returns the engine of the attempt under way. */
    Optional<EngineId> engine() {
        return engine;
    }

    void firstToken(long ms) {
        context.gaps().firstToken(engine.orElseThrow(), ms);
        // A wait for a place in the batch would pass for a slow prefill.
        if (!loaded) {
            pace.firstToken(prefillTokens(), ms);
        }
    }

    void gap(long ms) {
        context.gaps().gap(engine.orElseThrow(), ms);
        pace.gap(ms);
    }

    void refused() {
        failed(EngineFailure.REFUSED);
    }

    void lost(boolean sent) {
        failed(sent ? EngineFailure.RESET : EngineFailure.CONNECT_FAILED);
    }

    /** Reports what a probe of {@code of} told, once the request has taken it. */
    void probed(EngineId of, RecoveryEvent told) {
        boolean alive = !(told instanceof RecoveryEvent.ProbeFailed);
        context.policy().traffic().probed(of, alive);
        boolean left = !engine.equals(Optional.of(of));
        if (!alive && left) {
            context.policy().traffic().failed(of, EngineFailure.SILENT);
        }
    }

    private void failed(EngineFailure failure) {
        engine.ifPresent(e -> context.policy().traffic().failed(e, failure));
    }

    private void begin(EngineId next, long nowMs) {
        ended(nowMs);
        engine = Optional.of(next);
        sentAtMs = nowMs;
        pace = context.policy().traffic().pace(next, model);
    }

    private double prefillTokens() {
        return choice.map(c -> c.prefillMs() * c.view().speed().prefillTokensPerMs()).orElse(0.0);
    }
}
