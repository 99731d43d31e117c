package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Decides when a router reads the configuration's rows, and which of them.
 *
 * <p>A router that knows a revision asks for the history's row of the next one, which is small and
 * was put in one transaction with the document; the document is read only when that row is there,
 * and now and then in any case, should the history have been cut.
 *
 * <p>The routers of a domain that hear each other share the reads: each waits longer the more they
 * are, so that the domain reads as often as a few routers would. Failure guarded against: a router
 * that reads is lost, paused, or cut off from the table. It shows as a change that its peers hear
 * of late. As no router reads for the others, the rest still read, each in its turn; and a router
 * that hears no peer reads at the full rate. The waits are random, or routers started together
 * would read together, and a change just after would wait for the longest time.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class TableReads {
    /** Routers of a domain that would read at the full rate if the others did not read at all. */
    static final int FULL_RATE_ROUTERS = 4;

    /** The document is read at one read in so many, however its history looks. */
    static final int WHOLE_EVERY = 60;

    private final long pollMs;
    private final Supplier<? extends RandomGenerator> random;
    private long nextMs = Long.MIN_VALUE;
    private int untilWhole;

    /** Which row is to be read. */
    public enum Read {
        /** Nothing is due. */
        NONE,
        /** The history's row of the revision after the known one. */
        NEXT,
        /** The row with the document. */
        WHOLE
    }

    private TableReads(long pollMs, Supplier<? extends RandomGenerator> random) {
        checkArgument(pollMs > 0, "poll of %s ms", pollMs);
        this.pollMs = pollMs;
        this.random = checkNotNull(random, "random");
    }

    /** Returns a state in which a router alone reads each {@code pollMs}. */
    public static TableReads every(long pollMs, Supplier<? extends RandomGenerator> random) {
        return new TableReads(pollMs, random);
    }

    /**
     * Returns what to read now.
     *
     * @param known the revision in force here, 0 if none is
     * @param routers how many serving routers of the domain, this one included, share the reads
     */
    public Read due(long known, int routers, long nowMs) {
        if (nowMs < nextMs) {
            return Read.NONE;
        }
        nextMs = nowMs + waitMs(known, routers);
        if (known == 0 || untilWhole == 0) {
            untilWhole = WHOLE_EVERY - 1;
            return Read.WHOLE;
        }
        untilWhole--;
        return Read.NEXT;
    }

    private long waitMs(long known, int routers) {
        if (known == 0 || routers <= FULL_RATE_ROUTERS) {
            return pollMs;
        }
        double mean = (double) pollMs * routers / FULL_RATE_ROUTERS;
        return Math.round(mean * (0.5 + random.get().nextDouble()));
    }
}
