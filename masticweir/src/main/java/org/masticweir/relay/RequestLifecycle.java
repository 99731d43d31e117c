package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.error.ErrorCode;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.forward.SilenceTimer;
import org.masticweir.forward.Step;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.id.RouterId;
import org.masticweir.path.ConnectFailure;
import org.masticweir.quarantine.RequestContent;
import org.masticweir.relay.RelayMetrics.SendEnd;

/**
 * Lifecycle of one request after its body was read; owns its timer, connection and load entry.
 * Executes the steps of its {@link RequestStateMachine}; runs on the traffic thread.
 */
final class RequestLifecycle implements InFlightRequests.Request, SendSupervisor.Listener {
    private final RelayContext context;
    private final RequestParameters params;
    private final RelayRequest request;
    private final RequestStateMachine machine;
    private final RequestLog log;
    private final SendEnds sendEnds;
    private final RelayMetrics.RequestMetrics metrics;
    private final CallerAnswerWriter writer;
    private final CallerDisconnectDetector detector;
    private final EventRelay events;
    private final ErrorAnswers errorAnswers;
    private final ContentMonitor monitor;
    private final RequestTimer timer;
    private final RequestTimer deadlineTimer;
    private final RequestGuard guard;
    private final WaitingSteps waits;
    private final CutRecorder cuts;
    private final RequestPermits permits;
    private final SendSupervisor supervisor;
    private Optional<ServerSend> send = Optional.empty();
    private Optional<SendLoad> load = Optional.empty();
    private SilenceTimer silence;
    private int sendNumber;
    private boolean isSendWritten;
    private boolean isEnded;

    /** Delivers a server's error answer, unless the request is sent to another server at once. */
    private Optional<Runnable> errorAnswer = Optional.empty();

    RequestLifecycle(RelayContext context, RelayRequest request, HttpServerExchange exchange) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        params = request.params();
        monitor = new ContentMonitor(context, request);
        timer = new RequestTimer(context.thread(), context.clock());
        deadlineTimer = new RequestTimer(context.thread(), context.clock());
        guard = new RequestGuard(deadlineTimer, context.clock(), this::handleFailure);
        log = new RequestLog(context, request);
        sendEnds = new SendEnds(context, log, monitor);
        permits = new RequestPermits(context, log);
        metrics = context.metrics().request(params.route().name(), request.team());
        machine =
                RequestStateMachine.of(
                        params,
                        () -> context.view().get().serversOf(params.service()),
                        context.selector(),
                        context.health(),
                        context.retryLimiter(),
                        monitor.policy(),
                        context.waitQueue(),
                        context.random());
        waits =
                new WaitingSteps(
                        context, params, machine, log, permits, timer, guard, this::execute);
        writer = new CallerAnswerWriter(exchange, context.answerPool(), this::onCut);
        cuts = new CutRecorder(context, log, writer, timer, deadlineTimer);
        detector = CallerDisconnectDetector.start(exchange, this::onCut);
        supervisor =
                new SendSupervisor(context, request, machine, log, permits, timer, guard, this);
        events = new EventRelay(context, params, machine, writer, metrics, log);
        errorAnswers = new ErrorAnswers(context.protocol(), machine, log, metrics);
    }

    void start() {
        guard.start(params.expiresMs(), this::handleDeadline);
        context.inFlightRequests().add(this);
        waits.next();
    }

    private void execute(Step step) {
        if (isEnded) {
            return;
        }
        if (errorAnswer.isPresent() && !step.mayLeadToSend()) {
            errorAnswer.get().run();
        } else if (step instanceof Step.Send next) {
            errorAnswer = Optional.empty();
            send(next);
        } else if (step instanceof Step.End end) {
            boolean isDeadline = end.code() == ErrorCode.DEADLINE_EXCEEDED;
            end(end, isDeadline ? CutReason.DEADLINE : CutReason.NO_FURTHER_SEND);
        } else {
            waits.execute(step);
        }
    }

    private void send(Step.Send next) {
        detector.checkClosed();
        if (isEnded) {
            return;
        }
        sendNumber++;
        isSendWritten = false;
        monitor.beginSend();
        int number = sendNumber;
        log.logSend(next, number);
        context.metrics().countSend(next.server(), sendNumber);
        load = Optional.of(SendLoad.open(context, next, params.size()));
        silence = SilenceTimer.of(next, params, context.loads(), context.silenceTimeouts(), now());
        ServerSend newSend =
                ServerSend.open(
                        context,
                        next.server(),
                        () -> guard.get(() -> callTo(next, number)),
                        request.id(),
                        params.route().streams(),
                        new GuardedSendListener(guard, new Listener(next, number)));
        // The connection may have failed, or the request ended, before open() returned.
        if (!isEnded && number == sendNumber && silence != null) {
            send = Optional.of(newSend);
            supervisor.start(silence);
        } else {
            newSend.close();
        }
    }

    /**
     * Returns the call for a server that has accepted the connection, with the remaining time. If
     * the send is no longer allowed, executes the next step and returns an empty value.
     */
    private Optional<HttpCall> callTo(Step.Send next, int number) {
        detector.checkClosed();
        if (isEnded || number != sendNumber) {
            return Optional.empty();
        }
        long now = now();
        if (now >= params.expiresMs() || !machine.mayStillSend(next.server(), now)) {
            sendEnds.recordNotRun(
                    next.server(), SendEnd.NOT_REACHED, "was reached too late", silence.sentMs());
            abortUnwrittenSend();
            closeSend(false);
            execute(machine.next(now));
            return Optional.empty();
        }
        isSendWritten = true;
        return Optional.of(request.toCall(next, context.protocol(), now));
    }

    /** Reports a send that has not left this process as not run. */
    private void abortUnwrittenSend() {
        if (silence != null && !isSendWritten) {
            isSendWritten = true;
            machine.onSendAborted(now());
        }
    }

    private void handleDeadline() {
        if (errorAnswer.isPresent()) {
            errorAnswer.get().run();
            return;
        }
        abortUnwrittenSend();
        end(machine.endAtDeadline(), CutReason.DEADLINE);
    }

    @Override
    public void onServerSilent(String reason) {
        sendEnds.recordKept(silence.server(), reason, silence.sentMs());
        context.onLoadsChanged().run();
    }

    @Override
    public void onServerLost(String reason) {
        BackendServer server = silence.server();
        sendEnds.recordLost(server, SendEnd.SILENT, reason, silence.sentMs());
        events.handleServerLoss();
        closeSend(false);
        execute(machine.onSendLost(server, now()));
        context.onLoadsChanged().run();
    }

    @Override
    public void onHedge(Step.Send step) {
        sendEnds.recordAbandoned(
                silence.server(), SendEnd.SILENT, "sent no answer", silence.sentMs());
        closeSend(false);
        execute(step);
    }

    @Override
    public RequestContent content() {
        return monitor.content();
    }

    @Override
    public OptionalLong provenRunStartMs() {
        return !isEnded && silence != null ? monitor.provenRunStartMs(now()) : OptionalLong.empty();
    }

    @Override
    public Optional<StartedRun> startedRunAt(ServerIncarnation server) {
        if (isEnded || silence == null || !isSendWritten) {
            return Optional.empty();
        }
        boolean isThere = silence.server().incarnation().equals(server);
        return isThere ? monitor.startedRun(silence.sentMs(), now()) : Optional.empty();
    }

    @Override
    public void onQuarantined() {
        guard.run(this::endInQuarantine);
    }

    private void endInQuarantine() {
        if (!isEnded && silence == null) {
            execute(machine.endInQuarantine(now()));
        } else if (!isEnded && monitor.mustStop(now())) {
            sendEnds.recordAbandoned(
                    silence.server(), SendEnd.STOPPED, "was left", silence.sentMs());
            abortUnwrittenSend();
            end(machine.endInQuarantine(now()), CutReason.QUARANTINE);
        }
    }

    @Override
    public void onRouterExit() {
        guard.run(this::endAtShutdown);
    }

    private void endAtShutdown() {
        if (!isEnded) {
            abortUnwrittenSend();
            end(machine.endAtShutdown(), CutReason.SHUTDOWN);
        }
    }

    private void closeSend(boolean isRejected) {
        monitor.endSend();
        send.ifPresent(ServerSend::close);
        send = Optional.empty();
        silence = null;
        supervisor.stop();
        load.ifPresent(l -> l.close(isRejected));
        load = Optional.empty();
    }

    /**
     * Ends the request with an error answer.
     *
     * @param cutReason reason of the cut if part of an answer was sent already
     */
    private void end(Step.End end, CutReason cutReason) {
        if (isEnded) {
            return;
        }
        log.logEnd(end, machine.sendCount());
        if (writer.isStreaming()) {
            cuts.recordCut(cutReason, describeStage() + ", " + end.reason());
        }
        metrics.countFailure(end.code());
        release();
        writer.sendError(end.code(), end.retryAfterMs(), end.reason());
    }

    /** Ends the request with an error answer after a step threw an exception. */
    private void handleFailure(RuntimeException failure) {
        log.logFailure(failure);
        if (writer.isEnded()) {
            writer.abortIfIncomplete();
            return;
        }
        Step.End end = machine.endAfterFailure();
        if (!isEnded) {
            log.logEnd(end, machine.sendCount());
            metrics.countFailure(end.code());
        }
        if (writer.isStreaming()) {
            cuts.recordCut(CutReason.INTERNAL_ERROR, end.reason());
        }
        try {
            release();
        } catch (RuntimeException e) {
            log.logFailure(e);
        }
        writer.sendError(end.code(), end.retryAfterMs(), end.reason());
    }

    private void onCut(CutReason reason) {
        guard.run(() -> handleCut(reason));
    }

    /** Handles the end of the caller's connection before the answer was complete. */
    private void handleCut(CutReason reason) {
        String stage = isEnded ? "the last part of its answer" : describeStage();
        cuts.recordCut(reason, stage);
        if (isEnded) {
            return;
        }
        log.logCallerDisconnect(describeStage());
        metrics.countCallerDisconnect();
        abortUnwrittenSend();
        release();
        writer.abort();
    }

    private String describeStage() {
        if (send.isEmpty()) {
            return "at no server after " + machine.sendCount() + " sends";
        }
        String events = monitor.eventCount() == 0 ? "without an event" : "after an event";
        return "at " + silence.server().id() + " in send " + sendNumber + ", " + events;
    }

    /** Releases all resources of the request; the last bytes of the answer may still be queued. */
    private void release() {
        isEnded = true;
        guard.close();
        waits.close();
        machine.close();
        context.inFlightRequests().remove(this);
        closeSend(false);
        detector.stop();
    }

    private long now() {
        return context.clock().nowMs();
    }

    /** Handles the events of one send; ignores them once a later send has started. */
    private final class Listener implements SendListener {
        private final Step.Send step;
        private final int number;
        private final long sentMs = now();

        Listener(Step.Send step, int number) {
            this.step = step;
            this.number = number;
        }

        private boolean isStale() {
            return isEnded || number != sendNumber;
        }

        @Override
        public void onHead(AnswerMetadata metadata) {
            if (!isStale()) {
                cuts.recordServerBytes(now());
                context.metadataRecorder()
                        .recordAnswer(step.server().incarnation(), metadata, request.id(), sentMs);
            }
        }

        @Override
        public void onEvent(HttpHead head, ByteBuffer bytes, OptionalLong id) {
            if (isStale()) {
                return;
            }
            long now = now();
            cuts.recordServerBytes(now);
            context.health().recordAnswer(step.server().incarnation(), now);
            monitor.recordEvent(now);
            if (silence.recordEvent(now)) {
                load.ifPresent(SendLoad::endPrefill);
            }
            events.forward(step.server(), head, bytes, id, now);
        }

        @Override
        public void onEventsEnd() {
            writer.writeEvents();
        }

        @Override
        public void onBodyEnd() {
            if (!isStale()) {
                supervisor.stop();
            }
        }

        @Override
        public void onStreamEnd(HttpHead head) {
            if (isStale()) {
                return;
            }
            metrics.recordAnswer(now() - params.receivedMs());
            context.metrics().countSendEnd(step.server(), SendEnd.ANSWERED);
            monitor.recordAnswer();
            log.logAnswer(
                    "last event " + RequestLog.text(machine.lastEventId()), machine.sendCount());
            events.handleEnd(head, now());
            release();
            writer.endEventStream();
        }

        @Override
        public void onAnswer(HttpHead head, AnswerMetadata metadata, byte[] bytes) {
            if (isStale()) {
                return;
            }
            context.health().recordAnswer(step.server().incarnation(), now());
            SendLoad.recordReport(context, step.server(), metadata);
            monitor.recordAnswer();
            context.metrics().countSendEnd(step.server(), SendEnd.ANSWERED);
            closeSend(false);
            Optional<Step> next = errorAnswers.stepAfter(head, step.server(), sentMs, now());
            if (next.isPresent()) {
                boolean mayFail = next.get().mayLeadToSend();
                errorAnswer = mayFail ? Optional.of(() -> deliver(head, bytes)) : Optional.empty();
                execute(next.get());
            } else {
                deliver(head, bytes);
            }
        }

        private void deliver(HttpHead head, byte[] bytes) {
            errorAnswer = Optional.empty();
            if (writer.isStreaming()) {
                execute(machine.onSendLost(step.server(), now()));
                return;
            }
            metrics.recordAnswer(now() - params.receivedMs());
            log.logAnswer(
                    "status " + head.status() + " of " + step.server().id(), machine.sendCount());
            release();
            writer.sendComplete(
                    new HttpHead(head.status(), context.protocol().headersToCaller(head.headers())),
                    bytes);
        }

        @Override
        public void onRefusal(HttpHead head, AnswerMetadata metadata) {
            if (isStale()) {
                return;
            }
            closeSend(!metadata.isWrongServer());
            BackendServer server = step.server();
            if (metadata.isWrongServer()) {
                String proof = metadata.isNotRun() ? "" : " and does not state that it did not run";
                sendEnds.recordRefusal(server, head.status(), proof, sentMs);
                execute(machine.onWrongServer(server, metadata.isNotRun(), now()));
                context.onLoadsChanged().run();
                return;
            }
            SendLoad.recordReport(context, server, metadata);
            long lastMs = context.health().recordRefusal(server.incarnation(), now());
            String consequence = " and is the last choice for " + lastMs + " ms,";
            sendEnds.recordRefusal(server, head.status(), consequence, sentMs);
            execute(machine.onRefused(now()));
        }

        @Override
        public void onTunnel(RouterId carrier) {
            log.logTunnel(step.server(), carrier, sentMs);
            context.metrics().countTunnelledSend();
        }

        @Override
        public void onNotSent(ConnectFailure failure) {
            if (isStale()) {
                return;
            }
            closeSend(false);
            String what = "could not be reached, " + failure;
            sendEnds.recordNotRun(step.server(), SendEnd.NOT_REACHED, what, sentMs);
            execute(machine.onConnectFailed(step.server(), failure, now()));
            context.onLoadsChanged().run();
        }

        @Override
        public void onLost(String reason) {
            if (isStale()) {
                return;
            }
            events.handleServerLoss();
            closeSend(false);
            sendEnds.recordLost(step.server(), SendEnd.BROKE_OFF, "lost it, " + reason, sentMs);
            execute(machine.onSendLost(step.server(), now()));
            context.onLoadsChanged().run();
        }
    }
}
