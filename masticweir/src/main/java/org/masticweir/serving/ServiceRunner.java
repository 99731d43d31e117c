package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.masticweir.config.Model;
import org.masticweir.config.WorkClass;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.RetryAdvice;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.http.HttpAnswer;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.EngineId;
import org.masticweir.retry.RetryDecision;
import org.masticweir.routing.EngineFailure;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RouteChoice;
import org.masticweir.routing.RouteQuery;
import org.xnio.XnioIoThread;

/**
 * Carries one request to a plain service and back.
 *
 * <p>A call is made again only when the service said it was not run, or when it is idempotent. Runs
 * on the I/O thread that the request was accepted on.
 */
final class ServiceRunner {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ServingContext context;
    private final RunningRequest request;
    private final WorkClass workClass;
    private final Model model;
    private final XnioIoThread thread;
    private final Ownership ownership;
    private final RetryTurn retry;
    private final Set<EngineId> excluded = new HashSet<>();

    private RunPermit permit = RunPermit.ALWAYS;
    private Verdict verdict = Verdict.NOT_RUN;
    private long advisedRetryMs;
    private int attempts;

    private ServiceRunner(
            ServingContext context,
            RunningRequest request,
            WorkClass workClass,
            Model model,
            XnioIoThread thread,
            Ownership ownership) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.workClass = checkNotNull(workClass, "workClass");
        this.model = checkNotNull(model, "model");
        this.thread = checkNotNull(thread, "thread");
        this.ownership = checkNotNull(ownership, "ownership");
        retry = new RetryTurn(context.policy(), request, workClass);
        advisedRetryMs = workClass.firstTokenMs();
    }

    static ServiceRunner of(
            ServingContext context,
            RunningRequest request,
            WorkClass workClass,
            Model model,
            XnioIoThread thread,
            Ownership ownership) {
        return new ServiceRunner(context, request, workClass, model, thread, ownership);
    }

    /** Starts the request; call once, on its thread. */
    void start(RunPermit under) {
        permit = checkNotNull(under, "under");
        tryNext();
    }

    private void tryNext() {
        long leftMs = request.acceptedAtMs() + workClass.totalMs() - now();
        attempts++;
        if (!permit.maySend(now())) {
            fail(ErrorCode.PLATFORM_UNAVAILABLE, "the claim was not certain in time");
            return;
        }
        if (leftMs <= 0 || attempts > context.tuning().maxAttempts()) {
            fail(ErrorCode.DEADLINE_EXCEEDED, "no service answered in the class's total time");
            return;
        }
        RouteChoice choice = choose();
        if (choice instanceof RouteChoice.Chosen chosen) {
            call(chosen.view(), leftMs);
        } else {
            fail(ErrorCode.NO_ENGINE, "no service instance can take the request");
        }
    }

    private RouteChoice choose() {
        return context.chooser().choose(context.view().get().routing(), query(), now());
    }

    private void retry(ErrorCode code) {
        if (!(choose() instanceof RouteChoice.Chosen chosen)) {
            fail(ErrorCode.NO_ENGINE, "no service instance can take the request");
            return;
        }
        retry.failed(code, advisedRetryMs);
        RetryDecision decision = retry.decide(chosen, verdict, now());
        if (decision instanceof RetryDecision.Retry again) {
            thread.executeAfter(this::tryNext, again.delayMs(), TimeUnit.MILLISECONDS);
        } else {
            fail(((RetryDecision.GiveUp) decision).toException());
        }
    }

    private RouteQuery query() {
        return new RouteQuery(
                model.id(),
                model.version(),
                workClass.id(),
                0,
                ImmutableList.of(),
                0,
                excluded,
                attempts > 1);
    }

    private void call(EngineView view, long leftMs) {
        EngineId id = view.id();
        request.placedAt(new RunningRequest.Placement(id.value(), 1, attempts));
        retry.sent(now());
        context.inFlight().sent(id, now());
        context.policy().admission().sent(request.spec().id());
        HttpCall call =
                new HttpCall(
                        "POST",
                        view.backEnd().address(),
                        "/call",
                        ImmutableMap.of(
                                "Masticweir-Request",
                                request.spec().id().value(),
                                "Content-Type",
                                "text/plain"),
                        request.spec().input().getBytes(StandardCharsets.UTF_8));
        context.calls()
                .call(call, leftMs)
                .thenAccept(outcome -> thread.execute(() -> onOutcome(id, outcome)));
    }

    private void onOutcome(EngineId service, HttpOutcome outcome) {
        context.inFlight().finished(service, now());
        excluded.add(service);
        EngineTraffic traffic = context.policy().traffic();
        if (outcome instanceof HttpOutcome.NeverSent) {
            // Also what this router's own limit on connections gives: it may be load.
            traffic.failed(service, EngineFailure.REFUSED);
            tryNext();
        } else if (outcome instanceof HttpOutcome.Answered answered) {
            onAnswer(service, answered.answer());
        } else {
            traffic.failed(service, EngineFailure.RESET);
            onInDoubt();
        }
    }

    private void onAnswer(EngineId service, HttpAnswer answer) {
        if (answer.isSuccess()) {
            complete(answer.text());
        } else if (refused(answer)) {
            context.policy().traffic().failed(service, EngineFailure.REFUSED);
            retry(ErrorCode.OVERLOADED);
        } else {
            onInDoubt();
        }
    }

    private boolean refused(HttpAnswer answer) {
        try {
            JsonNode json = MAPPER.readTree(answer.text());
            advisedRetryMs = Math.max(advisedRetryMs, RetryAdvice.ms(json));
            return json.has("admitted") && !json.get("admitted").asBoolean(true);
        } catch (JsonProcessingException e) {
            return false;
        }
    }

    private void onInDoubt() {
        verdict = Verdict.MAY_HAVE_RUN;
        if (request.spec().idempotent()) {
            retry(ErrorCode.ENGINE_LOST);
        } else {
            // The service may have run the call and lost only its answer: a second call could run
            // it twice.
            fail(ErrorCode.ENGINE_LOST, "the service was lost after the call may have run");
        }
    }

    private void complete(String result) {
        context.observer().firstToken(request.spec(), now() - request.acceptedAtMs());
        context.observer().completed(request.spec(), now() - request.acceptedAtMs(), 0);
        ownership.ended(new AnswerEnd.Completed(result));
    }

    private void fail(ErrorCode code, String message) {
        fail(MasticweirException.of(code, verdict, message).retryAfterMs(advisedRetryMs));
    }

    private void fail(MasticweirException error) {
        context.observer().failed(request.spec(), error, now() - request.acceptedAtMs());
        ownership.ended(new AnswerEnd.Failed(error));
    }

    private long now() {
        return context.clock().nowMs();
    }
}
