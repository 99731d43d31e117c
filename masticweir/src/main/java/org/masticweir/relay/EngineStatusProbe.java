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
final class EngineStatusProbe {
    private static final Logger LOG = LogManager.getLogger(EngineStatusProbe.class);

    /** Time for the answer, in ms: a way there and back and a busy engine's turn. */
    private static final long TIMEOUT_MS = 300;

    private EngineStatusProbe() {}

    /** Tells {@code then}, once, what {@code engine} says; nothing if it is gone or silent. */
    static void probe(
            RelayContext context, BackendServer engine, Consumer<Optional<EngineReport>> callback) {
        context.limits().recordProbe(engine.incarnation());
        context.calls()
                .call(context.protocol().engineProbeCall(engine), TIMEOUT_MS)
                .thenAccept(
                        outcome -> {
                            context.answerMetadata().recordCall(engine.incarnation(), outcome);
                            callback.accept(parseReport(context.protocol(), outcome));
                        });
    }

    static Optional<EngineReport> parseReport(PlatformProtocol protocol, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.answer().isSuccess()) {
            try {
                return Optional.of(protocol.parseEngineReport(answered.answer().text()));
            } catch (IllegalArgumentException e) {
                LOG.warn("relay: an engine's report is not understood, {}", e.getMessage());
            }
        }
        return Optional.empty();
    }
}
