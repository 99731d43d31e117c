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
 * Offers this router's writes to the domain's writer and waits, within bounds, for its answers.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
final class OfferedWrites {
    private static final Logger LOG = LogManager.getLogger(OfferedWrites.class);

    private final ClaimSharing sharing;
    private final SharedWriteLimits limits;
    private final WriterLinks links;
    private final Supplier<? extends Collection<RouterId>> serving;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final BooleanSupplier tableOutHere;
    private final Consumer<SharingAction> actions;
    private Optional<RouterId> lastWriter = Optional.empty();

    OfferedWrites(
            ClaimSharing sharing,
            SharedWriteLimits limits,
            WriterLinks links,
            Supplier<? extends Collection<RouterId>> serving,
            ScheduledExecutorService control,
            Clock clock,
            BooleanSupplier tableOutHere,
            Consumer<SharingAction> actions) {
        this.sharing = checkNotNull(sharing, "sharing");
        this.limits = checkNotNull(limits, "limits");
        this.links = checkNotNull(links, "links");
        this.serving = checkNotNull(serving, "serving");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.tableOutHere = checkNotNull(tableOutHere, "tableOutHere");
        this.actions = checkNotNull(actions, "actions");
    }

    /**
     * Offers {@code item} to a writer, now or when it may start; false if it is to be written here.
     */
    boolean offer(BatchItem item) {
        long now = clock.nowMs();
        Optional<RouterId> writer = sharing.writerFor(item.write(), serving.get(), now);
        note(writer);
        if (writer.isEmpty()) {
            return false;
        }
        long delayMs = item.write().notBeforeMs() - now;
        if (delayMs <= 0) {
            return send(item, writer.get(), now);
        }
        control.schedule(() -> offerLater(item), delayMs, TimeUnit.MILLISECONDS);
        return true;
    }

    /** Takes a writer's word that it queued a write. */
    void taken(OfferKey key) {
        sharing.taken(key, clock.nowMs());
        lookAfter(key, limits.outcomeWaitMs());
    }

    /** Tells {@code claimant} that this router queued its write. */
    void tellTaken(RouterId claimant, OfferKey key) {
        links.taken(claimant, new ClaimTaken(key));
    }

    private void offerLater(BatchItem item) {
        if (!offer(item)) {
            actions.accept(new SharingAction.WriteHere(item));
        }
    }

    private boolean send(BatchItem item, RouterId writer, long nowMs) {
        Optional<ClaimOffer> message = ClaimOffer.of(item);
        if (message.isEmpty()) {
            return false;
        }
        OfferKey key = sharing.offered(item, writer, nowMs);
        lookAfter(key, limits.takeWaitMs());
        links.offer(writer, message.get(), limits.takeWaitMs() + limits.outcomeWaitMs())
                .whenCompleteAsync((answer, error) -> ended(key, answer, error), control);
        return true;
    }

    private void ended(OfferKey key, ClaimAnswer answer, Throwable error) {
        long now = clock.nowMs();
        if (error == null) {
            act(sharing.answered(key, answer, tableOutHere.getAsBoolean(), now));
        } else if (isNotRun(error)) {
            act(sharing.notSent(key, now));
        } else {
            act(sharing.lost(key, now));
        }
    }

    private static boolean isNotRun(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof MasticweirException e && e.verdict() == Verdict.NOT_RUN;
    }

    private void lookAfter(OfferKey key, long ms) {
        control.schedule(() -> act(sharing.overdue(key, clock.nowMs())), ms, TimeUnit.MILLISECONDS);
    }

    private void act(List<SharingAction> todo) {
        todo.forEach(actions);
    }

    private void note(Optional<RouterId> writer) {
        if (!writer.equals(lastWriter)) {
            lastWriter = writer;
            LOG.info("claims: written by {}", writer.map(RouterId::value).orElse("this router"));
        }
    }
}
