package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.masticweir.forward.EngineReport;
import org.masticweir.forward.SilenceTimer;

/**
 * Determines whether a server still has a request after its silence timeout; runs on the traffic
 * thread.
 */
final class SilenceInquiry {
    private final RelayContext context;
    private final RequestLog log;
    private final String requestId;
    private final SilenceTimer silenceTimer;

    SilenceInquiry(
            RelayContext context, RequestLog log, String requestId, SilenceTimer silenceTimer) {
        this.context = checkNotNull(context, "context");
        this.log = checkNotNull(log, "log");
        this.requestId = checkNotNull(requestId, "requestId");
        this.silenceTimer = checkNotNull(silenceTimer, "silenceTimer");
    }

    /**
     * Calls {@code callback} once with the reason of the loss, or with an empty value if the server
     * is not lost.
     *
     * @param isRelevant whether the result is still needed; otherwise {@code callback} is not
     *     called
     */
    void start(long nowMs, BooleanSupplier isRelevant, Consumer<Optional<String>> callback) {
        if (silenceTimer.isLossCertain()) {
            callback.accept(Optional.of("silent for " + silenceTimer.silenceMs(nowMs) + " ms"));
        } else if (context.metadataRecorder().isPausing(silenceTimer.server().incarnation())) {
            callback.accept(checkDuringPause(nowMs));
        } else {
            EngineStatusProbe.probe(
                    context,
                    silenceTimer.server(),
                    report -> {
                        if (isRelevant.getAsBoolean()) {
                            log.logReport(silenceTimer.server(), report, silenceTimer.sentMs());
                            callback.accept(lossReason(report));
                        }
                    });
        }
    }

    /**
     * Returns the reason of the loss of a server during its pause. A pausing server accepts no
     * probes; it is assumed to be alive unless other sends to it have failed.
     */
    private Optional<String> checkDuringPause(long nowMs) {
        if (context.health().isDown(silenceTimer.server(), nowMs)) {
            return Optional.of("failed during its pause");
        }
        silenceTimer.restart(nowMs);
        return Optional.empty();
    }

    private Optional<String> lossReason(Optional<EngineReport> report) {
        if (report.isEmpty()) {
            return Optional.of("no sign of life");
        }
        if (!report.get().isFrom(silenceTimer.server().incarnation())) {
            context.health().recordServerGone(silenceTimer.server());
            return Optional.of("has started again");
        }
        long now = context.clock().nowMs();
        if (!silenceTimer.recordReport(report.get(), requestId, now)) {
            return Optional.of("does not have the request any more");
        }
        context.health().recordAnswer(silenceTimer.server().incarnation(), now);
        return Optional.empty();
    }
}
