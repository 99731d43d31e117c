package org.masticweir.store;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** A table in memory whose next answers can be lost and which can be out; thread-safe. */
public final class MemoryTable implements TableService {
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long revision;
    private int answersToLose;
    private boolean out;
    private int transactions;

    public synchronized void loseAnswers(int n) {
        answersToLose = n;
    }

    public synchronized void setOut(boolean isOut) {
        out = isOut;
    }

    public synchronized int transactions() {
        return transactions;
    }

    /** Returns the row as it stands. */
    public synchronized Row row(RowKey key) {
        return rows.getOrDefault(key.toString(), Row.absent(key));
    }

    /** Applies a transaction as the platform does. */
    public synchronized TransactionOutcome apply(Transaction t) {
        transactions++;
        List<Row> conflicts = new ArrayList<>();
        for (Transaction.Check c : t.checks()) {
            if (row(c.key()).revision() != c.revision()) {
                conflicts.add(row(c.key()));
            }
        }
        if (!conflicts.isEmpty()) {
            return new TransactionOutcome.Conflicted(conflicts);
        }
        revision++;
        t.puts().forEach(p -> rows.put(p.key().toString(), Row.of(p.key(), revision, p.value())));
        t.deletes().forEach(k -> rows.remove(k.toString()));
        return new TransactionOutcome.Committed(revision);
    }

    @Override
    public synchronized CompletableFuture<TransactionOutcome> transact(
            Transaction transaction, long timeoutMs) {
        if (out) {
            return CompletableFuture.completedFuture(TransactionOutcome.NotDone.because("out"));
        }
        TransactionOutcome outcome = apply(transaction);
        if (answersToLose > 0) {
            answersToLose--;
            outcome = new TransactionOutcome.Unknown("answer lost");
        }
        return CompletableFuture.completedFuture(outcome);
    }

    @Override
    public synchronized CompletableFuture<ReadOutcome<Row>> read(RowKey key, long timeoutMs) {
        return CompletableFuture.completedFuture(
                out ? new ReadOutcome.NotRead<>("out") : new ReadOutcome.Done<>(row(key)));
    }

    @Override
    public synchronized CompletableFuture<ReadOutcome<List<Row>>> list(
            String table, String after, int limit, long timeoutMs) {
        List<Row> page =
                rows.tailMap(table + "/" + after, false).values().stream()
                        .filter(r -> r.key().table().equals(table))
                        .limit(limit)
                        .toList();
        return CompletableFuture.completedFuture(new ReadOutcome.Done<>(page));
    }
}
