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
    private final String request;
    private final SilenceTimer silence;

    SilenceInquiry(RelayContext context, RequestLog log, String request, SilenceTimer silence) {
        this.context = checkNotNull(context, "context");
        this.log = checkNotNull(log, "log");
        this.request = checkNotNull(request, "request");
        this.silence = checkNotNull(silence, "silence");
    }

    /**
     * Tells {@code then}, once, why the server is lost, or nothing if it gets more time.
     *
     * @param wanted whether an answer still matters; if not, it changes nothing
     */
    void start(long nowMs, BooleanSupplier wanted, Consumer<Optional<String>> then) {
        if (silence.isLossCertain()) {
            then.accept(Optional.of("silent for " + silence.silentMs(nowMs) + " ms"));
        } else if (context.notices().isPausing(silence.server().incarnation())) {
            then.accept(awaitPause(nowMs));
        } else {
            AliveCheck.ask(
                    context,
                    silence.server(),
                    report -> {
                        if (wanted.getAsBoolean()) {
                            log.reported(silence.server(), report, silence.sentMs());
                            then.accept(loss(report));
                        }
                    });
        }
    }

    /** A server that takes no calls is believed to live unless other sends to it have failed. */
    private Optional<String> awaitPause(long nowMs) {
        if (context.health().isDown(silence.server(), nowMs)) {
            return Optional.of("failed while it took no calls");
        }
        silence.restart(nowMs);
        return Optional.empty();
    }

    private Optional<String> loss(Optional<EngineReport> report) {
        if (report.isEmpty()) {
            return Optional.of("no sign of life");
        }
        if (!report.get().isFrom(silence.server().incarnation())) {
            context.health().recordGone(silence.server());
            return Optional.of("has started again");
        }
        long now = context.clock().nowMs();
        if (!silence.recordReport(report.get(), request, now)) {
            return Optional.of("does not have the request any more");
        }
        context.health().recordAnswer(silence.server().incarnation(), now);
        return Optional.empty();
    }
}
