package org.masticweir.store;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;

/** How a transaction ended, as far as it is known here. */
public sealed interface TransactionOutcome {
    /** It took effect; every row it put has this revision. */
    record Committed(long revision) implements TransactionOutcome {}

    /** It had no effect, as the rows given differ from what was checked; absent ones included. */
    record Conflicted(List<Row> rows) implements TransactionOutcome {
        public Conflicted {
            rows = ImmutableList.copyOf(rows);
        }
    }

    /** It certainly had no effect, and never will. */
    record NotDone(String reason, OptionalLong retryAfterMs) implements TransactionOutcome {
        public NotDone {
            checkNotNull(reason, "reason");
            checkNotNull(retryAfterMs, "retryAfterMs");
        }

        public static NotDone because(String reason) {
            return new NotDone(reason, OptionalLong.empty());
        }
    }

    /** It may have taken effect, may do so later, or may never do so. */
    record Unknown(String reason) implements TransactionOutcome {
        public Unknown {
            checkNotNull(reason, "reason");
        }
    }
}
