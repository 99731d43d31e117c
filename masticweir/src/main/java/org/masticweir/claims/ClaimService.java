package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.peer.PeerLinks;
import org.masticweir.peer.Reply;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.TableService;
import org.masticweir.store.TransactionOutcome;
import org.masticweir.time.Clock;

/**
 * Manages the claims of one router in the platform's table.
 *
 * <p>All state is confined to the control executor passed in, which must have one thread; the
 * public methods may be called from any thread.
 */
public final class ClaimService implements ClaimCommands, ClaimQueries {
    private static final Logger LOG = LogManager.getLogger(ClaimService.class);

    /** A claim in progress. */
    private record ActiveClaim(
            ClaimStateMachine stateMachine,
            CompletableFuture<ClaimDecision> decision,
            ScheduledFuture<?> deadlineTimer) {}

    private final RouterId self;
    private final TableService table;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final ClaimServiceSettings settings;
    private final ClaimBatcher batcher;
    private final PeerWrites peerWrites;
    private final Map<Long, ActiveClaim> activeClaims = new HashMap<>();
    private Optional<DelegatedWrites> delegatedWrites = Optional.empty();
    private long lastClaimId;
    private long wakeUpAtMs = Long.MAX_VALUE;

    private ClaimService(
            RouterId self,
            TableService table,
            ScheduledExecutorService control,
            Clock clock,
            ClaimServiceSettings settings) {
        this.self = checkNotNull(self, "self");
        this.table = checkNotNull(table, "table");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.settings = checkNotNull(settings, "settings");
        batcher = new ClaimBatcher(settings.batch(), clock.nowMs());
        peerWrites = new PeerWrites(batcher, clock);
    }

    /** Returns a service that runs on {@code control}. */
    public static ClaimService create(
            RouterId self,
            TableService table,
            ScheduledExecutorService control,
            Clock clock,
            ClaimServiceSettings settings) {
        return new ClaimService(self, table, control, clock, settings);
    }

    /**
     * Shares writes with the other routers of the domain; call this method once, before the first
     * claim.
     *
     * @param serving serving routers of the domain, including this router if it serves
     */
    public void enableSharedWrites(
            PeerLinks links,
            Supplier<? extends Collection<RouterId>> serving,
            SharedWriteLimits limits) {
        shareWrites(new PeerWriterLinks(links), serving, limits);
        links.on(
                ClaimWriteRequest.class,
                (from, m, reply) -> control.execute(() -> acceptPeerWrite(from, m, reply)));
        links.on(
                ClaimWriteAccepted.class, (from, m, reply) -> control.execute(() -> onAccepted(m)));
    }

    /** Shares writes over {@code links}, which deliver messages to the methods below. */
    void shareWrites(
            WriterLinks links,
            Supplier<? extends Collection<RouterId>> serving,
            SharedWriteLimits limits) {
        WriteDelegation delegation = new WriteDelegation(self, limits);
        delegatedWrites =
                Optional.of(
                        new DelegatedWrites(
                                delegation,
                                limits,
                                links,
                                serving,
                                control,
                                clock,
                                () -> batcher.isPaused(clock.nowMs()),
                                this::onDelegationAction));
    }

    /** Queues the write of another router if there is room; control thread only. */
    void acceptPeerWrite(RouterId from, ClaimWriteRequest request, Reply reply) {
        if (peerWrites.accept(request, reply)) {
            delegatedWrites.ifPresent(d -> d.sendAccepted(from, request.id()));
        }
        commitDueGroups();
    }

    /**
     * Handles a writer's notification that it queued a write of this router; control thread only.
     */
    void onAccepted(ClaimWriteAccepted message) {
        delegatedWrites.ifPresent(d -> d.onAccepted(message.id()));
    }

    @Override
    public CompletableFuture<ClaimDecision> claim(TeamId team, RequestId request, long deadlineMs) {
        RowKey key = ClaimRow.keyOf(team, request);
        CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
        control.execute(() -> start(key, deadlineMs, decision));
        return decision;
    }

    @Override
    public void reportNotSent(ClaimPermit permit) {
        control.execute(() -> deliver(permit.claim(), new ClaimEvent.NotSent()));
    }

    @Override
    public void reportEnded(ClaimPermit permit, Verdict verdict, String result) {
        control.execute(() -> deliver(permit.claim(), new ClaimEvent.Ended(verdict, result)));
    }

    @Override
    public CompletableFuture<ReadOutcome<Optional<ClaimRow>>> find(TeamId team, RequestId request) {
        return table.read(ClaimRow.keyOf(team, request), settings.timeoutMs())
                .thenApply(ClaimService::decode);
    }

    private void start(RowKey key, long deadlineMs, CompletableFuture<ClaimDecision> decision) {
        long now = clock.nowMs();
        long id = ++lastClaimId;
        ClaimRow row = ClaimRow.claimed(UUID.randomUUID().toString(), self, clock.wallMs());
        ClaimStateMachine state =
                ClaimStateMachine.of(key, row, settings.policy(), now, deadlineMs);
        ScheduledFuture<?> timer =
                control.schedule(
                        () -> deliver(id, new ClaimEvent.GiveUp()),
                        Math.max(0, deadlineMs - now),
                        TimeUnit.MILLISECONDS);
        activeClaims.put(id, new ActiveClaim(state, decision, timer));
        apply(id, state.start(now));
        commitDueGroups();
    }

    private void deliver(long id, ClaimEvent event) {
        deliverOne(id, event);
        commitDueGroups();
    }

    private void deliverOne(long id, ClaimEvent event) {
        ActiveClaim claim = activeClaims.get(id);
        if (claim == null) {
            return;
        }
        try {
            apply(id, claim.stateMachine().onEvent(event, clock.nowMs()));
        } catch (IllegalArgumentException | IllegalStateException e) {
            // If a row can't be read, for example a row of a later version, its request must not
            // run twice.
            LOG.error("claims: claim {} dropped, {}", id, e.getMessage());
            remove(id);
            complete(
                    claim,
                    new ClaimDecision.Refused(
                            MasticweirException.notRun(
                                    ErrorCode.INTERNAL, "claim row not readable")));
        }
    }

    private void apply(long id, List<ClaimAction> actions) {
        for (ClaimAction action : actions) {
            apply(id, action);
        }
    }

    private void apply(long id, ClaimAction action) {
        ActiveClaim claim = activeClaims.get(id);
        if (action instanceof ClaimAction.Write w) {
            write(id, w.write());
        } else if (action instanceof ClaimAction.Grant m) {
            complete(claim, new ClaimDecision.Granted(new ClaimPermit(id, m.sendBeforeMs())));
        } else if (action instanceof ClaimAction.ReportAlreadyClaimed j) {
            complete(claim, new ClaimDecision.AlreadyClaimed(j.row()));
        } else if (action instanceof ClaimAction.Refuse r) {
            LOG.warn("claims: claim {} refused, {}", id, r.error().getMessage());
            complete(claim, new ClaimDecision.Refused(r.error()));
        } else {
            remove(id);
        }
    }

    private void write(long id, ClaimWrite write) {
        BatchItem item = new BatchItem(id, write);
        if (!delegatedWrites.map(o -> o.delegate(item)).orElse(false)) {
            writeLocally(item);
        }
    }

    private void onDelegationAction(DelegationAction action) {
        if (action instanceof DelegationAction.Report t) {
            deliver(t.event().claim(), t.event().event());
        } else {
            writeLocally(((DelegationAction.WriteLocally) action).item());
            commitDueGroups();
        }
    }

    private void writeLocally(BatchItem item) {
        ClaimWrite write = item.write();
        long id = item.claim();
        OptionalLong retryAfterMs = batcher.offer(item, clock.nowMs());
        if (retryAfterMs.isPresent()) {
            // Runs as a separate task so that repeated refusals don't nest calls, and not before
            // the start time of the write, so that its retries last for an outage.
            ClaimEvent event = new ClaimEvent.NotDone(write.ticket(), retryAfterMs);
            long delayMs = Math.max(0, write.notBeforeMs() - clock.nowMs());
            control.schedule(() -> deliver(id, event), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private static void complete(ActiveClaim claim, ClaimDecision decision) {
        claim.deadlineTimer().cancel(false);
        claim.decision().complete(decision);
    }

    private void remove(long id) {
        ActiveClaim claim = activeClaims.remove(id);
        claim.deadlineTimer().cancel(false);
    }

    private void commitDueGroups() {
        long now = clock.nowMs();
        Optional<ClaimGroup> group = batcher.nextGroup(now);
        while (group.isPresent()) {
            commit(group.get());
            group = batcher.nextGroup(now);
        }
        batcher.nextDueMs(now).ifPresent(due -> wakeUpAt(due, now));
    }

    private void commit(ClaimGroup group) {
        table.transact(group.transaction(), settings.timeoutMs())
                .thenAcceptAsync(outcome -> onOutcome(group, outcome), control);
    }

    private void onOutcome(ClaimGroup group, TransactionOutcome outcome) {
        boolean wasPaused = batcher.isPaused(clock.nowMs());
        List<BatchEvent> events = batcher.onOutcome(group.id(), outcome, clock.nowMs());
        if (!wasPaused && batcher.isPaused(clock.nowMs())) {
            LOG.warn("claims: table out, {}, {} rows wait", outcome, batcher.queuedRows());
        }
        for (BatchEvent e : events) {
            if (!peerWrites.respond(e)) {
                deliverOne(e.claim(), e.event());
            }
        }
        commitDueGroups();
    }

    private void wakeUpAt(long dueMs, long nowMs) {
        if (wakeUpAtMs <= dueMs && wakeUpAtMs > nowMs) {
            return;
        }
        wakeUpAtMs = dueMs;
        control.schedule(this::wakeUp, Math.max(1, dueMs - nowMs), TimeUnit.MILLISECONDS);
    }

    private void wakeUp() {
        wakeUpAtMs = Long.MAX_VALUE;
        commitDueGroups();
    }

    private static ReadOutcome<Optional<ClaimRow>> decode(ReadOutcome<Row> read) {
        if (!(read instanceof ReadOutcome.Done<Row> done)) {
            return new ReadOutcome.NotRead<>(((ReadOutcome.NotRead<Row>) read).reason());
        }
        Row row = done.value();
        try {
            return new ReadOutcome.Done<>(
                    row.isPresent() ? Optional.of(ClaimRow.decode(row.value())) : Optional.empty());
        } catch (IllegalArgumentException e) {
            return new ReadOutcome.NotRead<>(String.valueOf(e.getMessage()));
        }
    }
}
