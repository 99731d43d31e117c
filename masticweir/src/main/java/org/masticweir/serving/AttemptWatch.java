package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.EngineId;
import org.masticweir.recovery.RecoveryEvent;
import org.masticweir.routing.EngineFailure;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RouteChoice;

/**
 * Counts one request's attempts where they run, and reports how their engines fare; owned by the
 * request's thread.
 */
final class AttemptWatch {
    private static final Logger LOG = LogManager.getLogger(AttemptWatch.class);

    /** Tokens charged to a team at once, so that not each of them takes the shares' lock. */
    private static final int CHARGED_AT_ONCE = 32;

    private final ServingContext context;
    private final RequestSpec spec;
    private final ResumeTimer timer;
    private Optional<RouteChoice.Chosen> choice = Optional.empty();
    private Optional<EngineId> engine = Optional.empty();
    private PaceRecorder pace;
    private boolean loaded;
    private long sentAtMs;
    private int tokensNotCharged;

    AttemptWatch(ServingContext context, RunningRequest request) {
        this.context = checkNotNull(context, "context");
        spec = request.spec();
        timer = new ResumeTimer(request.acceptedAtMs());
    }

    /** Takes the choice that the next send follows. */
    void chose(RouteChoice.Chosen chosen) {
        choice = Optional.of(chosen);
    }

    /** Counts an attempt that is about to be sent where the last choice said. */
    void sending(long nowMs, int acceptedTokens, boolean recovering) {
        RouteChoice.Chosen chosen = choice.orElseThrow();
        EngineView view = chosen.view();
        loaded = context.inFlight().expectedLoad(view, nowMs) >= view.usableCapacity();
        begin(view.id(), nowMs);
        timer.sent(nowMs, spec.prompt().length() + acceptedTokens, recovering);
        context.inFlight().sent(chosen, nowMs);
        context.policy().admission().sent(spec.id());
    }

    /** Counts a stream that is read again on {@code from}; it computes no prompt. */
    void rereading(EngineId from, long nowMs) {
        begin(from, nowMs);
        loaded = true;
        timer.rereading(nowMs);
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
        charge(nowMs);
    }

    /** Takes note that {@code tokens} went to the caller, and charges the team for them. */
    void released(int tokens, long nowMs) {
        report(timer.tokens(nowMs), engine.orElseThrow(), tokens);
        tokensNotCharged += tokens;
        if (tokensNotCharged >= CHARGED_AT_ONCE) {
            charge(nowMs);
        }
    }

    void refused() {
        failed(EngineFailure.REFUSED);
    }

    void lost(boolean sent) {
        failed(sent ? EngineFailure.RESET : EngineFailure.CONNECT_FAILED);
    }

    /** Reports what a probe of {@code of} told, once the request has taken it. */
    void probed(EngineId of, RecoveryEvent told) {
        if (told instanceof RecoveryEvent.ProbeWithheld) {
            return;
        }
        boolean alive = !(told instanceof RecoveryEvent.ProbeFailed);
        context.policy().traffic().probed(of, alive);
        boolean left = !engine.equals(Optional.of(of));
        if (!alive && left) {
            context.policy().traffic().failed(of, EngineFailure.SILENT);
        }
    }

    private void report(ResumeTimer.Progress progress, EngineId on, int tokens) {
        if (progress instanceof ResumeTimer.Progress.First first) {
            context.gaps().firstToken(on, first.sinceSentMs());
            // A wait for a place in the batch would pass for a slow prefill.
            if (!loaded) {
                pace.firstToken(prefillTokens(), first.sinceSentMs());
            }
            context.observer().firstToken(spec, first.sinceAcceptedMs());
        } else if (progress instanceof ResumeTimer.Progress.Next next) {
            context.gaps().gap(on, next.gapMs());
            pace.gap(next.gapMs(), tokens);
            context.observer().tokenGap(spec, next.gapMs());
        } else if (progress instanceof ResumeTimer.Progress.Resumed resumed) {
            LOG.info(
                    "recovery: request {} resumed on {} after {} ms, {}",
                    spec.id(),
                    on,
                    resumed.gapMs(),
                    resumed.moved() ? "moved" : "read again");
            context.observer()
                    .resumed(spec, resumed.gapMs(), resumed.moved(), resumed.recomputed());
        }
    }

    private void charge(long nowMs) {
        if (tokensNotCharged > 0) {
            context.policy().shares().recordUsage(spec.team(), tokensNotCharged, nowMs);
            tokensNotCharged = 0;
        }
    }

    private void failed(EngineFailure failure) {
        engine.ifPresent(e -> context.policy().traffic().failed(e, failure));
    }

    private void begin(EngineId next, long nowMs) {
        ended(nowMs);
        engine = Optional.of(next);
        sentAtMs = nowMs;
        pace = context.policy().traffic().pace(next, spec.model());
    }

    private double prefillTokens() {
        return choice.map(c -> c.prefillMs() * c.view().speed().prefillTokensPerMs()).orElse(0.0);
    }
}
