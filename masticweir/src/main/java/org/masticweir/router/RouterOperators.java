package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.masticweir.config.ChangeAnswer;
import org.masticweir.config.ConfigRows;
import org.masticweir.config.HistoryEntry;
import org.masticweir.config.ProposedChange;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.membership.Member;
import org.masticweir.membership.MemberState;
import org.masticweir.operators.ConfigAnswer;
import org.masticweir.operators.ConfigHistory;
import org.masticweir.operators.ConfigProposal;
import org.masticweir.operators.EngineList;
import org.masticweir.operators.EngineQueries;
import org.masticweir.operators.OperatorCommands;
import org.masticweir.operators.OperatorQueries;
import org.masticweir.operators.ProposalAnswer;
import org.masticweir.operators.RequestList;
import org.masticweir.operators.RequestQueries;
import org.masticweir.operators.RouterState;
import org.masticweir.operators.StatusAnswer;
import org.masticweir.serving.RequestRegistry;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.TableService;
import org.masticweir.time.Clock;

/** Answers operators from the router's control state; thread-safe. */
final class RouterOperators implements OperatorQueries, OperatorCommands {
    private static final int MAX_HISTORY = 1_000;

    private final DaemonSettings settings;
    private final ControlLoop control;
    private final TableService table;
    private final RequestRegistry registry;
    private final EngineQueries engines;
    private final RequestQueries requests;
    private final Clock clock;
    private final Runnable drain;

    RouterOperators(
            DaemonSettings settings,
            ControlLoop control,
            TableService table,
            RequestRegistry registry,
            EngineQueries engines,
            Clock clock,
            Runnable drain) {
        this.settings = checkNotNull(settings, "settings");
        this.control = checkNotNull(control, "control");
        this.table = checkNotNull(table, "table");
        this.registry = checkNotNull(registry, "registry");
        this.engines = checkNotNull(engines, "engines");
        this.clock = checkNotNull(clock, "clock");
        this.drain = checkNotNull(drain, "drain");
        requests = RequestQueries.of(registry, clock);
    }

    @Override
    public StatusAnswer status() {
        List<StatusAnswer.Peer> peers =
                control.membership().members().stream()
                        .filter(m -> m.state() != MemberState.DEAD)
                        .map(RouterOperators::peer)
                        .toList();
        return new StatusAnswer(
                settings.router().id(),
                settings.router().domain(),
                RouterState.of(control.view()),
                control.view().deployment().map(d -> d.revision()).orElse(0L),
                registry.unfinished(),
                peers,
                control.tableAnswers()
                        ? StatusAnswer.PlatformState.REACHABLE
                        : StatusAnswer.PlatformState.UNREACHABLE);
    }

    @Override
    public EngineList engines() {
        return engines.list();
    }

    @Override
    public RequestList requests() {
        return requests.list();
    }

    @Override
    public CompletableFuture<ConfigAnswer> config() {
        return control.configView()
                .thenApply(
                        view ->
                                view.current()
                                        .map(
                                                row ->
                                                        new ConfigAnswer(
                                                                row.revision(),
                                                                row.changeId(),
                                                                row.document()))
                                        .orElseThrow(
                                                () ->
                                                        MasticweirException.notRun(
                                                                ErrorCode.NO_CONFIGURATION,
                                                                "no configuration is known")));
    }

    @Override
    public CompletableFuture<ConfigHistory> configHistory() {
        return control.configView().thenCompose(view -> history(view.revision()));
    }

    /** Reads the newest rows, as the history grows by thousands a day. */
    private CompletableFuture<ConfigHistory> history(long newest) {
        String after = ConfigRows.historyKey(Math.max(0, newest - MAX_HISTORY));
        return table.list(ConfigRows.TABLE, after, MAX_HISTORY, settings.platform().deadlineMs())
                .thenApply(RouterOperators::historyOf);
    }

    @Override
    public CompletableFuture<ProposalAnswer> propose(ConfigProposal proposal) {
        ProposedChange change =
                new ProposedChange(
                        proposal.changeId(),
                        proposal.baseRevision(),
                        proposal.author(),
                        clock.wallMs(),
                        proposal.document(),
                        proposal.dryRun());
        return control.propose(change).thenApply(RouterOperators::answerOf);
    }

    @Override
    public void drain() {
        drain.run();
    }

    private static StatusAnswer.Peer peer(Member m) {
        RouterState state =
                switch (m.state()) {
                    case SERVING -> RouterState.SERVING;
                    case DRAINING -> RouterState.DRAINING;
                    default -> RouterState.STARTING;
                };
        return new StatusAnswer.Peer(m.router(), m.domain(), state, m.configRevision());
    }

    private static ConfigHistory historyOf(ReadOutcome<List<Row>> outcome) {
        if (!(outcome instanceof ReadOutcome.Done<List<Row>> done)) {
            throw MasticweirException.notRun(
                    ErrorCode.PLATFORM_UNAVAILABLE, "the table does not answer");
        }
        return new ConfigHistory(
                done.value().stream()
                        .filter(row -> row.key().key().startsWith(ConfigRows.HISTORY_PREFIX))
                        .map(row -> ConfigRows.parseHistory(row.value()))
                        .map(RouterOperators::changeOf)
                        .collect(ImmutableList.toImmutableList()));
    }

    private static ConfigHistory.Change changeOf(HistoryEntry e) {
        return new ConfigHistory.Change(e.revision(), e.changeId(), e.author(), e.atMs());
    }

    private static ProposalAnswer answerOf(ChangeAnswer answer) {
        if (answer.outcome().error().isPresent()) {
            throw MasticweirException.of(
                    answer.outcome().error().get(), Verdict.NOT_RUN, answer.message());
        }
        return new ProposalAnswer(
                ProposalAnswer.Outcome.valueOf(answer.outcome().name()),
                answer.revision(),
                answer.domains().stream()
                        .map(d -> new ProposalAnswer.DomainHold(d.domain(), d.holds()))
                        .toList());
    }
}
