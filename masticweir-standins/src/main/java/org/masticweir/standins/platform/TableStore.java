package org.masticweir.standins.platform;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Keeps tables of versioned rows and applies transactions to them.
 *
 * <p>One revision counts all transactions that write; a row carries that of its last write. The
 * class is thread-safe: one lock makes each transaction atomic.
 */
final class TableStore {
    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();
    private long revision;

    /** Applies a transaction if all its checks hold; one without writes takes no revision. */
    synchronized Transaction.Result commit(Transaction txn) {
        ImmutableList<Transaction.Conflict> conflicts = conflicts(txn);
        if (conflicts.isEmpty() && txn.writes()) {
            revision++;
            txn.puts().forEach(this::put);
            txn.deletes().forEach(delete -> table(delete.table()).remove(delete.key()));
        }
        return new Transaction.Result(revision, conflicts);
    }

    synchronized Optional<Row> get(String table, String key) {
        return Optional.ofNullable(table(table).get(key));
    }

    /** Returns at most {@code limit} rows whose keys come after {@code after}, in key order. */
    synchronized ImmutableList<Row> scan(String table, Optional<String> after, int limit) {
        NavigableMap<String, Row> rows = table(table);
        NavigableMap<String, Row> rest = after.map(key -> rows.tailMap(key, false)).orElse(rows);
        return rest.values().stream().limit(limit).collect(ImmutableList.toImmutableList());
    }

    synchronized long rowCount() {
        return tables.values().stream().mapToLong(Map::size).sum();
    }

    private void put(Transaction.Put put) {
        Row row = new Row(put.key(), put.value(), revision);
        tables.computeIfAbsent(put.table(), name -> new TreeMap<>()).put(put.key(), row);
    }

    private ImmutableList<Transaction.Conflict> conflicts(Transaction txn) {
        ImmutableList.Builder<Transaction.Conflict> conflicts = ImmutableList.builder();
        for (Transaction.Check check : txn.checks()) {
            Optional<Row> row = get(check.table(), check.key());
            long found = row.map(Row::revision).orElse(0L);
            if (found != check.revision()) {
                conflicts.add(
                        new Transaction.Conflict(
                                check.table(), check.key(), found, row.map(Row::value)));
            }
        }
        return conflicts.build();
    }

    private NavigableMap<String, Row> table(String name) {
        return tables.getOrDefault(name, new TreeMap<>());
    }

    /** One row with the revision of the transaction that last wrote it. */
    record Row(String key, String value, long revision) {}
}
