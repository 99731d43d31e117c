package org.masticweir.relay;

import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.EngineReport;
import org.masticweir.http.HttpOutcome;

/**
 * Asks an engine that has not begun a request in time what it is doing; on the traffic thread.
 *
 * <p>Failure guarded against: an engine goes dark while it reads a prompt, or drops the request
 * without a sign. It is silent while it reads in any case, so silence says nothing, and waiting for
 * the longest reading time would cost the goal. A living engine answers this call at once.
 */
final class AliveCheck {
    private static final Logger LOG = LogManager.getLogger(AliveCheck.class);

    /** Time for the answer, in ms: a way there and back and a busy engine's turn. */
    private static final long ANSWER_MS = 300;

    private AliveCheck() {}

    /** Tells {@code then}, once, what {@code engine} says; nothing if it is gone or silent. */
    static void ask(
            RelayContext context, BackendServer engine, Consumer<Optional<EngineReport>> then) {
        context.limits().recordProbe(engine.incarnation());
        context.calls()
                .call(context.dialect().engineProbeCall(engine), ANSWER_MS)
                .thenAccept(
                        outcome -> {
                            context.notices().called(engine.incarnation(), outcome);
                            then.accept(report(context.dialect(), outcome));
                        });
    }

    static Optional<EngineReport> report(PlatformProtocol dialect, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.answer().isSuccess()) {
            try {
                return Optional.of(dialect.parseEngineReport(answered.answer().text()));
            } catch (IllegalArgumentException e) {
                LOG.warn("relay: an engine's report is not understood, {}", e.getMessage());
            }
        }
        return Optional.empty();
    }
}
