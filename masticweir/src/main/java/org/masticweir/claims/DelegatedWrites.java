package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.RouterId;
import org.masticweir.time.Clock;

/**
 * Delegates this router's writes to the domain's writer and waits, with timeouts, for its
 * responses.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
final class DelegatedWrites {
    private static final Logger LOG = LogManager.getLogger(DelegatedWrites.class);

    private final WriteDelegation delegation;
    private final SharedWriteLimits limits;
    private final WriterLinks links;
    private final Supplier<? extends Collection<RouterId>> servingRouters;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final BooleanSupplier isTableUnavailable;
    private final Consumer<DelegationAction> actionHandler;
    private Optional<RouterId> currentWriter = Optional.empty();

    DelegatedWrites(
            WriteDelegation delegation,
            SharedWriteLimits limits,
            WriterLinks links,
            Supplier<? extends Collection<RouterId>> servingRouters,
            ScheduledExecutorService control,
            Clock clock,
            BooleanSupplier isTableUnavailable,
            Consumer<DelegationAction> actionHandler) {
        this.delegation = checkNotNull(delegation, "delegation");
        this.limits = checkNotNull(limits, "limits");
        this.links = checkNotNull(links, "links");
        this.servingRouters = checkNotNull(servingRouters, "servingRouters");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.isTableUnavailable = checkNotNull(isTableUnavailable, "isTableUnavailable");
        this.actionHandler = checkNotNull(actionHandler, "actionHandler");
    }

    /**
     * Delegates {@code item} to a writer, now or at its start time; returns false if this router
     * has to write the row itself.
     */
    boolean delegate(BatchItem item) {
        long now = clock.nowMs();
        Optional<RouterId> writer = delegation.writerFor(item.write(), servingRouters.get(), now);
        logWriterChange(writer);
        if (writer.isEmpty()) {
            return false;
        }
        long delayMs = item.write().notBeforeMs() - now;
        if (delayMs <= 0) {
            return send(item, writer.get(), now);
        }
        control.schedule(() -> delegateDelayed(item), delayMs, TimeUnit.MILLISECONDS);
        return true;
    }

    /** Handles a writer's notification that it queued a write. */
    void onAccepted(ClaimWriteId key) {
        delegation.markAccepted(key, clock.nowMs());
        scheduleExpiry(key, limits.outcomeWaitMs());
    }

    /** Notifies {@code claimant} that this router queued the claimant's write. */
    void sendAccepted(RouterId claimant, ClaimWriteId key) {
        links.sendAccepted(claimant, new ClaimWriteAccepted(key));
    }

    private void delegateDelayed(BatchItem item) {
        if (!delegate(item)) {
            actionHandler.accept(new DelegationAction.WriteLocally(item));
        }
    }

    private boolean send(BatchItem item, RouterId writer, long nowMs) {
        Optional<ClaimWriteRequest> message = ClaimWriteRequest.of(item);
        if (message.isEmpty()) {
            return false;
        }
        ClaimWriteId key = delegation.addPending(item, writer, nowMs);
        scheduleExpiry(key, limits.acceptWaitMs());
        links.sendWrite(writer, message.get(), limits.acceptWaitMs() + limits.outcomeWaitMs())
                .whenCompleteAsync((response, error) -> onResponse(key, response, error), control);
        return true;
    }

    private void onResponse(ClaimWriteId key, ClaimWriteResponse response, Throwable error) {
        long now = clock.nowMs();
        if (error == null) {
            applyAll(delegation.onResponse(key, response, isTableUnavailable.getAsBoolean(), now));
        } else if (isNotRun(error)) {
            applyAll(delegation.onNotSent(key, now));
        } else {
            applyAll(delegation.onLinkLost(key, now));
        }
    }

    private static boolean isNotRun(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof MasticweirException e && e.verdict() == Verdict.NOT_RUN;
    }

    private void scheduleExpiry(ClaimWriteId key, long ms) {
        control.schedule(
                () -> applyAll(delegation.expire(key, clock.nowMs())), ms, TimeUnit.MILLISECONDS);
    }

    private void applyAll(List<DelegationAction> newActions) {
        newActions.forEach(actionHandler);
    }

    private void logWriterChange(Optional<RouterId> writer) {
        if (!writer.equals(currentWriter)) {
            currentWriter = writer;
            LOG.info("claims: written by {}", writer.map(RouterId::value).orElse("this router"));
        }
    }
}
