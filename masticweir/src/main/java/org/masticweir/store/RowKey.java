package org.masticweir.store;

import static com.google.common.base.Preconditions.checkArgument;

/** Names one row of one table; immutable. */
public record RowKey(String table, String key) {
    public RowKey {
        checkArgument(!table.isEmpty(), "table name is empty");
        checkArgument(!key.isEmpty(), "key in table %s is empty", table);
    }

    public static RowKey of(String table, String key) {
        return new RowKey(table, key);
    }

    @Override
    public String toString() {
        return table + "/" + key;
    }
}
