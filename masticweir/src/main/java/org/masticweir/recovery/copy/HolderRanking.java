package org.masticweir.recovery.copy;

import com.google.common.collect.ImmutableList;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/** Ranks the routers that hold, or may hold, the copy of a request; thread-safe. */
public interface HolderRanking {
    /** Returns up to {@code n} routers other than {@code owner}, the first choice first. */
    ImmutableList<RouterId> holdersFor(RequestId request, RouterId owner, int n);

    /**
     * Returns the routers that a lookup by {@code self} asks, {@code self} first.
     *
     * <p>The owner may itself rank among the first {@code n}, so one more is asked.
     */
    default ImmutableList<RouterId> candidatesFor(RequestId request, RouterId self, int n) {
        return ImmutableList.<RouterId>builder()
                .add(self)
                .addAll(holdersFor(request, self, n + 1))
                .build();
    }
}
