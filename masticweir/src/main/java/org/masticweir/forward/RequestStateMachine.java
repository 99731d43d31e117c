package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.path.ConnectFailure;
import org.masticweir.quarantine.Quarantine;
import org.masticweir.quarantine.SendRule;

/**
 * State machine of one request, from its first send to its end; owned by the traffic thread.
 *
 * <p>The owner reports the result of each send and executes the returned {@link Step}. A request
 * that must not run twice is not retried once it may have run. A resumable request continues after
 * the last event that the caller has received, at the copy holder if there is one.
 */
public final class RequestStateMachine {
    /** Delay until the next server selection, in ms: a tenth of the run time of a short request. */
    private static final long WAIT_MS = 10;

    /** Delay before the retry budget is checked again, in ms: a tenth of its window's 1 s step. */
    private static final long RETRY_BUDGET_WAIT_MS = 100;

    /**
     * Fraction of the time goal after which an idempotent request is hedged. The remaining time
     * exceeds the median run time, and 99 of 100 answers arrive before the hedge.
     */
    private static final double HEDGE_FRACTION = 0.7;

    private final RequestParameters request;
    private final RequestServers servers;
    private final ServerSelector selector;
    private final ServerHealth health;
    private final RetryLimiter retryLimiter;
    private final ContentPolicy contentPolicy;
    private final RequestWait requestWait;
    private final FinalSteps finalSteps;

    private final HeldPermits permits = new HeldPermits();
    private int sendCount;
    private int transmissions;

    /** Time at which the send in flight was counted as a retry; empty if it is not counted. */
    private OptionalLong retryCountedMs = OptionalLong.empty();

    private boolean isRequestCounted;
    private boolean isInFlight;
    private boolean isSilenceRecorded;
    private Verdict verdict = Verdict.NOT_RUN;
    private OptionalLong lastEventId;
    private boolean hasEvent;
    private boolean hasQueriedCaches;

    private RequestStateMachine(
            RequestParameters request,
            Supplier<ImmutableList<BackendServer>> servers,
            ServerSelector selector,
            ServerHealth health,
            RetryLimiter retryLimiter,
            ContentPolicy contentPolicy,
            WaitQueue waitQueue,
            RandomGenerator random) {
        this.request = checkNotNull(request, "request");
        this.servers = new RequestServers(request, servers, selector, health);
        this.selector = checkNotNull(selector, "selector");
        this.health = checkNotNull(health, "health");
        this.retryLimiter = checkNotNull(retryLimiter, "retryLimiter");
        this.contentPolicy = checkNotNull(contentPolicy, "contentPolicy");
        requestWait = new RequestWait(request, waitQueue);
        finalSteps = new FinalSteps(new RetryDelay(request.route().goalMs(), random));
        lastEventId = request.callerLastEventId();
    }

    /**
     * Returns the state machine of a request that was just received.
     *
     * @param servers returns the currently known servers of the service
     */
    public static RequestStateMachine of(
            RequestParameters request,
            Supplier<ImmutableList<BackendServer>> servers,
            ServerSelector selector,
            ServerHealth health,
            RetryLimiter retryLimiter,
            ContentPolicy contentPolicy,
            WaitQueue waitQueue,
            RandomGenerator random) {
        return new RequestStateMachine(
                request, servers, selector, health, retryLimiter, contentPolicy, waitQueue, random);
    }

    /**
     * Returns the first step of the request, or the step after a {@link Step.Wait}.
     *
     * <p>If the caller requests the rest of an interrupted answer, engines are queried for the
     * cached prompt first.
     */
    public Step next(long nowMs) {
        if (nowMs >= request.expiresMs()) {
            return endAtDeadline();
        }
        if (!verdict.safeToSendAgain() && !request.route().repeatability().mayRunAgain()) {
            return end(ErrorCode.ENGINE_LOST, "the server broke off");
        }
        if (sendCount >= request.route().attempts()) {
            return end(ErrorCode.ENGINE_LOST, "sent as often as the route allows");
        }
        // Checked before every send: the same content may have ended servers since the last send.
        SendRule rule = contentPolicy.rule(nowMs);
        if (rule == SendRule.REJECT) {
            return endInQuarantine(nowMs);
        }
        if (rule == SendRule.WAIT) {
            return waitForTrial(nowMs);
        }
        servers.setMustUseLeastLoaded(rule == SendRule.LEAST_LOADED);
        if (!hasQueriedCaches && request.mayBeCached()) {
            hasQueriedCaches = true;
            ImmutableList<BackendServer> engines = servers.enginesToQuery(nowMs);
            if (!engines.isEmpty()) {
                return new Step.QueryPromptCaches(engines);
            }
        }
        Optional<BackendServer> permittedServer = permits.permittedServer(nowMs);
        Optional<BackendServer> usableCopyHolder = usableCopyHolder(nowMs);
        Optional<BackendServer> server =
                permittedServer
                        .filter(s -> servers.canAcceptWithPermit(s, nowMs))
                        .or(() -> usableCopyHolder)
                        .or(() -> servers.usableCachingEngine(nowMs))
                        .or(() -> servers.select(nowMs));
        if (server.isEmpty() || requestWait.mustWait(sendCount, nowMs)) {
            return waitOrEnd(nowMs);
        }
        if (selector.needsPermit(server.get()) && !permittedServer.equals(server)) {
            return new Step.AcquirePermit(server.get(), request.urgency(hasEvent, sendCount > 0));
        }
        retryCountedMs = OptionalLong.empty();
        if (transmissions > 0 && !permits.allowsRetry(nowMs)) {
            if (!retryLimiter.tryRetry(request.service(), nowMs)) {
                return retryLimiter.mayRequestPermit(request.service(), nowMs)
                        ? new Step.AcquireRetryPermit(request.urgency(hasEvent, sendCount > 0))
                        : waitForRetryBudget(nowMs);
            }
            retryCountedMs = OptionalLong.of(nowMs);
        }
        return send(server.get(), usableCopyHolder.equals(server), nowMs);
    }

    /**
     * Returns whether the request may still be sent to the selected server after the connect.
     *
     * <p>A server may announce that it is leaving during the connect. Without this check, the
     * server would receive the request long after the announcement.
     */
    public boolean mayStillSend(BackendServer server, long nowMs) {
        return servers.findListed(server)
                .filter(s -> selector.mayStillAccept(s, nowMs))
                .isPresent();
    }

    /** Handles the decision on a {@link Step.AcquirePermit} and returns the next step. */
    public Step onPermitDecision(BackendServer server, boolean granted, long nowMs) {
        permits.recordDecision(server, granted, nowMs);
        return next(nowMs);
    }

    /** Handles the decision on a {@link Step.AcquireRetryPermit} and returns the next step. */
    public Step onRetryDecision(boolean granted, long nowMs) {
        permits.recordRetryDecision(granted, nowMs);
        return granted ? next(nowMs) : waitForRetryBudget(nowMs);
    }

    /** Handles the result of the prompt cache query and returns the next step. */
    public Step onPromptCacheResult(Optional<BackendServer> engine, long nowMs) {
        servers.setCachingEngine(engine);
        return next(nowMs);
    }

    /** Handles a failed connect, which transmits no data, and returns the next step. */
    public Step onConnectFailed(BackendServer server, ConnectFailure failure, long nowMs) {
        onSendAborted(nowMs);
        health.recordConnectFailure(server, failure, nowMs);
        return next(nowMs);
    }

    /** Aborts the send in flight before any data was transmitted. */
    public void onSendAborted(long nowMs) {
        sendCount--;
        transmissions--;
        if (retryCountedMs.isPresent()) {
            retryLimiter.cancelRetry(request.service(), retryCountedMs.getAsLong(), nowMs);
        }
        permits.restoreRetryPermit();
        markNotRun();
    }

    /** Handles the report that the server did not run the request; returns the next step. */
    public Step onRefused(long nowMs) {
        markNotRun();
        return next(nowMs);
    }

    /** Handles a send whose complete answer will not arrive, and returns the next step. */
    public Step onSendLost(BackendServer server, long nowMs) {
        markMayHaveRun();
        boolean isRecorded = isSilenceRecorded && health.isDown(server, nowMs);
        if (request.engine().isPresent() && !isRecorded) {
            health.recordLoss(server, nowMs);
        }
        return next(nowMs);
    }

    /** Records, once for each send, that the server of the send in flight is silent. */
    public void onSilence(BackendServer server, long nowMs) {
        if (request.engine().isPresent() && !isSilenceRecorded) {
            isSilenceRecorded = true;
            health.recordLoss(server, nowMs);
        }
    }

    /**
     * Returns whether the request can be sent to another server than {@code silentServer} now;
     * counts no send and no retry.
     *
     * <p>A server that is silent may go on a moment later. Without this check, an answer would be
     * cut for such a silence if nothing but the end of the request came after the send.
     */
    public Relocation relocation(BackendServer silentServer, long nowMs) {
        if (nowMs >= request.expiresMs()
                || !request.route().repeatability().mayRunAgain()
                || sendCount >= request.route().attempts()
                || !contentPolicy.ruleAfterSend(nowMs).allowsSend()) {
            return Relocation.impossible();
        }
        Optional<BackendServer> permittedServer =
                permits.permittedServer(nowMs)
                        .filter(s -> !s.incarnation().equals(silentServer.incarnation()));
        Optional<BackendServer> server =
                permittedServer
                        .filter(s -> servers.canAcceptWithPermit(s, nowMs))
                        .or(() -> usableCopyHolder(nowMs))
                        .or(() -> servers.usableCachingEngine(nowMs))
                        .or(() -> servers.selectOtherThan(silentServer, nowMs));
        if (server.isEmpty()) {
            return Relocation.impossible();
        }
        if (selector.needsPermit(server.get()) && !permittedServer.equals(server)) {
            return Relocation.after(
                    new Step.AcquirePermit(server.get(), request.urgency(hasEvent, sendCount > 0)));
        }
        if (permits.allowsRetry(nowMs) || retryLimiter.mayRetry(request.service(), nowMs)) {
            return Relocation.possible();
        }
        return retryLimiter.mayRequestPermit(request.service(), nowMs)
                ? Relocation.after(
                        new Step.AcquireRetryPermit(request.urgency(hasEvent, sendCount > 0)))
                : Relocation.impossible();
    }

    /** Records the decision on a permit that {@link #relocation} needs. */
    public void onRelocationPermit(Step permit, boolean granted, long nowMs) {
        permits.recordDecision(permit, granted, nowMs);
    }

    /** Returns the send or permit request that replaces a server's error answer, if allowed. */
    public Optional<Step> onErrorAnswer(long nowMs) {
        markMayHaveRun();
        boolean canRetry =
                request.route().repeatability().mayRunAgain()
                        && sendCount < request.route().attempts()
                        && nowMs < request.expiresMs()
                        && servers.select(nowMs).isPresent();
        if (!canRetry) {
            return Optional.empty();
        }
        return Optional.of(next(nowMs)).filter(Step::mayLeadToSend);
    }

    /**
     * Handles an error answer that callers would take as the promise that the request has not run,
     * though the server does not state so. Returns the final step that replaces the answer; empty
     * if the request may run again, so that the answer may be passed on.
     */
    public Optional<Step.End> onUnprovenRefusal() {
        markMayHaveRun();
        return request.route().repeatability().mayRunAgain()
                ? Optional.empty()
                : Optional.of(end(ErrorCode.ENGINE_LOST, "the server failed and may have run it"));
    }

    /** Returns the delay until {@link #onSlowAnswer}; empty if the request can't be hedged. */
    public OptionalLong hedgeDelayMs() {
        boolean isIdempotent = request.route().repeatability() == Repeatability.IDEMPOTENT;
        return isIdempotent && sendCount < request.route().attempts()
                ? OptionalLong.of(Math.max(1, (long) (request.route().goalMs() * HEDGE_FRACTION)))
                : OptionalLong.empty();
    }

    /**
     * Returns a hedged request that replaces the send in flight, or the request for its retry
     * permit; empty if the send in flight continues.
     *
     * <p>Without this, the caller waits for its whole timeout if a server hangs or an answer is
     * lost without a connection error. Only a server with free slots is used, so that no request is
     * sent twice during overload, when all servers are slow.
     */
    public Optional<Step> onSlowAnswer(long nowMs) {
        boolean hasFreeServer =
                servers.select(nowMs).filter(s -> selector.hasFreeSlot(s, nowMs)).isPresent();
        if (!hasFreeServer || hedgeDelayMs().isEmpty() || nowMs >= request.expiresMs()) {
            return Optional.empty();
        }
        markMayHaveRun();
        return Optional.of(next(nowMs))
                .filter(s -> s instanceof Step.Send || s instanceof Step.AcquireRetryPermit);
    }

    /** Records that the caller has received event {@code id}. */
    public void onEvent(long id) {
        hasEvent = true;
        lastEventId = OptionalLong.of(id);
    }

    /** Returns the last event that the caller has received. */
    public OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns the final step of a request whose deadline has passed. */
    public Step.End endAtDeadline() {
        return finalSteps.endNow(
                ErrorCode.OVERLOADED, ErrorCode.DEADLINE_EXCEEDED, verdict(), "its time is over");
    }

    /** Returns the final step of a request whose router shuts down. */
    public Step.End endAtShutdown() {
        return finalSteps.endNow(
                ErrorCode.SHUTTING_DOWN, ErrorCode.ENGINE_LOST, verdict(), "this router ends");
    }

    /** Returns the final step of a request of which a step failed. */
    public Step.End endAfterFailure() {
        return new Step.End(ErrorCode.INTERNAL, verdict(), OptionalLong.empty(), "internal error");
    }

    /** Returns the current verdict on whether the request ran. */
    public Verdict verdict() {
        return isInFlight ? Verdict.MAY_HAVE_RUN : verdict;
    }

    public int sendCount() {
        return sendCount;
    }

    /**
     * Handles an answer from another server at the address: the selected server is gone.
     *
     * @param isNotRun whether the other server states that it has not run the request
     */
    public Step onWrongServer(BackendServer server, boolean isNotRun, long nowMs) {
        health.recordServerGone(server);
        if (!isNotRun) {
            markMayHaveRun();
            return next(nowMs);
        }
        sendCount--;
        return onRefused(nowMs);
    }

    /** Records that the last send did not run, so it has no copy. */
    private void markNotRun() {
        isInFlight = false;
        servers.recordNotRun();
    }

    private void markMayHaveRun() {
        isInFlight = false;
        verdict = Verdict.MAY_HAVE_RUN;
    }

    /** Releases the resources of the request; no other method may be called afterwards. */
    public void close() {
        requestWait.close();
    }

    private Step send(BackendServer server, boolean resumesFromCopy, long nowMs) {
        requestWait.close();
        permits.consume();
        if (!isRequestCounted) {
            isRequestCounted = true;
            retryLimiter.recordRequest(request.service(), nowMs);
        }
        sendCount++;
        transmissions++;
        isSilenceRecorded = false;
        isInFlight = true;
        Optional<BackendServer> copyHolder = servers.recordSend(server, nowMs);
        return new Step.Send(server, copyHolder, resumesFromCopy, lastEventId);
    }

    /** Returns the copy holder if it is usable; a run has no copy before its first event. */
    private Optional<BackendServer> usableCopyHolder(long nowMs) {
        return hasEvent ? servers.usableCopyHolder(nowMs) : Optional.empty();
    }

    /** Returns the final step of a request whose content is in quarantine. */
    public Step.End endInQuarantine(long nowMs) {
        boolean notRun = verdict().safeToSendAgain();
        String quarantined = contentPolicy.describeQuarantined(nowMs);
        return new Step.End(
                notRun ? ErrorCode.QUARANTINED : ErrorCode.ENGINE_LOST,
                verdict(),
                notRun ? contentPolicy.remainingQuarantineMs(nowMs) : OptionalLong.empty(),
                "servers ended under this content"
                        + (quarantined.isEmpty() ? "" : ", " + quarantined));
    }

    /**
     * Waits for the trial send of suspected content, or ends the request. An unsent request waits
     * at most as long as for a free server. A request that was sent waits as long for each of its
     * sends, and twice as long if its answer is partly delivered.
     */
    private Step waitForTrial(long nowMs) {
        return requestWait.hasTrialTimedOut(sendCount > 0, hasEvent, nowMs)
                ? end(
                        ErrorCode.OVERLOADED,
                        "servers ended under this content, and its trial is running",
                        Quarantine.TRIAL_MS)
                : new Step.Wait(WAIT_MS);
    }

    /**
     * Waits for a server, or ends the request. A short wait is useful, as a full or lost server is
     * soon replaced. A request for a service without servers is refused at once. A request with a
     * partly delivered answer waits until its deadline.
     */
    private Step waitOrEnd(long nowMs) {
        if (hasEvent) {
            return new Step.Wait(WAIT_MS);
        }
        if (servers.listed().stream().allMatch(selector::isLeaving)) {
            return end(ErrorCode.NO_ENGINE, "no server");
        }
        if (request.engine().isPresent() && !request.engine().get().holds(request.size().total())) {
            return new Step.End(
                    ErrorCode.NO_ENGINE,
                    verdict,
                    OptionalLong.empty(),
                    "request exceeds the memory of any engine");
        }
        OptionalLong waitMs = servers.timeUntilUnblockedMs(nowMs);
        if (waitMs.isPresent() && requestWait.hasTimedOut(nowMs + waitMs.getAsLong())) {
            return end(
                    ErrorCode.OVERLOADED, "servers take no more requests now", waitMs.getAsLong());
        }
        int running = selector.runsToReplace(servers.listed());
        Optional<String> refusal =
                requestWait.enterQueueOrRefuse(
                        sendCount,
                        running,
                        () -> selector.describeAvailability(servers.listed(), nowMs),
                        nowMs);
        return refusal.isPresent()
                ? end(ErrorCode.NO_ENGINE, refusal.get())
                : new Step.Wait(WAIT_MS);
    }

    /**
     * Delays a stream without retry budget while its result is still useful; ends any other
     * request.
     *
     * <p>If several domains fail within seconds, each of a router's streams is retried. The budget
     * is available again a second later, whereas ending a stream now wastes its prefill.
     */
    private Step waitForRetryBudget(long nowMs) {
        boolean isResumable = request.route().repeatability() == Repeatability.RESUMABLE;
        boolean isInTime = nowMs - request.receivedMs() < request.route().goalMs();
        return isResumable && (hasEvent || isInTime)
                ? new Step.Wait(RETRY_BUDGET_WAIT_MS)
                : end(ErrorCode.OVERLOADED, "no retry budget");
    }

    private Step.End end(ErrorCode code, String reason) {
        return end(code, reason, 0);
    }

    private Step.End end(ErrorCode code, String reason, long minMs) {
        return finalSteps.end(code, verdict, reason, minMs);
    }
}
