package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.masticweir.config.ChangeAnswer.Outcome;
import org.masticweir.id.DomainId;

/**
 * One change from its proposal to its answer; not thread-safe, owned by {@link ConfigState}.
 *
 * <p>It reads the table, writes if its base is the latest, and reads again after every write that
 * was not plainly done, until the table shows who follows on its base revision. Repeating the write
 * is safe: the checks let at most one write of that revision take effect.
 */
final class OpenChange {
    private final ProposedChange change;
    private final ConfigTimings timings;
    private final long settleByMs;
    private final Set<DomainId> required = new TreeSet<>((a, b) -> a.value().compareTo(b.value()));

    private Phase phase = Phase.READING;
    private boolean mayBeWritten;
    private long retryAtMs;
    private long answerByMs;

    OpenChange(ProposedChange change, ConfigTimings timings, long nowMs) {
        this.change = checkNotNull(change, "change");
        this.timings = checkNotNull(timings, "timings");
        this.settleByMs = nowMs + timings.settleWaitMs();
    }

    /** Returns the first action. */
    ConfigAction start() {
        return read();
    }

    /** Decides by what the table holds; empty while the answer is not yet settled. */
    List<ConfigAction> decide(TableView view, DomainHolders holders, long nowMs) {
        if (phase != Phase.READING) {
            return List.of();
        }
        Optional<HistoryEntry> follower =
                view.successor().or(() -> view.current().map(StoredRevision::entry));
        if (follower.isPresent() && settles(follower.get())) {
            return settle(follower.get(), holders, nowMs);
        }
        if (view.revision() == change.baseRevision()) {
            phase = Phase.WRITING;
            return List.of(new ConfigAction.WriteRow(change.row(), view.rowVersion()));
        }
        if (mayBeWritten) {
            // The history no longer holds the row that would tell whose write took effect. Nothing
            // certain can be said, so the change runs into its deadline and is answered UNKNOWN.
            return retryLater(nowMs);
        }
        return follower.map(this::conflict).orElseGet(this::noBase);
    }

    /** Settles the change by a revision that was learned; empty if it says nothing about it. */
    List<ConfigAction> learned(HistoryEntry entry, DomainHolders holders, long nowMs) {
        boolean open = phase != Phase.WRITTEN;
        return open && settles(entry) ? settle(entry, holders, nowMs) : List.of();
    }

    /** Goes on after the end of a write. */
    List<ConfigAction> written(WriteOutcome outcome, DomainHolders holders, long nowMs) {
        if (phase != Phase.WRITING) {
            return List.of();
        }
        if (outcome == WriteOutcome.DONE) {
            return settle(change.row().entry(), holders, nowMs);
        }
        // A conflict may be with an earlier try of this very change whose answer was lost, so it is
        // read back like any other end that is not plainly done.
        mayBeWritten |= outcome == WriteOutcome.UNKNOWN;
        return retryLater(nowMs);
    }

    /** Goes on after a read that failed. */
    List<ConfigAction> unreadable(long nowMs) {
        return phase == Phase.READING ? retryLater(nowMs) : List.of();
    }

    /** Answers once every required domain holds the change. */
    List<ConfigAction> domainsChanged(DomainHolders holders) {
        if (phase != Phase.WRITTEN) {
            return List.of();
        }
        required.addAll(holders.domains());
        boolean everywhere = holdings(holders).stream().allMatch(DomainHolding::holds);
        return everywhere && holders.complete()
                ? writtenAnswer(Outcome.ACCEPTED, holders)
                : List.of();
    }

    /** Ends every wait that is over. */
    List<ConfigAction> tick(DomainHolders holders, long nowMs) {
        if (phase == Phase.WRITTEN) {
            return nowMs < answerByMs ? List.of() : writtenAnswer(Outcome.PENDING, holders);
        }
        if (nowMs >= settleByMs) {
            return List.of(answer(overdue(), List.of(), overdueMessage()));
        }
        if (phase == Phase.RETRYING && nowMs >= retryAtMs) {
            phase = Phase.READING;
            return List.of(read());
        }
        return List.of();
    }

    private boolean settles(HistoryEntry entry) {
        return entry.revision() == change.baseRevision() + 1;
    }

    private List<ConfigAction> settle(HistoryEntry follower, DomainHolders holders, long nowMs) {
        if (!follower.changeId().equals(change.changeId())) {
            return conflict(follower);
        }
        phase = Phase.WRITTEN;
        answerByMs = nowMs + timings.domainWaitMs();
        return domainsChanged(holders);
    }

    private List<ConfigAction> conflict(HistoryEntry other) {
        String message =
                other.sentence() + "; revision " + change.baseRevision() + " is not the latest";
        return List.of(answer(Outcome.CONFLICT, List.of(), message));
    }

    private List<ConfigAction> noBase() {
        String message = "the table holds no revision " + change.baseRevision();
        return List.of(answer(Outcome.CONFLICT, List.of(), message));
    }

    private List<ConfigAction> retryLater(long nowMs) {
        phase = Phase.RETRYING;
        retryAtMs = nowMs + timings.retryMs();
        return List.of();
    }

    private ConfigAction read() {
        return new ConfigAction.ReadRow(change.changeId(), change.baseRevision() + 1);
    }

    private Outcome overdue() {
        return mayBeWritten || phase == Phase.WRITING ? Outcome.UNKNOWN : Outcome.NOT_WRITTEN;
    }

    private String overdueMessage() {
        return overdue() == Outcome.UNKNOWN
                ? "the table did not tell whether change " + change.changeId() + " is written"
                : "the table is out of reach; change " + change.changeId() + " is not written";
    }

    private List<ConfigAction> writtenAnswer(Outcome outcome, DomainHolders holders) {
        List<DomainHolding> holdings = holdings(holders);
        String lacking =
                holdings.stream()
                        .filter(holding -> !holding.holds())
                        .map(holding -> holding.domain().value())
                        .collect(Collectors.joining(", "));
        String rest = lacking.isEmpty() ? "" : "; not known to be held in " + lacking;
        String unread = holders.complete() ? "" : "; the instance list is not read yet";
        String message = change.row().entry().sentence() + rest + unread;
        return List.of(answer(outcome, holdings, message));
    }

    private List<DomainHolding> holdings(DomainHolders holders) {
        return required.stream()
                .map(d -> new DomainHolding(d, holders.holds(d, change.baseRevision() + 1)))
                .collect(ImmutableList.toImmutableList());
    }

    private ConfigAction answer(Outcome outcome, List<DomainHolding> domains, String message) {
        long revision = change.baseRevision() + 1;
        return new ConfigAction.Answer(
                new ChangeAnswer(outcome, change.changeId(), revision, domains, message));
    }

    private enum Phase {
        /** Waits for the table's rows. */
        READING,
        /** Waits for the end of a write. */
        WRITING,
        /** Waits before it reads again. */
        RETRYING,
        /** The table holds the change; waits for the domains. */
        WRITTEN
    }
}
