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

/** The platform's store: rows, their history, and calls that wait for a change. */
final class PlayedStore {
    private static final long PROMPT_MS = 4;

    private final ManualScheduler scheduler;

    long calls;

    /** How long each answer takes once there is something to say, in ms. */
    long answerMs = PROMPT_MS;

    private final Map<RowKey, FeedOutcome.Change> rows =
            new TreeMap<>(Comparator.comparing(RowKey::table).thenComparing(RowKey::key));
    private final List<FeedOutcome.Change> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private long revision = 10;
    private long oldest;

    PlayedStore(ManualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** A call that waits for a change. */
    private record Waiting(
            StoreFleet.Router router,
            String table,
            long since,
            CompletableFuture<FeedOutcome> answer) {}

    void put(String server, String value) {
        change(RowKey.of(DeploymentTest.TABLE, server), Optional.of(value));
    }

    void remove(String server) {
        change(RowKey.of(DeploymentTest.TABLE, server), Optional.empty());
    }

    void catalog(long version) {
        catalog(Long.toString(version));
    }

    void catalog(String text) {
        change(new DeploymentTest.Form().catalogRow(), Optional.of(text));
    }

    /** Drops what has changed so far. */
    void forgetHistory() {
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
        List<Waiting> hearing =
                waiting.stream().filter(w -> w.table().equals(key.table())).toList();
        waiting.removeAll(hearing);
        hearing.forEach(w -> later(w.router(), () -> w.answer().complete(after(w))));
    }

    private FeedOutcome after(Waiting call) {
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

    private void later(StoreFleet.Router router, Runnable answer) {
        scheduler.at(
                scheduler.clock().nowMs() + answerMs,
                () -> {
                    if (router.running && router.fault != StoreFleet.StoreFault.SILENT) {
                        answer.run();
                    }
                });
    }

    ChangeFeed of(StoreFleet.Router router) {
        return new ChangeFeed() {
            @Override
            public CompletableFuture<FeedOutcome> readAll(String table, long timeoutMs) {
                return call(
                        router,
                        timeoutMs,
                        answer -> later(router, () -> answer.complete(whole(table))));
            }

            @Override
            public CompletableFuture<FeedOutcome> changes(
                    String table, long since, long waitMs, long timeoutMs) {
                return call(
                        router, timeoutMs, answer -> await(router, table, since, waitMs, answer));
            }
        };
    }

    private FeedOutcome whole(String table) {
        return new FeedOutcome.Rows(
                rows.values().stream().filter(c -> c.key().table().equals(table)).toList(),
                revision);
    }

    private CompletableFuture<FeedOutcome> call(
            StoreFleet.Router router,
            long timeoutMs,
            Consumer<CompletableFuture<FeedOutcome>> made) {
        calls++;
        CompletableFuture<FeedOutcome> answer = new CompletableFuture<>();
        scheduler.at(
                scheduler.clock().nowMs() + timeoutMs,
                () -> answer.complete(new FeedOutcome.Failed("no answer in time")));
        if (router.fault == StoreFleet.StoreFault.REFUSED) {
            later(router, () -> answer.complete(new FeedOutcome.Failed("status 503")));
        } else if (router.fault == StoreFleet.StoreFault.NONE) {
            made.accept(answer);
        }
        return answer;
    }

    private void await(
            StoreFleet.Router router,
            String table,
            long since,
            long waitMs,
            CompletableFuture<FeedOutcome> answer) {
        Waiting call = new Waiting(router, table, since, answer);
        FeedOutcome now = after(call);
        boolean answersNow = !(now instanceof FeedOutcome.Rows rows) || !rows.changes().isEmpty();
        if (answersNow) {
            later(router, () -> answer.complete(now));
            return;
        }
        waiting.add(call);
        scheduler.at(
                scheduler.clock().nowMs() + waitMs,
                () -> {
                    if (waiting.remove(call)) {
                        later(router, () -> answer.complete(after(call)));
                    }
                });
    }
}
