package org.masticweir.standins.platform;

import com.google.common.collect.ImmutableList;
import java.util.Collection;

/** The bodies of the platform's answers and of its control call. */
final class PlatformMessages {
    private PlatformMessages() {}

    /** An answer that says only that the call was done. */
    record Done() {}

    /** The revision of an applied transaction. */
    record Revision(long revision) {}

    /** The checks that stopped a transaction. */
    record Conflicts(ImmutableList<Conflict> conflicts) {
        static Conflicts of(Collection<Transaction.Conflict> found) {
            return new Conflicts(
                    found.stream().map(Conflict::of).collect(ImmutableList.toImmutableList()));
        }
    }

    /** A row whose check failed; the value is null in JSON when the row is absent. */
    record Conflict(String table, String key, long revision, String value) {
        static Conflict of(Transaction.Conflict found) {
            String value = found.value().orElse(null);
            return new Conflict(found.table(), found.key(), found.revision(), value);
        }
    }

    /** The answer to a read of one row. */
    record Value(String value, long revision) {}

    /** The answer to a read of many rows. */
    record Rows(ImmutableList<TableStore.Row> rows) {}

    /** The instance list. */
    record Instances(ImmutableList<Instance> instances) {}

    /** Says when to come back. */
    record RetryAfter(long retryAfterMs) {}

    /** Faults to set; a field left out leaves its fault as it is. */
    record Control(
            Long outageMs,
            Long slowMs,
            Integer loseAnswers,
            String loseAnswersTable,
            Long listLagMs,
            Long loadMs) {}

    /** What the stand-in saw. */
    record Records(
            long reads,
            long writes,
            long conflicts,
            long lostAnswers,
            long rows,
            ImmutableList<WeightStore.Fetch> weightFetches) {}
}
