package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Iterables;
import com.google.common.primitives.ImmutableIntArray;
import java.util.OptionalLong;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;
import org.masticweir.recovery.RecoveryAction;
import org.masticweir.recovery.RecoveryEvent;
import org.masticweir.recovery.RecoveryMachine;
import org.masticweir.recovery.RecoveryPlan;

/** Replays what engines and links did to one request through its recovery machine. */
final class AnswerReplay extends Replay {
    private static final long BOUND_MS = 200;
    private static final int MAX_ATTEMPTS = 8;
    private static final long NO_ENGINE_WAIT_MS = 5_000;

    private final AnswerOutcome answer = new AnswerOutcome();
    private RecoveryMachine machine;
    private OptionalLong wakeAt = OptionalLong.empty();

    @Override
    void passTo(long ms) {
        while (wakeAt.isPresent() && wakeAt.getAsLong() <= ms) {
            moveTo(wakeAt.getAsLong());
            wakeAt = OptionalLong.empty();
            feed(new RecoveryEvent.Tick());
        }
        moveTo(ms);
    }

    @Override
    void apply(Trace.Event event) {
        if (event.kind().equals("submitted")) {
            machine = RecoveryMachine.of(plan(event), (engine, first) -> BOUND_MS);
            machine.start(nowMs()).forEach(this::carryOut);
        } else {
            feed(eventOf(event));
        }
    }

    private RecoveryPlan plan(Trace.Event event) {
        return new RecoveryPlan(
                generation(event),
                event.flag("idempotent"),
                event.flag("allow_reset"),
                RecoveryPreset.PROMPT,
                nowMs() + event.number("total_ms"),
                MAX_ATTEMPTS,
                NO_ENGINE_WAIT_MS);
    }

    private static GenerationId generation(Trace.Event event) {
        return GenerationId.of(RequestId.of("r"), event.number("generation", 1));
    }

    private static AttemptId attempt(Trace.Event event) {
        return AttemptId.of(generation(event), event.number("attempt"));
    }

    /** Returns the attempt whose stream a frame came on; a wrong echo names another one in it. */
    private static AttemptId stream(Trace.Event event) {
        int opened = event.number("stream", 0);
        GenerationId first = GenerationId.of(RequestId.of("r"), 1);
        return opened == 0 ? attempt(event) : AttemptId.of(first, opened);
    }

    private static RecoveryEvent eventOf(Trace.Event event) {
        return switch (event.kind()) {
            case "chosen" -> new RecoveryEvent.EngineChosen(EngineId.of(event.text("engine")));
            case "no_engine" -> new RecoveryEvent.NoEngine(event.flag("version_gone"), BOUND_MS);
            case "refused" -> new RecoveryEvent.Refused(attempt(event), BOUND_MS);
            case "unknown" -> new RecoveryEvent.Unknown(attempt(event));
            case "lost" -> new RecoveryEvent.LinkLost(attempt(event), event.flag("sent"));
            case "probe_failed" -> new RecoveryEvent.ProbeFailed(attempt(event));
            case "probe_answered" ->
                    new RecoveryEvent.ProbeAnswered(attempt(event), event.number("next"));
            case "cancelled" -> new RecoveryEvent.Cancelled();
            default -> new RecoveryEvent.Received(stream(event), frame(event));
        };
    }

    private static Frame frame(Trace.Event event) {
        return switch (event.kind()) {
            case "start" -> new Frame.Start(attempt(event), event.number("first"));
            case "tokens" ->
                    new Frame.Tokens(attempt(event), event.number("index"), tokensOf(event));
            case "end" -> new Frame.End(attempt(event), event.number("index"));
            default -> throw unknown(event);
        };
    }

    private static ImmutableIntArray tokensOf(Trace.Event event) {
        Iterable<JsonNode> ids = event.fields().path("tokens");
        return ImmutableIntArray.copyOf(Iterables.transform(ids, JsonNode::asInt));
    }

    private void feed(RecoveryEvent event) {
        machine.on(event, nowMs()).forEach(this::carryOut);
    }

    private void carryOut(RecoveryAction action) {
        if (action instanceof RecoveryAction.Release release) {
            release.tokens().asList().forEach(answer::release);
        } else if (action instanceof RecoveryAction.Send) {
            answer.sent();
        } else if (action instanceof RecoveryAction.NewGeneration) {
            answer.reset();
        } else if (action instanceof RecoveryAction.Finish) {
            answer.end("COMPLETED");
        } else if (action instanceof RecoveryAction.Fail fail) {
            answer.end(fail.error().verdict().name());
        } else if (action instanceof RecoveryAction.WakeAt wake) {
            wakeAt = OptionalLong.of(wake.atMs());
        }
    }

    @Override
    JsonNode outcome() {
        return answer.toJson();
    }
}
