package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.forward.SilenceTimer;
import org.masticweir.forward.Step;

/**
 * Supervises the send in flight of one request: notices that its server is silent or slow, and that
 * the deadline of the request has passed; runs on the traffic thread.
 */
final class SendSupervisor {
    private final RelayContext context;
    private final RelayRequest request;
    private final RequestParameters params;
    private final RequestStateMachine machine;
    private final RequestLog log;
    private final RequestPermits permits;
    private final RequestTimer timer;
    private final Listener listener;
    private Optional<SilenceTimer> current = Optional.empty();

    /** Handles the findings about the send in flight. */
    interface Listener {
        void onDeadline();

        /** Handles the loss of the server; the request goes on elsewhere or ends. */
        void onServerLost(String reason);

        /** Replaces the send, whose server has sent no answer, by {@code step}. */
        void onHedge(Step.Send step);
    }

    SendSupervisor(
            RelayContext context,
            RelayRequest request,
            RequestStateMachine machine,
            RequestLog log,
            RequestPermits permits,
            RequestTimer timer,
            Listener listener) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        params = request.params();
        this.machine = checkNotNull(machine, "machine");
        this.log = checkNotNull(log, "log");
        this.permits = checkNotNull(permits, "permits");
        this.timer = checkNotNull(timer, "timer");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Starts to supervise the send that {@code silence} measures. */
    void start(SilenceTimer silence) {
        current = Optional.of(silence);
        scheduleTimer(silence);
    }

    /** Stops the supervision. */
    void stop() {
        current = Optional.empty();
        timer.close();
    }

    private boolean isCurrent(SilenceTimer silence) {
        return current.isPresent() && current.get() == silence;
    }

    /** Sets the timer to the earlier of the deadline and the next check of the server. */
    private void scheduleTimer(SilenceTimer silence) {
        long dueMs = params.expiresMs();
        if (params.route().streams()) {
            dueMs = Math.min(dueMs, silence.nextCheckMs(now()));
        } else if (machine.hedgeDelayMs().isPresent()) {
            dueMs = Math.min(dueMs, silence.sentMs() + machine.hedgeDelayMs().getAsLong());
        }
        timer.set(Math.max(1, dueMs - now()), () -> handleTimer(silence));
    }

    private void handleTimer(SilenceTimer silence) {
        long now = now();
        if (now >= params.expiresMs()) {
            listener.onDeadline();
            return;
        }
        if (params.route().streams() && silence.needsAction(context.health(), now)) {
            inquireSilence(silence, now);
            return;
        }
        if (!params.route().streams()) {
            handleSlowAnswer(silence, now);
            return;
        }
        scheduleTimer(silence);
    }

    private void inquireSilence(SilenceTimer silence, long now) {
        new SilenceInquiry(context, log, request.id(), silence)
                .start(
                        now,
                        () -> isCurrent(silence),
                        loss ->
                                loss.ifPresentOrElse(
                                        listener::onServerLost, () -> scheduleTimer(silence)));
    }

    private void handleSlowAnswer(SilenceTimer silence, long now) {
        timer.set(Math.max(1, params.expiresMs() - now), () -> handleTimer(silence));
        machine.onSlowAnswer(now).ifPresent(step -> hedge(silence, step));
    }

    /** Replaces the current send once a retry permit is granted. */
    private void hedge(SilenceTimer silence, Step step) {
        if (step instanceof Step.Send send) {
            listener.onHedge(send);
        } else if (step instanceof Step.AcquireRetryPermit retry) {
            permits.requestRetryPermit(
                    params.service(),
                    retry.urgency(),
                    granted -> {
                        if (isCurrent(silence)) {
                            hedge(silence, machine.onRetryDecision(granted, now()));
                        }
                    });
        }
    }

    private long now() {
        return context.clock().nowMs();
    }
}
