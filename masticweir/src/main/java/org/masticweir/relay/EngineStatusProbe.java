package org.masticweir.relay;

import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.EngineReport;
import org.masticweir.http.HttpOutcome;

/**
 * Probes an engine that has not started a request in time; runs on the traffic thread.
 *
 * <p>An engine sends no events during the prefill of a prompt. The absence of events therefore does
 * not show whether the engine failed or dropped the request. A wait for the longest possible
 * prefill would miss the time goal of the request. An engine that is alive answers the probe at
 * once.
 */
final class EngineStatusProbe {
    private static final Logger LOG = LogManager.getLogger(EngineStatusProbe.class);

    /** Timeout of the call, in ms: one round trip and the response time of a busy engine. */
    private static final long TIMEOUT_MS = 300;

    private EngineStatusProbe() {}

    /**
     * Calls {@code callback} once with the report of {@code engine}, or with an empty value if the
     * engine has stopped or does not respond.
     */
    static void probe(
            RelayContext context, BackendServer engine, Consumer<Optional<EngineReport>> callback) {
        context.limits().recordProbe(engine.incarnation());
        context.serverCaller()
                .call(engine, context.protocol().engineProbeCall(engine), TIMEOUT_MS)
                .thenAccept(
                        outcome -> {
                            context.metadataRecorder().recordCall(engine.incarnation(), outcome);
                            callback.accept(parseReport(context.protocol(), outcome));
                        });
    }

    static Optional<EngineReport> parseReport(PlatformProtocol protocol, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.answer().isSuccess()) {
            try {
                return Optional.of(protocol.parseEngineReport(answered.answer().text()));
            } catch (IllegalArgumentException e) {
                LOG.warn("relay: malformed engine report, {}", e.getMessage());
            }
        }
        return Optional.empty();
    }
}
