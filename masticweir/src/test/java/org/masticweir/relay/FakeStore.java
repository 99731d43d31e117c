package org.masticweir.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.masticweir.store.ChangeFeed;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.RowKey;
import org.masticweir.time.ManualScheduler;

/** Fake of the platform's store: rows, their history, and long polls for changes. */
final class FakeStore {
    private static final long DEFAULT_LATENCY_MS = 4;

    private final ManualScheduler scheduler;

    long calls;

    /** Latency of each answer once it is available, in ms. */
    long latencyMs = DEFAULT_LATENCY_MS;

    private final Map<RowKey, FeedOutcome.Change> rows =
            new TreeMap<>(Comparator.comparing(RowKey::table).thenComparing(RowKey::key));
    private final List<FeedOutcome.Change> history = new ArrayList<>();
    private final List<Poll> polls = new ArrayList<>();
    private final Map<Long, Long> acknowledgedMs = new TreeMap<>();
    private long revision = 10;
    private long oldest;

    FakeStore(ManualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** A long poll for changes. */
    private record Poll(
            SimulatedFleet.Router router,
            String table,
            long since,
            CompletableFuture<FeedOutcome> answer) {}

    void put(String server, String value) {
        change(RowKey.of(DeploymentStateTest.TABLE, server), Optional.of(value));
    }

    void remove(String server) {
        change(RowKey.of(DeploymentStateTest.TABLE, server), Optional.empty());
    }

    void catalog(long version) {
        catalog(Long.toString(version));
    }

    void catalog(String text) {
        DeploymentStateTest.TestFormat format = new DeploymentStateTest.TestFormat();
        change(format.catalogRow(), Optional.of(text));
        long acknowledged = scheduler.clock().nowMs() + latencyMs;
        acknowledgedMs.put(format.catalog(text).version(), acknowledged);
    }

    /**
     * Returns the newest version of the catalog that was acknowledged {@code ageMs} ago; else 0.
     */
    long versionAcknowledgedBefore(long ageMs) {
        long latest = scheduler.clock().nowMs() - ageMs;
        return acknowledgedMs.entrySet().stream()
                .filter(e -> e.getValue() < latest)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    /** Discards the history of all changes so far. */
    void discardHistory() {
        oldest = ++revision;
        history.clear();
    }

    private void change(RowKey key, Optional<String> value) {
        FeedOutcome.Change change = new FeedOutcome.Change(key, ++revision, value.isEmpty(), value);
        history.add(change);
        if (value.isPresent()) {
            rows.put(key, change);
        } else {
            rows.remove(key);
        }
        List<Poll> affected = polls.stream().filter(w -> w.table().equals(key.table())).toList();
        polls.removeAll(affected);
        affected.forEach(w -> answerLater(w.router(), () -> w.answer().complete(after(w))));
    }

    private FeedOutcome after(Poll call) {
        if (call.since() < oldest) {
            return new FeedOutcome.HistoryGone();
        }
        return new FeedOutcome.Rows(
                history.stream()
                        .filter(c -> c.key().table().equals(call.table()))
                        .filter(c -> c.revision() > call.since())
                        .toList(),
                revision);
    }

    private void answerLater(SimulatedFleet.Router router, Runnable answer) {
        scheduler.at(
                scheduler.clock().nowMs() + latencyMs,
                () -> {
                    if (router.isRunning && router.fault != SimulatedFleet.StoreFault.SILENT) {
                        answer.run();
                    }
                });
    }

    ChangeFeed clientFor(SimulatedFleet.Router router) {
        return new ChangeFeed() {
            @Override
            public CompletableFuture<FeedOutcome> readAll(String table, long timeoutMs) {
                return call(
                        router,
                        timeoutMs,
                        answer -> answerLater(router, () -> answer.complete(allRows(table))));
            }

            @Override
            public CompletableFuture<FeedOutcome> changes(
                    String table, long since, long waitMs, long timeoutMs) {
                return call(
                        router, timeoutMs, answer -> poll(router, table, since, waitMs, answer));
            }
        };
    }

    private FeedOutcome allRows(String table) {
        return new FeedOutcome.Rows(
                rows.values().stream().filter(c -> c.key().table().equals(table)).toList(),
                revision);
    }

    private CompletableFuture<FeedOutcome> call(
            SimulatedFleet.Router router,
            long timeoutMs,
            Consumer<CompletableFuture<FeedOutcome>> onAccepted) {
        calls++;
        CompletableFuture<FeedOutcome> answer = new CompletableFuture<>();
        scheduler.at(
                scheduler.clock().nowMs() + timeoutMs,
                () -> answer.complete(new FeedOutcome.Failed("no answer in time")));
        if (router.fault == SimulatedFleet.StoreFault.REFUSED) {
            answerLater(router, () -> answer.complete(new FeedOutcome.Failed("status 503")));
        } else if (router.fault == SimulatedFleet.StoreFault.NONE) {
            onAccepted.accept(answer);
        }
        return answer;
    }

    private void poll(
            SimulatedFleet.Router router,
            String table,
            long since,
            long waitMs,
            CompletableFuture<FeedOutcome> answer) {
        Poll call = new Poll(router, table, since, answer);
        FeedOutcome now = after(call);
        boolean answersNow = !(now instanceof FeedOutcome.Rows rows) || !rows.changes().isEmpty();
        if (answersNow) {
            answerLater(router, () -> answer.complete(now));
            return;
        }
        polls.add(call);
        scheduler.at(
                scheduler.clock().nowMs() + waitMs,
                () -> {
                    if (polls.remove(call)) {
                        answerLater(router, () -> answer.complete(after(call)));
                    }
                });
    }
}
