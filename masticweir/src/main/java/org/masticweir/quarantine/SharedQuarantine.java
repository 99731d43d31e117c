package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.id.ContentId;
import org.masticweir.id.RouterId;
import org.masticweir.metrics.MetricName;
import org.masticweir.quarantine.Quarantine.Change;
import org.masticweir.quarantine.Quarantine.ContentUpdate;
import org.masticweir.time.Clock;

/**
 * The quarantine of one router. Each change is logged and counted, and changes made by this router
 * are sent to the other routers and saved in the store.
 *
 * <p>Thread-safe: one lock guards the quarantine. No I/O, logging or callback runs under the lock.
 */
public final class SharedQuarantine {
    private static final Logger LOG = LogManager.getLogger(SharedQuarantine.class);

    /** Time for which changes are batched, in ms; short compared with the start of a run. */
    private static final long BATCH_MS = 5;

    /**
     * Minimum time between two successes that are recorded while there are no losses, in ms. They
     * show which parts are in frequent use; each of them costs the computation of the ids.
     */
    private static final long SUCCESS_SAMPLE_MS = 100;

    private final Quarantine quarantine;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final Consumer<CrashUpdate> broadcast;
    private final Consumer<CrashRecord> save;
    private final Counter suspectedCounter;
    private final Counter quarantinedCounter;
    private final Counter clearedCounter;
    private volatile BiConsumer<ImmutableSet<ContentId>, Change> listener = (ids, change) -> {};
    private volatile boolean isEmpty = true;
    private volatile long nextSampleMs = Long.MIN_VALUE;
    private boolean isBatchScheduled;

    /**
     * Creates the quarantine of one router.
     *
     * @param broadcast sends an update to all other routers; called on the control thread
     * @param save saves a record in durable storage; called on any thread
     */
    public SharedQuarantine(
            Quarantine quarantine,
            Clock clock,
            MetricRegistry metrics,
            ScheduledExecutorService control,
            Consumer<CrashUpdate> broadcast,
            Consumer<CrashRecord> save) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.clock = checkNotNull(clock, "clock");
        this.control = checkNotNull(control, "control");
        this.broadcast = checkNotNull(broadcast, "broadcast");
        this.save = checkNotNull(save, "save");
        suspectedCounter = metrics.counter(MetricName.of("contents_suspected_total"));
        quarantinedCounter = metrics.counter(MetricName.of("contents_quarantined_total"));
        clearedCounter = metrics.counter(MetricName.of("contents_cleared_total"));
    }

    /**
     * Sets the listener for contents and parts that become suspected or are put into quarantine. It
     * is called with the ids that changed together, on the thread that made the change, outside of
     * any lock.
     */
    public void onChange(BiConsumer<ImmutableSet<ContentId>, Change> newListener) {
        listener = checkNotNull(newListener, "newListener");
    }

    /**
     * Returns whether and where a request may be sent now.
     *
     * @param content supplier of the content id; called only while losses of any content are
     *     recorded
     */
    public SendRule sendRule(Supplier<RequestContent> content, long nowMs) {
        if (isEmpty) {
            return SendRule.ANY_SERVER;
        }
        RequestContent id = content.get();
        synchronized (this) {
            return quarantine.sendRule(id, nowMs);
        }
    }

    /** Returns the time until the quarantine of {@code content} ends, in ms. */
    public synchronized long remainingQuarantineMs(RequestContent content, long nowMs) {
        return quarantine.remainingQuarantineMs(content, nowMs);
    }

    /**
     * Returns which of the content and parts of a request are in quarantine, as text for logs and
     * callers; empty if none is.
     */
    public synchronized String describeQuarantined(RequestContent content, long nowMs) {
        return content.all().stream()
                .filter(id -> remainingMs(id, nowMs) > 0)
                .map(this::describe)
                .collect(Collectors.joining(", "));
    }

    private long remainingMs(ContentId id, long nowMs) {
        return quarantine.remainingQuarantineMs(RequestContent.of(id), nowMs);
    }

    /** Returns the contents and parts under which servers ended, the latest change last. */
    public synchronized ImmutableList<QuarantinedContent> contents() {
        long now = clock.nowMs();
        return quarantine.snapshot(now).stream()
                .map(ContentUpdate::record)
                .map(r -> new QuarantinedContent(r, remainingMs(r.content(), now)))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Releases a content or part at all routers; losses that are recorded later count. Returns
     * whether servers had ended under it.
     */
    public boolean release(ContentId id) {
        boolean isKnown = record(id).filter(r -> r.crashCount() > 0).isPresent();
        if (isKnown) {
            apply(
                    "released by an operator",
                    now -> quarantine.recordSuccess(RequestContent.of(id), now, now));
        }
        return isKnown;
    }

    /**
     * Records a send. Returns whether the send is a trial; the trial lasts until {@link #endTrial}.
     */
    public boolean beginTrial(Supplier<RequestContent> content) {
        if (isEmpty) {
            return false;
        }
        RequestContent id = content.get();
        synchronized (this) {
            boolean isOnTrial = quarantine.beginTrial(id, clock.nowMs());
            scheduleBatch();
            return isOnTrial;
        }
    }

    /** Records the end of a trial. */
    public synchronized void endTrial(RequestContent content) {
        quarantine.endTrial(content);
        scheduleBatch();
    }

    /**
     * Records that the cause of a loss is being determined; requests with the content wait until
     * {@link #endInquiry}.
     */
    public synchronized void beginInquiry(RequestContent content) {
        quarantine.beginInquiry(content, clock.nowMs());
        isEmpty = false;
    }

    /** Records that the cause of a loss has been determined. */
    public synchronized void endInquiry(RequestContent content) {
        quarantine.endInquiry(content);
        isEmpty = quarantine.isEmpty();
    }

    /** Records the end of a server that had begun to run a request with {@code content}. */
    public void recordLoss(RequestContent content, Loss loss, String cause) {
        recordLosses(ImmutableMap.of(content, loss), cause);
    }

    /**
     * Records the end of one server with all requests that it had begun to run. Listeners are
     * notified once, after all of them, so that none sees a part without the others that were lost
     * with it.
     */
    public void recordLosses(Map<RequestContent, Loss> losses, String cause) {
        apply(cause, now -> quarantine.recordLosses(losses, now));
    }

    /**
     * Records that a request ran for longer than a trial lasts, or received its whole answer.
     *
     * @param beganMs when the run began
     */
    public void recordSuccess(Supplier<RequestContent> content, long beganMs) {
        long nowMs = clock.nowMs();
        if (isEmpty && nowMs < nextSampleMs) {
            return;
        }
        nextSampleMs = nowMs + SUCCESS_SAMPLE_MS;
        RequestContent ids = content.get();
        apply(
                "a request with it ran without a crash",
                now -> quarantine.recordSuccess(ids, beganMs, now));
    }

    /** Records an answer of an incarnation whose loss was counted. */
    public void recordAlive(ServerIncarnation incarnation) {
        apply(incarnation + " is alive", now -> quarantine.recordAlive(incarnation, now));
    }

    /** Handles an update from another router. */
    public void handleUpdate(RouterId peer, CrashUpdate update) {
        update.contents().forEach(n -> handleUpdate(peer, n));
    }

    private void handleUpdate(RouterId peer, ContentUpdate update) {
        ContentId content = update.record().content();
        Change change;
        synchronized (this) {
            change = quarantine.handleUpdate(peer, update, clock.nowMs());
            isEmpty = quarantine.isEmpty();
            // Other routers may not know a success that this router saw.
            scheduleBatch();
        }
        if (change == Change.QUARANTINED) {
            log(content, change, "update from " + peer);
        } else if (change != Change.NONE) {
            // The router that made the change has logged it at a higher level.
            LOG.debug("quarantine: content {} is {}, update from {}", content, change, peer);
        }
        notifyListener(ImmutableMap.of(content, change));
    }

    /** Applies a record read from the store. */
    public void restore(CrashRecord record) {
        Change change;
        synchronized (this) {
            change = quarantine.restore(record, clock.nowMs());
            isEmpty = false;
        }
        log(record.content(), change, "read from the store");
        notifyListener(ImmutableMap.of(record.content(), change));
    }

    /** Removes the trials of a lost router. */
    public synchronized void removeTrialsOf(RouterId peer) {
        quarantine.removeTrialsOf(peer);
    }

    /** Returns all records, for a router that has just been linked; empty if there are none. */
    public synchronized Optional<CrashUpdate> snapshot() {
        List<ContentUpdate> all = quarantine.snapshot(clock.nowMs());
        return all.isEmpty() ? Optional.empty() : Optional.of(new CrashUpdate(all));
    }

    /** A call that may change the states of contents and parts. */
    private interface Command {
        ImmutableMap<ContentId, Change> runAt(long nowMs);
    }

    private void apply(String cause, Command command) {
        ImmutableMap<ContentId, Change> changes;
        synchronized (this) {
            changes = command.runAt(clock.nowMs());
            isEmpty = quarantine.isEmpty();
            scheduleBatch();
        }
        changes.forEach(
                (content, change) -> {
                    log(content, change, cause);
                    if (change != Change.NONE) {
                        record(content).ifPresent(save);
                    }
                });
        notifyListener(changes);
    }

    private void notifyListener(ImmutableMap<ContentId, Change> changes) {
        for (Change change : ImmutableList.of(Change.SUSPECTED, Change.QUARANTINED)) {
            ImmutableSet<ContentId> ids =
                    changes.keySet().stream()
                            .filter(id -> changes.get(id) == change)
                            .collect(ImmutableSet.toImmutableSet());
            if (!ids.isEmpty()) {
                listener.accept(ids, change);
            }
        }
    }

    private synchronized Optional<CrashRecord> record(ContentId content) {
        return quarantine.record(content);
    }

    /**
     * Sends the changes of some milliseconds together, since the end of one server may affect
     * several contents.
     */
    private void scheduleBatch() {
        if (isBatchScheduled || !quarantine.hasUpdates()) {
            return;
        }
        isBatchScheduled = true;
        ControlThread.executeAfter(control, this::sendBatch, BATCH_MS, "quarantine");
    }

    private void sendBatch() {
        CrashUpdate update;
        synchronized (this) {
            isBatchScheduled = false;
            update = new CrashUpdate(quarantine.drainUpdates(clock.nowMs()));
        }
        if (!update.contents().isEmpty()) {
            broadcast.accept(update);
        }
    }

    private void log(ContentId content, Change change, String cause) {
        if (change == Change.SUSPECTED) {
            suspectedCounter.inc();
            LOG.info(
                    "quarantine: {} is suspect, {}",
                    describe(content),
                    describeLosses(content, cause));
        } else if (change == Change.QUARANTINED) {
            quarantinedCounter.inc();
            LOG.warn(
                    "quarantine: {} is not sent for {} ms, {}",
                    describe(content),
                    remainingMs(content),
                    describeLosses(content, cause));
        } else if (change == Change.CLEARED) {
            clearedCounter.inc();
            LOG.info("quarantine: {} is cleared, {}", describe(content), cause);
        }
    }

    private synchronized long remainingMs(ContentId content) {
        return quarantine.remainingQuarantineMs(content, clock.nowMs());
    }

    private String describe(ContentId content) {
        boolean isPart = record(content).map(CrashRecord::isPart).orElse(false);
        return (isPart ? "part " : "content ") + content;
    }

    private String describeLosses(ContentId content, String cause) {
        return record(content)
                .map(r -> cause + "; " + r.crashCount() + " ends counted of " + r.countedLosses())
                .orElse(cause);
    }
}
