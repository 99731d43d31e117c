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
import org.masticweir.store.Revision;
import org.masticweir.store.RowKey;
import org.masticweir.time.ManualScheduler;

/**
 * Fake of the platform's store: rows, their history, long polls for changes, and returns from an
 * older copy.
 */
final class FakeStore {
    private static final long DEFAULT_LATENCY_MS = 4;
    private static final DeploymentFormat FORMAT = new DeploymentStateTest.TestFormat();
    private static final FeedOutcome REFUSED = new FeedOutcome.Failed("status 503");

    private final ManualScheduler scheduler;

    long calls;

    /** Latency of each answer once it is available, in ms. */
    long latencyMs = DEFAULT_LATENCY_MS;

    private final Map<RowKey, FeedOutcome.Change> rows =
            new TreeMap<>(Comparator.comparing(RowKey::table).thenComparing(RowKey::key));
    private final List<FeedOutcome.Change> history = new ArrayList<>();
    private final List<Poll> polls = new ArrayList<>();
    private final Map<Long, Long> acknowledgedMs = new TreeMap<>();
    private long era;
    private long number = 10;
    private long oldest;
    private boolean isAway;

    FakeStore(ManualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** A long poll for changes. */
    private record Poll(
            SimulatedFleet.Router router,
            String table,
            Revision since,
            CompletableFuture<FeedOutcome> answer) {}

    /** Rows and history as they were when the copy was made. */
    record Copy(
            Map<RowKey, FeedOutcome.Change> rows, List<FeedOutcome.Change> history, long number) {}

    Copy copy() {
        return new Copy(Map.copyOf(rows), List.copyOf(history), number);
    }

    /** Refuses all calls, those that wait for changes included. */
    void goAway() {
        isAway = true;
        List<Poll> pending = List.copyOf(polls);
        polls.clear();
        pending.forEach(p -> answerLater(p.router(), () -> p.answer().complete(REFUSED)));
    }

    /** Returns with the content of an older copy, in a new era. */
    void returnFrom(Copy copy) {
        isAway = false;
        era++;
        number = copy.number();
        rows.clear();
        copy.rows().forEach((key, row) -> rows.put(key, inThisEra(row)));
        history.clear();
        copy.history().forEach(row -> history.add(inThisEra(row)));
        long kept = versionOf(Optional.ofNullable(rows.get(FORMAT.catalogRow())));
        acknowledgedMs.keySet().removeIf(version -> version > kept);
    }

    private static long versionOf(Optional<FeedOutcome.Change> row) {
        return row.flatMap(FeedOutcome.Change::value)
                .map(text -> FORMAT.catalog(text).version())
                .orElse(0L);
    }

    private FeedOutcome.Change inThisEra(FeedOutcome.Change row) {
        Revision revision = new Revision(era, row.revision().number());
        return new FeedOutcome.Change(row.key(), revision, row.removed(), row.value());
    }

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
        change(FORMAT.catalogRow(), Optional.of(text));
        long acknowledged = scheduler.clock().nowMs() + latencyMs;
        acknowledgedMs.put(FORMAT.catalog(text).version(), acknowledged);
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
        oldest = ++number;
        history.clear();
    }

    private void change(RowKey key, Optional<String> value) {
        FeedOutcome.Change change =
                new FeedOutcome.Change(key, new Revision(era, ++number), value.isEmpty(), value);
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
        long since = call.since().number();
        if (since < oldest || since > number) {
            return new FeedOutcome.HistoryGone();
        }
        return new FeedOutcome.Rows(
                history.stream()
                        .filter(c -> c.key().table().equals(call.table()))
                        .filter(c -> c.revision().number() > since)
                        .toList(),
                new Revision(era, number));
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
                    String table, Revision since, long waitMs, long timeoutMs) {
                return call(
                        router, timeoutMs, answer -> poll(router, table, since, waitMs, answer));
            }
        };
    }

    private FeedOutcome allRows(String table) {
        return new FeedOutcome.Rows(
                rows.values().stream().filter(c -> c.key().table().equals(table)).toList(),
                new Revision(era, number));
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
        boolean isRefused = isAway || router.fault == SimulatedFleet.StoreFault.REFUSED;
        if (isRefused) {
            answerLater(router, () -> answer.complete(REFUSED));
        } else if (router.fault == SimulatedFleet.StoreFault.NONE) {
            onAccepted.accept(answer);
        }
        return answer;
    }

    private void poll(
            SimulatedFleet.Router router,
            String table,
            Revision since,
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
