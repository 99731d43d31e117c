package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.Consumer;
import org.masticweir.forward.Relocation;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.forward.SilenceTimer;
import org.masticweir.forward.Step;
import org.masticweir.relay.SilenceInquiry.Finding;
import org.masticweir.relay.SilenceInquiry.State;

/**
 * Supervises the send in flight of one request: notices that its server is silent or slow; runs on
 * the traffic thread.
 */
final class SendSupervisor {
    /** Time between two probes of a silent server whose send is kept, in ms. */
    private static final long KEPT_PROBE_INTERVAL_MS = 500;

    private final RelayContext context;
    private final RelayRequest request;
    private final RequestParameters params;
    private final RequestStateMachine machine;
    private final RequestLog log;
    private final RequestPermits permits;
    private final RequestTimer timer;
    private final RequestGuard guard;
    private final Listener listener;
    private Optional<SilenceTimer> current = Optional.empty();

    /** Time from which a kept send may be probed again. */
    private long nextProbeMs;

    /** Whether the decision on a permit to leave the silent server is pending. */
    private boolean isPermitPending;

    /** Handles the findings about the send in flight. */
    interface Listener {
        /** Records that the server is silent, and that its send is kept. */
        void onServerSilent(String reason);

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
            RequestGuard guard,
            Listener listener) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        params = request.params();
        this.machine = checkNotNull(machine, "machine");
        this.log = checkNotNull(log, "log");
        this.permits = checkNotNull(permits, "permits");
        this.timer = checkNotNull(timer, "timer");
        this.guard = checkNotNull(guard, "guard");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Starts to supervise the send that {@code silence} measures. */
    void start(SilenceTimer silence) {
        current = Optional.of(silence);
        isPermitPending = false;
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

    /** Sets the timer to the next check of the server. */
    private void scheduleTimer(SilenceTimer silence) {
        if (params.route().streams()) {
            setTimer(silence, silence.nextCheckMs(now()));
        } else if (machine.hedgeDelayMs().isPresent()) {
            setTimer(silence, silence.sentMs() + machine.hedgeDelayMs().getAsLong());
        }
    }

    private void setTimer(SilenceTimer silence, long dueMs) {
        timer.set(Math.max(1, dueMs - now()), () -> guard.run(() -> handleTimer(silence)));
    }

    private void handleTimer(SilenceTimer silence) {
        long now = now();
        if (params.route().streams() && silence.needsAction(context.health(), now)) {
            checkSilent(silence, now);
            return;
        }
        if (!params.route().streams()) {
            handleSlowAnswer(silence, now);
            return;
        }
        scheduleTimer(silence);
    }

    private void checkSilent(SilenceTimer silence, long now) {
        if (silence.isKept()) {
            moveOrKeep(silence, "silent for " + silence.silenceMs(now) + " ms");
        } else {
            boolean isEventDue = silence.isEventDue();
            inquiry(silence)
                    .start(
                            now,
                            () -> isCurrent(silence),
                            finding ->
                                    guard.run(() -> handleFinding(silence, isEventDue, finding)));
        }
    }

    private SilenceInquiry inquiry(SilenceTimer silence) {
        return new SilenceInquiry(context, log, request.id(), silence);
    }

    /**
     * Handles the finding of an inquiry. A server that has sent its first event meanwhile is not
     * silent, even if the probe was not answered.
     */
    private void handleFinding(SilenceTimer silence, boolean wasEventDue, Finding finding) {
        boolean hasSpoken = silence.isEventDue() && !wasEventDue;
        if (finding.state() == State.LOST) {
            listener.onServerLost(finding.reason());
        } else if (finding.state() == State.ALIVE || hasSpoken) {
            scheduleTimer(silence);
        } else {
            moveOrKeep(silence, finding.reason());
        }
    }

    /**
     * Gives a silent server up if the request can be sent to another server now. Otherwise keeps
     * the send, because the server may go on.
     */
    private void moveOrKeep(SilenceTimer silence, String reason) {
        long now = now();
        machine.onSilence(silence.server(), now);
        Relocation relocation = machine.relocation(silence.server(), now);
        if (relocation.isPossible()) {
            listener.onServerLost(reason);
            return;
        }
        keep(silence, reason, now);
        relocation.neededPermit().ifPresent(permit -> acquirePermit(silence, permit));
    }

    private void keep(SilenceTimer silence, String reason, long now) {
        boolean isNewlySilent = !silence.isKept();
        silence.keep(now);
        scheduleTimer(silence);
        if (isNewlySilent) {
            listener.onServerSilent(reason);
            nextProbeMs = now;
        }
        if (now >= nextProbeMs) {
            nextProbeMs = now + KEPT_PROBE_INTERVAL_MS;
            inquiry(silence)
                    .probe(
                            () -> isCurrent(silence) && silence.isKept(),
                            finding -> guard.run(() -> handleKeptProbe(finding)));
        }
    }

    private void handleKeptProbe(Finding finding) {
        if (finding.state() == State.LOST) {
            listener.onServerLost(finding.reason());
        }
    }

    private void acquirePermit(SilenceTimer silence, Step permit) {
        if (isPermitPending) {
            return;
        }
        isPermitPending = true;
        Consumer<Boolean> callback =
                granted -> guard.run(() -> handlePermit(silence, permit, granted));
        if (permit instanceof Step.AcquirePermit server) {
            permits.requestServerPermit(server.server(), server.urgency(), callback);
        } else if (permit instanceof Step.AcquireRetryPermit retry) {
            permits.requestRetryPermit(params.service(), retry.urgency(), callback);
        }
    }

    private void handlePermit(SilenceTimer silence, Step permit, boolean granted) {
        if (!isCurrent(silence)) {
            return;
        }
        isPermitPending = false;
        machine.onRelocationPermit(permit, granted, now());
        if (granted && silence.isKept()) {
            checkSilent(silence, now());
        }
    }

    private void handleSlowAnswer(SilenceTimer silence, long now) {
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
                    granted -> guard.run(() -> hedgeIfGranted(silence, granted)));
        }
    }

    private void hedgeIfGranted(SilenceTimer silence, boolean granted) {
        if (isCurrent(silence)) {
            hedge(silence, machine.onRetryDecision(granted, now()));
        }
    }

    private long now() {
        return context.clock().nowMs();
    }
}
