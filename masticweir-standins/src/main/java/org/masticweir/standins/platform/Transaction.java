package org.masticweir.standins.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Checks and writes that hold together or not at all. */
record Transaction(List<Check> checks, List<Put> puts, List<Delete> deletes) {
    Transaction {
        checks = orEmpty(checks);
        puts = orEmpty(puts);
        deletes = orEmpty(deletes);
        Set<RowId> written = new HashSet<>();
        puts.forEach(put -> checkFirst(written, put.row()));
        deletes.forEach(delete -> checkFirst(written, delete.row()));
    }

    boolean writes() {
        return !puts.isEmpty() || !deletes.isEmpty();
    }

    /** Tells whether a row of {@code table} is set or taken away. */
    boolean writesTo(String table) {
        return puts.stream().anyMatch(put -> put.table().equals(table))
                || deletes.stream().anyMatch(delete -> delete.table().equals(table));
    }

    private static <T> List<T> orEmpty(List<T> list) {
        return list == null ? ImmutableList.of() : ImmutableList.copyOf(list);
    }

    private static void checkFirst(Set<RowId> written, RowId row) {
        checkArgument(written.add(row), "%s is written twice", row);
    }

    /** The place of a row. */
    record RowId(String table, String key) {
        RowId {
            checkNotNull(table, "table");
            checkNotNull(key, "key");
        }
    }

    /** Demands that a row has a revision, or is absent when that is 0. */
    record Check(String table, String key, long revision) {
        Check {
            checkArgument(revision >= 0, "revision %s", revision);
            new RowId(table, key);
        }

        RowId row() {
            return new RowId(table, key);
        }
    }

    /** Sets a row's value. */
    record Put(String table, String key, String value) {
        Put {
            checkNotNull(value, "value");
            new RowId(table, key);
        }

        RowId row() {
            return new RowId(table, key);
        }
    }

    /** Takes a row away, if it is there. */
    record Delete(String table, String key) {
        Delete {
            new RowId(table, key);
        }

        RowId row() {
            return new RowId(table, key);
        }
    }

    /** A row whose check failed, as it is; revision 0 and an empty value mean absent. */
    record Conflict(String table, String key, long revision, Optional<String> value) {}

    /** What became of a transaction: its revision, or the conflicts that stopped it. */
    record Result(long revision, ImmutableList<Conflict> conflicts) {
        boolean applied() {
            return conflicts.isEmpty();
        }
    }
}
