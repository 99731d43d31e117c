package org.masticweir.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.masticweir.store.MemoryTable;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.TableService;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;
import org.masticweir.time.ManualScheduler;

/** The platform's table as one router reaches it, over a link that can be cut; for replay. */
final class CutTable implements TableService {
    private static final long ONE_WAY_MS = 2;

    /** How the link to the platform is. */
    enum Link {
        UP,
        /** Connections are refused. */
        REFUSED,
        /** Connections stay open and nothing passes. */
        SILENT
    }

    private final MemoryTable table;
    private final ManualScheduler scheduler;
    private final List<Long> sentAtMs = new ArrayList<>();
    private Link link = Link.UP;

    CutTable(MemoryTable table, ManualScheduler scheduler) {
        this.table = table;
        this.scheduler = scheduler;
    }

    void become(Link now) {
        link = now;
    }

    /** Returns how many transactions were sent from {@code fromMs} on and before {@code toMs}. */
    long sent(long fromMs, long toMs) {
        return sentAtMs.stream().filter(at -> at >= fromMs && at < toMs).count();
    }

    @Override
    public CompletableFuture<TransactionOutcome> transact(Transaction t, long timeoutMs) {
        long now = scheduler.clock().nowMs();
        CompletableFuture<TransactionOutcome> answer = new CompletableFuture<>();
        sentAtMs.add(now);
        if (link == Link.REFUSED) {
            answer.complete(TransactionOutcome.NotDone.because("refused"));
            return answer;
        }
        scheduler.at(now + ONE_WAY_MS, () -> arrive(t, answer));
        scheduler.at(
                now + timeoutMs,
                () -> answer.complete(new TransactionOutcome.Unknown("no answer")));
        return answer;
    }

    /** A cut that comes between the effect and its answer loses the answer alone. */
    private void arrive(Transaction t, CompletableFuture<TransactionOutcome> answer) {
        if (link != Link.UP) {
            return;
        }
        TransactionOutcome outcome = table.apply(t);
        scheduler.at(scheduler.clock().nowMs() + ONE_WAY_MS, () -> back(answer, outcome));
    }

    private void back(CompletableFuture<TransactionOutcome> answer, TransactionOutcome outcome) {
        if (link == Link.UP) {
            answer.complete(outcome);
        }
    }

    @Override
    public CompletableFuture<ReadOutcome<Row>> read(RowKey key, long timeoutMs) {
        return link == Link.UP ? table.read(key, timeoutMs) : notRead();
    }

    @Override
    public CompletableFuture<ReadOutcome<List<Row>>> list(
            String name, String after, int limit, long timeoutMs) {
        return link == Link.UP ? table.list(name, after, limit, timeoutMs) : notRead();
    }

    private static <T> CompletableFuture<ReadOutcome<T>> notRead() {
        return CompletableFuture.completedFuture(new ReadOutcome.NotRead<>("cut"));
    }
}
