package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.forward.LoadEntry;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.forward.SilenceTimer;
import org.masticweir.forward.Step;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.id.ContentId;
import org.masticweir.relay.RelayMetrics.SendEnd;

/**
 * One request from its last byte to the last byte of its answer; runs on the traffic thread.
 *
 * <p>It carries out what its {@link RequestStateMachine} decides, and owns the request's timers,
 * its connection to a server and its entry on the load board.
 */
final class RelayRun implements InFlightRequests.Request {
    private final RelayContext context;
    private final RequestParameters plan;
    private final RelayRequest request;
    private final RequestStateMachine course;
    private final RequestLog log;
    private final RelayMetrics.ForRequest metrics;
    private final CallerAnswer answer;
    private final CallerWatch watch;
    private final EventRelay events;
    private final ContentTrial trial;
    private final RunTimer timer;
    private final RequestPermits permits;

    private Optional<ServerSend> send = Optional.empty();
    private Optional<LoadEntry> ticket = Optional.empty();
    private SilenceTimer silence;
    private int sendNumber;

    /** Whether the send under way has left this process. */
    private boolean written;

    private boolean over;

    /** Delivers a server's failure unless the request goes to another one at once. */
    private Optional<Runnable> failure = Optional.empty();

    /** Creates the run of a request that was read whole. */
    RelayRun(RelayContext context, RelayRequest request, HttpServerExchange exchange) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        plan = request.plan();
        trial = new ContentTrial(context, request);
        timer = new RunTimer(context.thread());
        log = new RequestLog(context, request);
        permits = new RequestPermits(context, log);
        metrics = context.metrics().request(plan.route().name(), request.team());
        course =
                RequestStateMachine.of(
                        plan,
                        () -> context.view().get().serversOf(plan.service()),
                        context.placement(),
                        context.health(),
                        context.repeats(),
                        trial.gate(),
                        context.line(),
                        context.random());
        answer = new CallerAnswer(exchange, this::callerLeft);
        watch = CallerWatch.start(exchange, this::callerLeft);
        events = new EventRelay(context, plan, course, answer, metrics, log);
    }

    void start() {
        context.underWay().add(this);
        if (!over) {
            take(course.next(now()));
        }
    }

    private void take(Step step) {
        if (over) {
            return;
        }
        if (failure.isPresent() && !step.mayLeadToSend()) {
            failure.get().run();
        } else if (step instanceof Step.Send next) {
            failure = Optional.empty();
            send(next);
        } else if (step instanceof Step.QueryPromptCaches ask) {
            search(ask);
        } else if (step instanceof Step.AcquirePermit permit) {
            permits.toServer(
                    permit.server(), permit.urgency(), granted -> permitDecided(permit, granted));
        } else if (step instanceof Step.AcquireRetryPermit repeat) {
            permits.toRepeat(plan.service(), repeat.urgency(), this::repeatDecided);
        } else if (step instanceof Step.Wait hold) {
            timer.set(hold.delayMs(), () -> take(course.next(now())));
        } else {
            end((Step.End) step);
        }
    }

    private void permitDecided(Step.AcquirePermit permit, boolean granted) {
        if (!over) {
            take(course.onPermitDecision(permit.server(), granted, now()));
        }
    }

    private void repeatDecided(boolean granted) {
        if (!over) {
            take(course.onRetryDecision(granted, now()));
        }
    }

    private void search(Step.QueryPromptCaches ask) {
        PromptSearch.among(
                ask.engines(),
                context.prompts(),
                plan.prompt().orElseThrow(),
                keeper -> {
                    if (!over) {
                        log.searched(ask.engines().size(), keeper);
                        take(course.onPromptCacheResult(keeper, now()));
                    }
                });
    }

    private void send(Step.Send next) {
        watch.checkClosed();
        if (over) {
            return;
        }
        sendNumber++;
        written = false;
        trial.sendBegins();
        int number = sendNumber;
        log.goes(next, number);
        context.metrics().sent(next.server(), sendNumber);
        ticket = Optional.of(LoadEntry.open(context.loads(), next, plan.size()));
        context.loadsChanged().run();
        silence = SilenceTimer.of(next, plan, context.loads(), context.silence(), now());
        ServerSend opened =
                ServerSend.open(
                        context.thread(),
                        context.buffers(),
                        next.server().address(),
                        () -> callTo(next, number),
                        context.connectTimeoutMs(),
                        request.id(),
                        plan.route().streams(),
                        context.dialect(),
                        new Listener(next, number));
        // The connection may have failed, or the request ended, before this call returned.
        if (!over && number == sendNumber && silence != null) {
            send = Optional.of(opened);
            watchTime();
        } else {
            opened.close();
        }
    }

    /**
     * Returns what goes to a server that has taken the connection, with the time that is left by
     * now. If what led to the send no longer holds, takes the next step and returns nothing.
     */
    private Optional<HttpCall> callTo(Step.Send next, int number) {
        watch.checkClosed();
        if (over || number != sendNumber) {
            return Optional.empty();
        }
        long now = now();
        if (now >= plan.expiresMs() || !course.mayStillSend(next.server(), now)) {
            sendEnded(next.server(), SendEnd.NOT_REACHED, "was reached too late", silence.sentMs());
            withdraw();
            leaveServer();
            take(course.next(now));
            return Optional.empty();
        }
        written = true;
        return Optional.of(request.callFor(next, context.dialect(), now));
    }

    /** A send that has not left this process has not run, whatever ends it. */
    private void withdraw() {
        if (silence != null && !written) {
            written = true;
            course.onSendAborted(now());
        }
    }

    /** Waits for the request's end, and on streams for the engine's next sign of life. */
    private void watchTime() {
        long dueMs = plan.expiresMs();
        if (plan.route().streams()) {
            dueMs = Math.min(dueMs, silence.nextCheckMs(now()));
        } else if (course.hedgeDelayMs().isPresent()) {
            dueMs = Math.min(dueMs, silence.sentMs() + course.hedgeDelayMs().getAsLong());
        }
        timer.set(Math.max(1, dueMs - now()), this::timeIsUp);
    }

    private void timeIsUp() {
        long now = now();
        if (now >= plan.expiresMs()) {
            withdraw();
            end(course.endAtDeadline());
            return;
        }
        if (plan.route().streams() && silence.needsAction(context.health(), now)) {
            silenceIsTooLong(now);
            return;
        }
        if (!plan.route().streams()) {
            answerIsSlow(now);
            return;
        }
        watchTime();
    }

    private void silenceIsTooLong(long now) {
        SilenceTimer asked = silence;
        new SilenceInquiry(context, log, request.id(), asked)
                .start(
                        now,
                        () -> !over && silence == asked,
                        loss -> loss.ifPresentOrElse(this::serverIsLost, this::watchTime));
    }

    private void serverIsLost(String reason) {
        BackendServer server = silence.server();
        sendLost(server, SendEnd.SILENT, reason, silence.sentMs());
        trial.lost(server, silence.sentMs(), false, now());
        events.serverLost();
        leaveServer();
        take(course.onSendLost(server, now()));
        context.loadsChanged().run();
    }

    private void answerIsSlow(long now) {
        timer.set(Math.max(1, plan.expiresMs() - now), this::timeIsUp);
        course.onSlowAnswer(now).ifPresent(this::goElsewhere);
    }

    /** Leaves the send under way once there is leave to send the request again. */
    private void goElsewhere(Step step) {
        SilenceTimer left = silence;
        if (step instanceof Step.Send) {
            sendLost(left.server(), SendEnd.SILENT, "sent no answer", left.sentMs());
            leaveServer();
            take(step);
        } else if (step instanceof Step.AcquireRetryPermit repeat) {
            permits.toRepeat(
                    plan.service(),
                    repeat.urgency(),
                    granted -> {
                        if (!over && silence == left) {
                            goElsewhere(course.onRetryDecision(granted, now()));
                        }
                    });
        }
    }

    /** A send ended that may have run, without a whole answer. */
    private void sendLost(BackendServer server, SendEnd end, String what, long sentMs) {
        log.lost(server, what, sentMs, trial.events(), trial.content());
        context.metrics().sendEnded(server, end);
    }

    @Override
    public ContentId content() {
        return trial.content();
    }

    @Override
    public boolean runsWell() {
        return !over && silence != null && !trial.hasJustBegun(now());
    }

    @Override
    public void quarantined() {
        if (!over && silence != null && trial.hasJustBegun(now())) {
            sendLost(silence.server(), SendEnd.STOPPED, "was left", silence.sentMs());
            withdraw();
            end(course.endInQuarantine(now()));
        }
    }

    @Override
    public void routerEnds() {
        if (!over) {
            withdraw();
            end(course.endAtShutdown());
        }
    }

    /** A send ended that has not run. */
    private void sendEnded(BackendServer server, SendEnd end, String what, long sentMs) {
        log.at(server, what, sentMs);
        context.metrics().sendEnded(server, end);
    }

    private void leaveServer() {
        trial.sendEnds();
        send.ifPresent(ServerSend::close);
        send = Optional.empty();
        silence = null;
        timer.close();
        if (ticket.isPresent()) {
            ticket.get().close();
            ticket = Optional.empty();
            context.loadsChanged().run();
        }
    }

    private void end(Step.End end) {
        if (over) {
            return;
        }
        log.ended(end, course.sendCount());
        metrics.failed(end.code());
        finish();
        answer.error(end.code(), end.retryAfterMs(), end.reason());
    }

    private void callerLeft() {
        if (over) {
            return;
        }
        log.left(stage());
        metrics.callerLeft();
        withdraw();
        finish();
        answer.abort();
    }

    /** Returns how far the request has come, in words. */
    private String stage() {
        if (send.isEmpty()) {
            return "at no server after " + course.sendCount() + " sends";
        }
        String events = trial.events() == 0 ? "without an event" : "after an event";
        return "at " + silence.server().id() + " in send " + sendNumber + ", " + events;
    }

    /** Gives back all that the request holds; the answer's last bytes may still be written. */
    private void finish() {
        over = true;
        course.close();
        context.underWay().remove(this);
        leaveServer();
        watch.stop();
    }

    private long now() {
        return context.clock().nowMs();
    }

    /** Hears one send; words of an earlier one change nothing. */
    private final class Listener implements SendListener {
        private final Step.Send sent;
        private final int number;
        private final long sentMs = now();

        Listener(Step.Send sent, int number) {
            this.sent = sent;
            this.number = number;
        }

        private boolean isStale() {
            return over || number != sendNumber;
        }

        @Override
        public void head(AnswerMetadata word) {
            if (!isStale()) {
                context.notices().heard(sent.server().incarnation(), word, request.id(), sentMs);
            }
        }

        @Override
        public void event(HttpHead head, ByteBuffer bytes, OptionalLong id) {
            if (isStale()) {
                return;
            }
            long now = now();
            context.health().recordAnswer(sent.server().incarnation(), now);
            trial.event(now);
            if (silence.recordEvent(now)) {
                ticket.ifPresent(LoadEntry::endPrefill);
                context.loadsChanged().run();
            }
            events.event(sent.server(), head, bytes, id, now);
        }

        @Override
        public void eventsEnded(HttpHead head) {
            if (isStale()) {
                return;
            }
            metrics.answered(now() - plan.receivedMs());
            context.metrics().sendEnded(sent.server(), SendEnd.ANSWERED);
            trial.answered();
            log.answered("last event " + RequestLog.text(course.lastEventId()), course.sendCount());
            events.ended(head, now());
            finish();
            answer.endEvents();
        }

        @Override
        public void answered(HttpHead head, AnswerMetadata word, byte[] bytes) {
            if (isStale()) {
                return;
            }
            context.health().recordAnswer(sent.server().incarnation(), now());
            loadOf(word);
            trial.answered();
            context.metrics().sendEnded(sent.server(), SendEnd.ANSWERED);
            leaveServer();
            Optional<Step> again =
                    head.status() >= 500 ? course.onErrorAnswer(now()) : Optional.empty();
            if (again.isPresent()) {
                failure = Optional.of(() -> deliver(head, bytes));
                take(again.get());
            } else {
                deliver(head, bytes);
            }
        }

        private void deliver(HttpHead head, byte[] bytes) {
            failure = Optional.empty();
            if (answer.isStreaming()) {
                take(course.onSendLost(sent.server(), now()));
                return;
            }
            metrics.answered(now() - plan.receivedMs());
            log.answered(
                    "status " + head.status() + " of " + sent.server().id(), course.sendCount());
            finish();
            answer.whole(
                    new HttpHead(head.status(), context.dialect().headersToCaller(head.headers())),
                    bytes);
        }

        @Override
        public void refused(HttpHead head, AnswerMetadata word) {
            if (isStale()) {
                return;
            }
            leaveServer();
            String what = "refused with " + head.status();
            if (word.isWrongServer()) {
                sendEnded(sent.server(), SendEnd.REFUSED, what, sentMs);
                take(course.onWrongServer(sent.server(), now()));
                context.loadsChanged().run();
                return;
            }
            loadOf(word);
            long lastMs = context.health().recordRefusal(sent.server().incarnation(), now());
            sendEnded(
                    sent.server(),
                    SendEnd.REFUSED,
                    what + " and is the last choice for " + lastMs + " ms,",
                    sentMs);
            take(course.onRefused(now()));
        }

        @Override
        public void notSent() {
            if (isStale()) {
                return;
            }
            leaveServer();
            sendEnded(sent.server(), SendEnd.NOT_REACHED, "could not be reached", sentMs);
            take(course.onConnectFailed(sent.server(), now()));
            context.loadsChanged().run();
        }

        @Override
        public void lost(String reason) {
            if (isStale()) {
                return;
            }
            events.serverLost();
            leaveServer();
            sendLost(sent.server(), SendEnd.BROKE_OFF, "lost it, " + reason, sentMs);
            trial.lost(sent.server(), sentMs, true, now());
            take(course.onSendLost(sent.server(), now()));
            context.loadsChanged().run();
        }

        private void loadOf(AnswerMetadata word) {
            ServerIncarnation life = sent.server().incarnation();
            word.requestCount().ifPresent(n -> context.loads().recordServerReport(life, n, now()));
        }
    }
}
