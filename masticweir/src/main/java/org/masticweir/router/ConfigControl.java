package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.ChangeAnswer;
import org.masticweir.config.ConfigAction;
import org.masticweir.config.ConfigRows;
import org.masticweir.config.ConfigState;
import org.masticweir.config.ConfigView;
import org.masticweir.config.Deployment;
import org.masticweir.config.HistoryEntry;
import org.masticweir.config.OfferedRevision;
import org.masticweir.config.ProposedChange;
import org.masticweir.config.RecentRevisions;
import org.masticweir.config.RevisionSource;
import org.masticweir.config.StoredRevision;
import org.masticweir.config.TableReads;
import org.masticweir.config.TableView;
import org.masticweir.config.WriteOutcome;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.DomainId;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.TableService;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;
import org.masticweir.time.Clock;

/**
 * Carries out what {@link ConfigState} decides.
 *
 * <p>Owned by the control thread, but for {@link #tableAnswers}, which any thread may ask.
 */
final class ConfigControl {
    private static final Logger LOG = LogManager.getLogger(ConfigControl.class);
    private static final RowKey CURRENT = RowKey.of(ConfigRows.TABLE, ConfigRows.CURRENT_KEY);

    private final ConfigState state;
    private final TableService table;
    private final Executor control;
    private final Clock clock;
    private final TableReads reads;
    private final long timeoutMs;
    private final Consumer<Deployment> onDeployment;
    private final Map<String, CompletableFuture<ChangeAnswer>> waiting = new HashMap<>();
    private final RecentRevisions recent = new RecentRevisions();
    private boolean askWhole;
    private volatile boolean tableAnswers;

    /**
     * Creates the control of one router's configuration.
     *
     * @param onDeployment told each revision that comes in force here
     */
    ConfigControl(
            ConfigState state,
            TableService table,
            Executor control,
            Clock clock,
            TableReads reads,
            long timeoutMs,
            Consumer<Deployment> onDeployment) {
        this.state = checkNotNull(state, "state");
        this.table = checkNotNull(table, "table");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.reads = checkNotNull(reads, "reads");
        this.timeoutMs = timeoutMs;
        this.onDeployment = checkNotNull(onDeployment, "onDeployment");
    }

    /** Reads from the table what is due; {@code routers} of the domain share the reads. */
    void poll(int routers) {
        long known = state.view().revision();
        switch (reads.due(known, routers, clock.nowMs())) {
            case WHOLE -> readWhole();
            case NEXT ->
                    table.read(historyKey(known + 1), timeoutMs)
                            .thenAcceptAsync(this::onNext, control);
            default -> {
                // Nothing is due.
            }
        }
    }

    private void readWhole() {
        table.read(CURRENT, timeoutMs).thenAcceptAsync(this::onPolled, control);
    }

    private void onNext(ReadOutcome<Row> outcome) {
        tableAnswers = outcome instanceof ReadOutcome.Done;
        if (outcome instanceof ReadOutcome.Done<Row> done && done.value().isPresent()) {
            readWhole();
        }
    }

    /** Takes a revision that a peer holds. */
    void offered(OfferedRevision offer) {
        Optional<StoredRevision> row = offer.resolve(state.view().current());
        askWhole = row.isEmpty();
        row.ifPresent(r -> run(state.learned(r, RevisionSource.PEER, clock.nowMs())));
    }

    /** Returns the revision in force for a router that asks, if it is higher than the one held. */
    Optional<OfferedRevision> offer(ConfigAsk ask) {
        return ask.takesParts() ? recent.offerAbove(ask.above()) : recent.wholeAbove(ask.above());
    }

    /**
     * Returns the revision that the next ask of a peer names as held here.
     *
     * <p>After an edit that does not fit, because this router learned another revision while it was
     * on its way, none is named and the document comes whole.
     */
    long namedInAsks() {
        return askWhole ? 0 : state.view().revision();
    }

    void domainHolds(DomainId domain, long revision) {
        run(state.domainHolds(domain, revision));
    }

    void domainsKnown(Set<DomainId> domains) {
        run(state.domainsKnown(domains));
    }

    void tick() {
        run(state.tick(clock.nowMs()));
    }

    /** Starts a change; the future never waits without end, as the state's waits are bounded. */
    CompletableFuture<ChangeAnswer> propose(ProposedChange change) {
        CompletableFuture<ChangeAnswer> answer =
                waiting.computeIfAbsent(change.changeId(), id -> new CompletableFuture<>());
        run(state.propose(change, clock.nowMs()));
        return answer;
    }

    ConfigView view() {
        return state.view();
    }

    /** Tells whether the table answered the last poll. */
    boolean tableAnswers() {
        return tableAnswers;
    }

    private void onPolled(ReadOutcome<Row> outcome) {
        tableAnswers = outcome instanceof ReadOutcome.Done;
        if (outcome instanceof ReadOutcome.Done<Row> done) {
            current(done.value())
                    .ifPresent(row -> run(state.learned(row, RevisionSource.TABLE, clock.nowMs())));
        }
    }

    private static Optional<StoredRevision> current(Row row) {
        if (!row.isPresent()) {
            return Optional.empty();
        }
        try {
            return Optional.of(ConfigRows.parseCurrent(row.value()));
        } catch (MasticweirException e) {
            LOG.error("config: {}", e.getMessage());
            return Optional.empty();
        }
    }

    private void run(List<ConfigAction> actions) {
        actions.forEach(this::carryOut);
    }

    private void carryOut(ConfigAction action) {
        if (action instanceof ConfigAction.WriteRow write) {
            write(write);
        } else if (action instanceof ConfigAction.ReadRow read) {
            read(read);
        } else if (action instanceof ConfigAction.Announce announce) {
            LOG.info("config: revision {} in force", announce.row().revision());
            recent.add(announce.row());
            onDeployment.accept(announce.deployment());
        } else if (action instanceof ConfigAction.Answer answer) {
            answer(answer.answer());
        } else if (action instanceof ConfigAction.Refuse refuse) {
            LOG.warn(
                    "config: revision {} from {} refused, {}",
                    refuse.revision(),
                    refuse.source(),
                    refuse.reason());
        }
    }

    private void write(ConfigAction.WriteRow write) {
        StoredRevision row = write.row();
        RowKey history = historyKey(row.revision());
        Transaction transaction =
                Transaction.builder()
                        .check(CURRENT, write.rowVersion())
                        .check(history, Row.ABSENT)
                        .put(CURRENT, ConfigRows.text(row))
                        .put(history, ConfigRows.text(row.entry()))
                        .build();
        table.transact(transaction, timeoutMs)
                .thenAcceptAsync(
                        outcome -> run(state.written(row, outcomeOf(outcome), clock.nowMs())),
                        control);
    }

    private static WriteOutcome outcomeOf(TransactionOutcome outcome) {
        if (outcome instanceof TransactionOutcome.Committed) {
            return WriteOutcome.DONE;
        }
        if (outcome instanceof TransactionOutcome.Conflicted) {
            return WriteOutcome.CONFLICT;
        }
        return outcome instanceof TransactionOutcome.NotDone
                ? WriteOutcome.NOT_DONE
                : WriteOutcome.UNKNOWN;
    }

    private void read(ConfigAction.ReadRow read) {
        // The current row first: a change that lands between the two reads is then seen in the
        // history, and never the other way round.
        table.read(CURRENT, timeoutMs)
                .thenCompose(
                        current ->
                                table.read(historyKey(read.successor()), timeoutMs)
                                        .thenAcceptAsync(
                                                history -> onRead(read, current, history),
                                                control));
    }

    private void onRead(
            ConfigAction.ReadRow read, ReadOutcome<Row> current, ReadOutcome<Row> history) {
        long nowMs = clock.nowMs();
        if (current instanceof ReadOutcome.Done<Row> c
                && history instanceof ReadOutcome.Done<Row> h) {
            Optional<HistoryEntry> successor =
                    h.value().isPresent()
                            ? Optional.of(ConfigRows.parseHistory(h.value().value()))
                            : Optional.empty();
            TableView view = new TableView(current(c.value()), c.value().revision(), successor);
            run(state.read(read.changeId(), view, nowMs));
        } else {
            run(state.unreadable(read.changeId(), nowMs));
        }
    }

    private void answer(ChangeAnswer answer) {
        Optional.ofNullable(waiting.remove(answer.changeId()))
                .ifPresent(future -> future.complete(answer));
    }

    private static RowKey historyKey(long revision) {
        return RowKey.of(ConfigRows.TABLE, ConfigRows.historyKey(revision));
    }
}
