package org.masticweir.recovery.copy;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/**
 * The holder of one request's copy: one router until it fails, then the next in the ranking.
 *
 * <p>Not thread-safe: owned by the thread of its request.
 */
final class HolderChoice {
    private final HolderRanking ranking;
    private final RequestId request;
    private final RouterId self;
    private final int candidates;
    private final Set<RouterId> failed = new HashSet<>();
    private Optional<RouterId> current = Optional.empty();

    HolderChoice(HolderRanking ranking, RequestId request, RouterId self, int candidates) {
        this.ranking = ranking;
        this.request = request;
        this.self = self;
        this.candidates = candidates;
    }

    boolean is(RouterId holder) {
        return current.filter(holder::equals).isPresent();
    }

    /** Returns the holder in use, or the first candidate that has not failed, or nothing. */
    Optional<RouterId> holder() {
        if (current.isEmpty()) {
            ImmutableList<RouterId> ranked = ranking.holdersFor(request, self, candidates);
            current = ranked.stream().filter(r -> !failed.contains(r)).findFirst();
        }
        return current;
    }

    /** Tells whether no other router is known at all. */
    boolean alone() {
        return ranking.holdersFor(request, self, 1).isEmpty();
    }

    void drop() {
        current.ifPresent(failed::add);
        current = Optional.empty();
    }

    /** Lets candidates that failed be tried again. */
    void forgive() {
        failed.clear();
    }
}
