package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.masticweir.forward.EngineReport;
import org.masticweir.forward.SilenceTimer;

/**
 * Finds out whether a server that is silent for too long still has a request; on the traffic
 * thread.
 */
final class SilenceInquiry {
    private final RelayContext context;
    private final RequestLog log;
    private final String requestId;
    private final SilenceTimer silence;

    SilenceInquiry(RelayContext context, RequestLog log, String requestId, SilenceTimer silence) {
        this.context = checkNotNull(context, "context");
        this.log = checkNotNull(log, "log");
        this.requestId = checkNotNull(requestId, "requestId");
        this.silence = checkNotNull(silence, "silence");
    }

    /**
     * Tells {@code then}, once, why the server is lost, or nothing if it gets more time.
     *
     * @param isRelevant whether an answer still matters; if not, it changes nothing
     */
    void start(long nowMs, BooleanSupplier isRelevant, Consumer<Optional<String>> callback) {
        if (silence.isLossCertain()) {
            callback.accept(Optional.of("silent for " + silence.silentMs(nowMs) + " ms"));
        } else if (context.answerMetadata().isPausing(silence.server().incarnation())) {
            callback.accept(checkDuringPause(nowMs));
        } else {
            EngineStatusProbe.probe(
                    context,
                    silence.server(),
                    report -> {
                        if (isRelevant.getAsBoolean()) {
                            log.logReport(silence.server(), report, silence.sentMs());
                            callback.accept(lossReason(report));
                        }
                    });
        }
    }

    /** A server that takes no calls is believed to live unless other sends to it have failed. */
    private Optional<String> checkDuringPause(long nowMs) {
        if (context.health().isDown(silence.server(), nowMs)) {
            return Optional.of("failed while it took no calls");
        }
        silence.restart(nowMs);
        return Optional.empty();
    }

    private Optional<String> lossReason(Optional<EngineReport> report) {
        if (report.isEmpty()) {
            return Optional.of("no sign of life");
        }
        if (!report.get().isFrom(silence.server().incarnation())) {
            context.health().recordGone(silence.server());
            return Optional.of("has started again");
        }
        long now = context.clock().nowMs();
        if (!silence.recordReport(report.get(), requestId, now)) {
            return Optional.of("does not have the request any more");
        }
        context.health().recordAnswer(silence.server().incarnation(), now);
        return Optional.empty();
    }
}
