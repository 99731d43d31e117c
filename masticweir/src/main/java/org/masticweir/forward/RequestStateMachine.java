package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.path.ConnectFailure;
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

    /** Number of urgency levels within one route priority. */
    private static final int URGENCY_STAGES = 3;

    private final RequestParameters request;
    private final Supplier<ImmutableList<BackendServer>> servers;
    private final ServerSelector selector;
    private final ServerHealth health;
    private final RetryLimiter retryLimiter;
    private final ContentPolicy contentPolicy;
    private final RequestWait requestWait;
    private final RetryDelay retryDelay;

    private final Set<ServerIncarnation> triedServers = new HashSet<>();
    private final HeldPermits permits = new HeldPermits();
    private int sendCount;
    private int transmissions;

    /** Time at which the send in flight was counted as a retry; empty if it is not counted. */
    private OptionalLong retryCountedMs = OptionalLong.empty();

    private boolean isRequestCounted;
    private boolean isInFlight;
    private Verdict verdict = Verdict.NOT_RUN;
    private OptionalLong lastEventId;
    private boolean hasEvent;
    private Optional<BackendServer> copyHolder = Optional.empty();
    private Optional<BackendServer> cachingEngine = Optional.empty();
    private boolean hasQueriedCaches;

    /** Whether the content is suspected: servers ended while they ran the same content. */
    private boolean mustUseLeastLoaded;

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
        this.servers = checkNotNull(servers, "servers");
        this.selector = checkNotNull(selector, "selector");
        this.health = checkNotNull(health, "health");
        this.retryLimiter = checkNotNull(retryLimiter, "retryLimiter");
        this.contentPolicy = checkNotNull(contentPolicy, "contentPolicy");
        requestWait = new RequestWait(request, waitQueue);
        retryDelay = new RetryDelay(request.route().goalMs(), random);
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
        mustUseLeastLoaded = rule == SendRule.LEAST_LOADED;
        if (!hasQueriedCaches && request.mayBeCached()) {
            hasQueriedCaches = true;
            ImmutableList<BackendServer> engines =
                    selector.enginesToQuery(
                            servers.get(), request.size(), request.engine().get(), nowMs);
            if (!engines.isEmpty()) {
                return new Step.QueryPromptCaches(engines);
            }
        }
        Optional<BackendServer> permittedServer = permits.permittedServer(nowMs);
        Optional<BackendServer> usableCopyHolder = usableCopyHolder(nowMs);
        Optional<BackendServer> server =
                permittedServer
                        .filter(
                                s ->
                                        selector.canAcceptWithPermit(
                                                s, request.size(), request.engine(), nowMs))
                        .or(() -> usableCopyHolder)
                        .or(() -> usableCachingEngine(nowMs))
                        .or(() -> selectServer(nowMs));
        if (server.isEmpty() || requestWait.mustWait(sendCount, nowMs)) {
            return waitOrEnd(nowMs);
        }
        if (selector.needsPermit(server.get()) && !permittedServer.equals(server)) {
            return new Step.AcquirePermit(server.get(), urgency());
        }
        retryCountedMs = OptionalLong.empty();
        if (transmissions > 0 && !permits.allowsRetry(nowMs)) {
            if (!retryLimiter.tryRetry(request.service(), nowMs)) {
                return retryLimiter.mayRequestPermit(request.service(), nowMs)
                        ? new Step.AcquireRetryPermit(urgency())
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
        return findListed(server).filter(s -> selector.mayStillAccept(s, nowMs)).isPresent();
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
        cachingEngine = checkNotNull(engine, "engine");
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
        if (request.engine().isPresent()) {
            health.recordLoss(server, nowMs);
        }
        return next(nowMs);
    }

    /** Returns the send or permit request that replaces a server's error answer, if allowed. */
    public Optional<Step> onErrorAnswer(long nowMs) {
        markMayHaveRun();
        boolean canRetry =
                request.route().repeatability().mayRunAgain()
                        && sendCount < request.route().attempts()
                        && nowMs < request.expiresMs()
                        && selectServer(nowMs).isPresent();
        if (!canRetry) {
            return Optional.empty();
        }
        return Optional.of(next(nowMs)).filter(Step::mayLeadToSend);
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
                selectServer(nowMs).filter(s -> selector.hasFreeSlot(s, nowMs)).isPresent();
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
        return endNow(ErrorCode.OVERLOADED, ErrorCode.DEADLINE_EXCEEDED, "its time is over");
    }

    /** Returns the final step of a request whose router shuts down. */
    public Step.End endAtShutdown() {
        return endNow(ErrorCode.SHUTTING_DOWN, ErrorCode.ENGINE_LOST, "this router ends");
    }

    /** Ends the request now; the error code depends on whether the request may have run. */
    private Step.End endNow(ErrorCode notRun, ErrorCode mayHaveRun, String reason) {
        Verdict known = verdict();
        ErrorCode code = known.safeToSendAgain() ? notRun : mayHaveRun;
        return new Step.End(code, known, retryAfterMs(0), reason);
    }

    /** Returns the current verdict on whether the request ran. */
    public Verdict verdict() {
        return isInFlight ? Verdict.MAY_HAVE_RUN : verdict;
    }

    public int sendCount() {
        return sendCount;
    }

    /** Handles an answer from another server at the address: the selected server is gone. */
    public Step onWrongServer(BackendServer server, long nowMs) {
        sendCount--;
        health.recordServerGone(server);
        return onRefused(nowMs);
    }

    /** Records that the last send did not run, so it has no copy. */
    private void markNotRun() {
        isInFlight = false;
        copyHolder = Optional.empty();
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
        isInFlight = true;
        triedServers.add(server.incarnation());
        copyHolder =
                request.needsCopy()
                        ? selector.selectCopyHolder(
                                servers.get(),
                                server,
                                request.size(),
                                request.engine().get(),
                                nowMs)
                        : Optional.empty();
        return new Step.Send(server, copyHolder, resumesFromCopy, lastEventId);
    }

    /** Returns the copy holder if it is usable; a run has no copy before its first event. */
    private Optional<BackendServer> usableCopyHolder(long nowMs) {
        if (!hasEvent) {
            return Optional.empty();
        }
        return copyHolder
                .filter(h -> !triedServers.contains(h.incarnation()) && !health.isDown(h, nowMs))
                .filter(h -> selector.remainingBlockMs(h, nowMs) == 0)
                .flatMap(this::findListed);
    }

    /** Returns the current entry of a server; empty if its incarnation is not listed. */
    private Optional<BackendServer> findListed(BackendServer server) {
        return servers.get().stream()
                .filter(s -> s.incarnation().equals(server.incarnation()))
                .findAny();
    }

    private Optional<BackendServer> usableCachingEngine(long nowMs) {
        return cachingEngine.filter(
                e -> !triedServers.contains(e.incarnation()) && canAccept(e, nowMs));
    }

    private boolean canAccept(BackendServer server, long nowMs) {
        return selector.canAccept(server, request.size(), request.engine(), nowMs);
    }

    /**
     * Returns the best untried server. If none is left, a resumable stream may use a tried server.
     *
     * <p>Without this, a stream in a partitioned domain with two engines waits until its deadline
     * if both engines have stalled for a moment, although both run again.
     */
    private Optional<BackendServer> selectServer(long nowMs) {
        Optional<BackendServer> untried = selectExcluding(triedServers, nowMs);
        boolean isResumable = request.route().repeatability() == Repeatability.RESUMABLE;
        return untried.isPresent() || !isResumable ? untried : selectExcluding(Set.of(), nowMs);
    }

    private Optional<BackendServer> selectExcluding(Set<ServerIncarnation> excluded, long nowMs) {
        return mustUseLeastLoaded
                ? selector.selectLeastLoaded(
                        servers.get(), request.size(), request.engine(), excluded, nowMs)
                : selector.select(servers.get(), request.size(), request.engine(), excluded, nowMs);
    }

    /**
     * Returns the urgency of this request among those that need a permit: ordered by route
     * priority, then continued answers, unsent requests and retries.
     */
    private int urgency() {
        int stage = hasEvent ? 0 : sendCount == 0 ? 1 : 2;
        return request.route().priority() * URGENCY_STAGES + stage;
    }

    /** Returns the final step of a request whose content is in quarantine. */
    public Step.End endInQuarantine(long nowMs) {
        boolean notRun = verdict().safeToSendAgain();
        return new Step.End(
                notRun ? ErrorCode.QUARANTINED : ErrorCode.ENGINE_LOST,
                verdict(),
                notRun ? contentPolicy.remainingQuarantineMs(nowMs) : OptionalLong.empty(),
                "servers ended under this content");
    }

    /** Waits for the trial send of suspected content, at most as long as for a free server. */
    private Step waitForTrial(long nowMs) {
        return hasEvent || !requestWait.hasTimedOut(nowMs)
                ? new Step.Wait(WAIT_MS)
                : end(
                        ErrorCode.OVERLOADED,
                        "servers ended under this content, and its trial is running");
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
        if (servers.get().stream().allMatch(selector::isLeaving)) {
            return end(ErrorCode.NO_ENGINE, "no server");
        }
        if (request.engine().isPresent() && !request.engine().get().holds(request.size().total())) {
            return new Step.End(
                    ErrorCode.NO_ENGINE,
                    verdict,
                    OptionalLong.empty(),
                    "request exceeds the memory of any engine");
        }
        OptionalLong waitMs = selector.timeUntilUnblockedMs(servers.get(), triedServers, nowMs);
        if (waitMs.isPresent() && requestWait.hasTimedOut(nowMs + waitMs.getAsLong())) {
            return end(
                    ErrorCode.OVERLOADED, "servers take no more requests now", waitMs.getAsLong());
        }
        int running = selector.runsToReplace(servers.get());
        Optional<String> refusal =
                requestWait.enterQueueOrRefuse(
                        sendCount,
                        running,
                        () -> selector.describeAvailability(servers.get(), nowMs),
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

    /** Ends the request with an error; its caller may retry after {@code minMs} at the earliest. */
    private Step.End end(ErrorCode code, String reason, long minMs) {
        ErrorCode error = verdict.safeToSendAgain() ? ErrorCode.OVERLOADED : code;
        boolean isUnsafe = !verdict.safeToSendAgain() && error.httpStatus() == 503;
        return new Step.End(
                isUnsafe ? ErrorCode.ENGINE_LOST : error, verdict, retryAfterMs(minMs), reason);
    }

    private OptionalLong retryAfterMs(long minMs) {
        return OptionalLong.of(retryDelay.nextMs(minMs));
    }
}
