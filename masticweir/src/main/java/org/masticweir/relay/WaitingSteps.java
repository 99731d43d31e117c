package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.forward.Step;

/**
 * Executes the steps of one request that wait for a result or for time, and reports the step that
 * follows; runs on the traffic thread.
 */
final class WaitingSteps implements AutoCloseable {
    private final RelayContext context;
    private final RequestParameters params;
    private final RequestStateMachine machine;
    private final RequestLog log;
    private final RequestPermits permits;
    private final RequestTimer timer;
    private final RequestGuard guard;
    private final Consumer<Step> onNext;
    private boolean isClosed;

    /**
     * Creates the steps of a request.
     *
     * @param onNext receives the next step, unless this object was closed meanwhile
     */
    WaitingSteps(
            RelayContext context,
            RequestParameters params,
            RequestStateMachine machine,
            RequestLog log,
            RequestPermits permits,
            RequestTimer timer,
            RequestGuard guard,
            Consumer<Step> onNext) {
        this.context = checkNotNull(context, "context");
        this.params = checkNotNull(params, "params");
        this.machine = checkNotNull(machine, "machine");
        this.log = checkNotNull(log, "log");
        this.permits = checkNotNull(permits, "permits");
        this.timer = checkNotNull(timer, "timer");
        this.guard = checkNotNull(guard, "guard");
        this.onNext = checkNotNull(onNext, "onNext");
    }

    /** Asks for the next step of the request now. */
    void next() {
        continueWith(() -> machine.next(now()));
    }

    /** Executes {@code step}, which must be one that waits. */
    void execute(Step step) {
        if (step instanceof Step.QueryPromptCaches query) {
            searchPrompt(query);
        } else if (step instanceof Step.AcquirePermit permit) {
            permits.requestServerPermit(
                    permit.server(),
                    permit.urgency(),
                    granted ->
                            continueWith(
                                    () ->
                                            machine.onPermitDecision(
                                                    permit.server(), granted, now())));
        } else if (step instanceof Step.AcquireRetryPermit retry) {
            permits.requestRetryPermit(
                    params.service(),
                    retry.urgency(),
                    granted -> continueWith(() -> machine.onRetryDecision(granted, now())));
        } else {
            timer.set(((Step.Wait) step).delayMs(), this::next);
        }
    }

    private void searchPrompt(Step.QueryPromptCaches query) {
        PromptSearch.start(
                query.engines(),
                context.promptCaches(),
                params.prompt().orElseThrow(),
                engine ->
                        continueWith(
                                () -> {
                                    log.logPromptSearch(query.engines().size(), engine);
                                    return machine.onPromptCacheResult(engine, now());
                                }));
    }

    private void continueWith(Supplier<Step> step) {
        guard.run(
                () -> {
                    if (!isClosed) {
                        onNext.accept(step.get());
                    }
                });
    }

    /** Ends all waits; no further step is reported. */
    @Override
    public void close() {
        isClosed = true;
    }

    private long now() {
        return context.clock().nowMs();
    }
}
