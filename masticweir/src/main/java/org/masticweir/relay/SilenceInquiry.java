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

    /** What is known about a silent server. */
    enum State {
        /** The server is alive and has the request. */
        ALIVE,
        /** The server may go on with the request, or may be lost. */
        SILENT,
        /** The server will not go on with the request. */
        LOST
    }

    /**
     * The result of an inquiry.
     *
     * @param reason the reason in words; empty if the server is alive
     */
    record Finding(State state, String reason) {
        private static final Finding ALIVE = new Finding(State.ALIVE, "");
    }

    /**
     * Calls {@code callback} once with the result.
     *
     * @param isRelevant whether the result is still needed; otherwise {@code callback} is not
     *     called
     */
    void start(long nowMs, BooleanSupplier isRelevant, Consumer<Finding> callback) {
        if (silenceTimer.isEventDue()) {
            callback.accept(silent("silent for " + silenceTimer.silenceMs(nowMs) + " ms"));
        } else if (context.metadataRecorder().isPausing(silenceTimer.server().incarnation())) {
            callback.accept(checkDuringPause(nowMs));
        } else {
            probe(isRelevant, callback);
        }
    }

    /** Probes the server, unless it is pausing; parameters as in {@link #start}. */
    void probe(BooleanSupplier isRelevant, Consumer<Finding> callback) {
        if (!context.metadataRecorder().isPausing(silenceTimer.server().incarnation())) {
            EngineStatusProbe.probe(
                    context,
                    silenceTimer.server(),
                    report -> {
                        if (isRelevant.getAsBoolean()) {
                            log.logReport(silenceTimer.server(), report, silenceTimer.sentMs());
                            callback.accept(finding(report));
                        }
                    });
        }
    }

    /**
     * Returns what is known about a server during its pause. A pausing server accepts no probes; it
     * is assumed to be alive unless other sends to it have failed.
     */
    private Finding checkDuringPause(long nowMs) {
        if (context.health().isDown(silenceTimer.server(), nowMs)) {
            return silent("failed during its pause");
        }
        silenceTimer.restart(nowMs);
        return Finding.ALIVE;
    }

    private static Finding silent(String reason) {
        return new Finding(State.SILENT, reason);
    }

    private Finding finding(Optional<EngineReport> report) {
        if (report.isEmpty()) {
            return silent("no sign of life");
        }
        if (!report.get().isFrom(silenceTimer.server().incarnation())) {
            context.health().recordServerGone(silenceTimer.server());
            return new Finding(State.LOST, "has started again");
        }
        long now = context.clock().nowMs();
        if (!silenceTimer.recordReport(report.get(), requestId, now)) {
            return new Finding(State.LOST, "does not have the request any more");
        }
        context.health().recordAnswer(silenceTimer.server().incarnation(), now);
        return Finding.ALIVE;
    }
}
