package org.masticweir.store;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.primitives.Longs;

/**
 * A revision of the store; immutable, ordered by era, then by number.
 *
 * <p>The store numbers its transactions. When it returns from an older copy, it enters a new era
 * and gives out numbers again; two revisions with the same number then have nothing in common.
 *
 * @param era number of times that the store has returned from an older copy
 * @param number number of the transaction; -1 before the first one
 */
public record Revision(long era, long number) implements Comparable<Revision> {
    /** Precedes every revision of the store. */
    public static final Revision NONE = new Revision(0, -1);

    public Revision {
        checkArgument(era >= 0, "era %s", era);
        checkArgument(number >= -1, "number %s", number);
    }

    /** Returns a revision of a store that has never returned from an older copy. */
    public static Revision of(long number) {
        return new Revision(0, number);
    }

    public static Revision max(Revision a, Revision b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    public static Revision min(Revision a, Revision b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    public boolean isAfter(Revision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Revision other) {
        int byEra = Longs.compare(era, other.era);
        return byEra != 0 ? byEra : Longs.compare(number, other.number);
    }

    /** Returns the number, preceded by the era if that is not the first one. */
    @Override
    public String toString() {
        return era == 0 ? Long.toString(number) : era + "." + number;
    }
}
