package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.masticweir.config.ChangeAnswer.Outcome;
import org.masticweir.id.DomainId;
import org.masticweir.settings.Checked;

/**
 * Decides which revision of the configuration is in force and how changes to it end.
 *
 * <p>A state machine without I/O, threads or clock: each command takes an event and the time and
 * returns the actions that its adapter carries out, in order. The revision in force only rises. Not
 * thread-safe; owned by the control thread, which publishes {@link #view}.
 */
public final class ConfigState {
    /** Changes that may be open at once on one router. */
    static final int MAX_OPEN_CHANGES = 16;

    private final ConfigTimings timings;
    private final DomainHolders holders;
    private final Map<String, OpenChange> open = new LinkedHashMap<>();
    private Optional<StoredRevision> current = Optional.empty();
    private Optional<Deployment> deployment = Optional.empty();
    private long refusedRevision;

    private ConfigState(DomainId own, ConfigTimings timings) {
        this.holders = new DomainHolders(own);
        this.timings = checkNotNull(timings, "timings");
    }

    /** Returns the state of a router of domain {@code own} that knows no revision yet. */
    public static ConfigState create(DomainId own, ConfigTimings timings) {
        return new ConfigState(own, timings);
    }

    /** Takes over a revision that the table or a peer holds, if it is higher than the known one. */
    public List<ConfigAction> learned(StoredRevision row, RevisionSource source, long nowMs) {
        ImmutableList.Builder<ConfigAction> actions = ImmutableList.builder();
        actions.addAll(adopt(row, source));
        actions.addAll(onEach(change -> change.learned(row.entry(), holders, nowMs)));
        return actions.build();
    }

    /** Starts a change; its answer comes as an action of this or a later command. */
    public List<ConfigAction> propose(ProposedChange change, long nowMs) {
        checkNotNull(change, "change");
        if (open.containsKey(change.changeId())) {
            return List.of();
        }
        Checked<Deployment> checked =
                DeploymentDocument.check("document", change.document(), change.baseRevision() + 1);
        if (checked.value().isEmpty()) {
            return refuse(change, Outcome.INVALID, String.join("\n", checked.sentences()));
        }
        if (change.dryRun()) {
            return dryRun(change);
        }
        if (open.size() >= MAX_OPEN_CHANGES) {
            return refuse(change, Outcome.NOT_WRITTEN, "too many changes are open; try again");
        }
        OpenChange started = new OpenChange(change, timings, nowMs);
        open.put(change.changeId(), started);
        return List.of(started.start());
    }

    /** Goes on after {@link ConfigAction.ReadRow}. */
    public List<ConfigAction> read(String changeId, TableView view, long nowMs) {
        ImmutableList.Builder<ConfigAction> actions = ImmutableList.builder();
        view.current().ifPresent(row -> actions.addAll(learned(row, RevisionSource.TABLE, nowMs)));
        return actions.addAll(onOne(changeId, change -> change.decide(view, holders, nowMs)))
                .build();
    }

    /** Goes on after a {@link ConfigAction.ReadRow} that failed. */
    public List<ConfigAction> unreadable(String changeId, long nowMs) {
        return onOne(changeId, change -> change.unreadable(nowMs));
    }

    /** Goes on after {@link ConfigAction.WriteRow}. */
    public List<ConfigAction> written(StoredRevision row, WriteOutcome outcome, long nowMs) {
        checkNotNull(outcome, "outcome");
        ImmutableList.Builder<ConfigAction> actions = ImmutableList.builder();
        if (outcome == WriteOutcome.DONE) {
            actions.addAll(learned(row, RevisionSource.TABLE, nowMs));
        }
        return actions.addAll(
                        onOne(row.changeId(), change -> change.written(outcome, holders, nowMs)))
                .build();
    }

    /** Notes that a router of {@code domain} said in a heartbeat that it holds a revision. */
    public List<ConfigAction> domainHolds(DomainId domain, long revision) {
        holders.hold(checkNotNull(domain, "domain"), revision);
        return onEach(change -> change.domainsChanged(holders));
    }

    /**
     * Replaces the set of known domains.
     *
     * <p>Take it from the instance list, never from the peers in touch: a domain that is cut off
     * has no peers in touch and still has to follow, so dropping it would report a change as
     * accepted that is not in force there. A written change goes on waiting for each domain that
     * was known while it waited.
     */
    public List<ConfigAction> domainsKnown(Set<DomainId> domains) {
        holders.know(checkNotNull(domains, "domains"));
        return onEach(change -> change.domainsChanged(holders));
    }

    /** Ends the waits that are over; call it every few tens of milliseconds. */
    public List<ConfigAction> tick(long nowMs) {
        return onEach(change -> change.tick(holders, nowMs));
    }

    public ConfigView view() {
        return new ConfigView(current, deployment, holders.snapshot());
    }

    private long revision() {
        return current.map(StoredRevision::revision).orElse(0L);
    }

    private List<ConfigAction> adopt(StoredRevision row, RevisionSource source) {
        if (row.revision() <= revision()) {
            return staleOrSame(row, source);
        }
        Checked<Deployment> checked =
                DeploymentDocument.check(
                        "revision " + row.revision(), row.document(), row.revision());
        if (checked.value().isEmpty()) {
            return refuseOnce(row, source, checked.sentences().get(0));
        }
        current = Optional.of(row);
        deployment = checked.value();
        holders.hold(holders.own(), row.revision());
        ImmutableList.Builder<ConfigAction> actions = ImmutableList.builder();
        actions.add(new ConfigAction.Announce(row, checked.value().get()));
        return actions.addAll(onEach(change -> change.domainsChanged(holders))).build();
    }

    private List<ConfigAction> staleOrSame(StoredRevision row, RevisionSource source) {
        boolean other =
                current.filter(c -> c.revision() == row.revision())
                        .filter(c -> !c.changeId().equals(row.changeId()))
                        .isPresent();
        return other
                ? refuseOnce(row, source, "another change is known under this revision")
                : List.of();
    }

    private List<ConfigAction> refuseOnce(
            StoredRevision row, RevisionSource source, String reason) {
        if (refusedRevision == row.revision()) {
            return List.of();
        }
        refusedRevision = row.revision();
        return List.of(new ConfigAction.Refuse(row.revision(), source, reason));
    }

    private List<ConfigAction> dryRun(ProposedChange change) {
        if (change.baseRevision() == revision()) {
            return refuse(change, Outcome.CHECKED, "the change would be written");
        }
        String latest =
                current.map(c -> c.entry().sentence()).orElse("this router knows no revision");
        return refuse(change, Outcome.CONFLICT, latest);
    }

    private static List<ConfigAction> refuse(
            ProposedChange change, Outcome outcome, String message) {
        long revision = change.baseRevision() + 1;
        return List.of(
                new ConfigAction.Answer(
                        new ChangeAnswer(
                                outcome, change.changeId(), revision, List.of(), message)));
    }

    private List<ConfigAction> onOne(
            String changeId, Function<OpenChange, List<ConfigAction>> step) {
        OpenChange change = open.get(changeId);
        return change == null ? List.of() : closeAnswered(step.apply(change));
    }

    private List<ConfigAction> onEach(Function<OpenChange, List<ConfigAction>> step) {
        List<ConfigAction> actions = new ArrayList<>();
        for (OpenChange change : ImmutableList.copyOf(open.values())) {
            actions.addAll(step.apply(change));
        }
        return closeAnswered(actions);
    }

    private List<ConfigAction> closeAnswered(List<ConfigAction> actions) {
        for (ConfigAction action : actions) {
            if (action instanceof ConfigAction.Answer answer) {
                open.remove(answer.answer().changeId());
            }
        }
        return actions;
    }
}
