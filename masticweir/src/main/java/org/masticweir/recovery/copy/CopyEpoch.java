package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ComparisonChain;
import org.masticweir.id.RouterId;

/**
 * One ownership of a request: the fence between its owners.
 *
 * <p>Ordered by number, then by owner. The order is total, so two routers that took over at
 * different holders under one number cannot both go on once one holder has heard of both.
 */
public record CopyEpoch(int number, RouterId owner) implements Comparable<CopyEpoch> {
    public CopyEpoch {
        checkArgument(number >= 1, "epoch %s below 1", number);
        checkNotNull(owner, "owner");
    }

    /** Returns the epoch under which {@code owner} opens a new request. */
    public static CopyEpoch first(RouterId owner) {
        return new CopyEpoch(1, owner);
    }

    /** Returns the epoch under which {@code owner} takes over from this one. */
    public CopyEpoch nextFor(RouterId owner) {
        return new CopyEpoch(number + 1, owner);
    }

    public boolean isBelow(CopyEpoch other) {
        return compareTo(other) < 0;
    }

    @Override
    public int compareTo(CopyEpoch other) {
        return ComparisonChain.start()
                .compare(number, other.number)
                .compare(owner.value(), other.owner.value())
                .result();
    }
}
