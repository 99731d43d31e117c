package org.masticweir.store;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A row as the table showed it at one moment; immutable.
 *
 * @param revision revision of the transaction that wrote it last; {@link #ABSENT} when there is
 *     none
 * @param value its value; empty when absent
 */
public record Row(RowKey key, long revision, String value) {
    /** The revision of a row that does not exist. */
    public static final long ABSENT = 0;

    public Row {
        checkNotNull(key, "key");
        checkNotNull(value, "value");
        checkArgument(revision >= ABSENT, "revision %s of row %s", revision, key);
    }

    public static Row of(RowKey key, long revision, String value) {
        return new Row(key, revision, value);
    }

    public static Row absent(RowKey key) {
        return new Row(key, ABSENT, "");
    }

    public boolean isPresent() {
        return revision != ABSENT;
    }
}
