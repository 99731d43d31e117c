package org.masticweir.store;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Checks, puts and deletes that take effect all together or not at all; immutable. */
public record Transaction(List<Check> checks, List<Put> puts, List<RowKey> deletes) {
    /** Holds when the row has this revision; {@link Row#ABSENT} when it must not exist. */
    public record Check(RowKey key, long revision) {
        public Check {
            checkNotNull(key, "key");
            checkArgument(revision >= Row.ABSENT, "revision %s of row %s", revision, key);
        }
    }

    /** Writes one row. */
    public record Put(RowKey key, String value) {
        public Put {
            checkNotNull(key, "key");
            checkNotNull(value, "value");
        }
    }

    public Transaction {
        checks = ImmutableList.copyOf(checks);
        puts = ImmutableList.copyOf(puts);
        deletes = ImmutableList.copyOf(deletes);
    }

    /** Returns the transaction that replaces a row if it still has {@code revision}. */
    public static Transaction compareAndSet(RowKey key, long revision, String value) {
        return builder().check(key, revision).put(key, value).build();
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Gathers the parts of a transaction; not thread-safe. */
    public static final class Builder {
        private final ImmutableList.Builder<Check> checks = ImmutableList.builder();
        private final ImmutableList.Builder<Put> puts = ImmutableList.builder();
        private final ImmutableList.Builder<RowKey> deletes = ImmutableList.builder();

        private Builder() {}

        public Builder check(RowKey key, long revision) {
            checks.add(new Check(key, revision));
            return this;
        }

        public Builder put(RowKey key, String value) {
            puts.add(new Put(key, value));
            return this;
        }

        public Builder delete(RowKey key) {
            deletes.add(key);
            return this;
        }

        public Transaction build() {
            return new Transaction(checks.build(), puts.build(), deletes.build());
        }
    }
}
