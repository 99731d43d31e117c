package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The plain policy for an answer: release every frame, send wherever there is room, and call a
 * request not run when its last attempt was refused.
 */
final class PlainAnswerReplay extends Replay {
    private final AnswerOutcome answer = new AnswerOutcome();
    private boolean refused = true;

    @Override
    void apply(Trace.Event event) {
        switch (event.kind()) {
            case "chosen" -> {
                answer.sent();
                refused = false;
            }
            case "tokens" -> event.fields().path("tokens").forEach(t -> answer.release(t.asInt()));
            case "refused" -> refused = true;
            case "end" -> answer.end("COMPLETED");
            case "no_engine", "cancelled" -> answer.end(refused ? "NOT_RUN" : "MAY_HAVE_RUN");
            default -> {}
        }
    }

    @Override
    JsonNode outcome() {
        return answer.toJson();
    }
}
