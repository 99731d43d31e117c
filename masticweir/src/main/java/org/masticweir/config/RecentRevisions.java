package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The last few revisions that came in force here, from which edits for other routers are made.
 *
 * <p>Routers hear of a change within a second, so nearly all of them ask from one of these. Not
 * thread-safe: owned by the control thread.
 */
public final class RecentRevisions {
    /** Enough for changes in quick succession; some 2 MB at 4,500 teams. */
    private static final int KEPT = 4;

    private final Deque<StoredRevision> rows = new ArrayDeque<>();

    /** Offers of the latest by the revision that the asking router holds. */
    private final Map<Long, OfferedRevision> offers = new HashMap<>();

    /** Keeps a revision that came in force, higher than those before. */
    public void add(StoredRevision row) {
        rows.addLast(checkNotNull(row, "row"));
        offers.clear();
        if (rows.size() > KEPT) {
            rows.removeFirst();
        }
    }

    /** Returns the latest for a router that holds {@code known}; empty if that is not lower. */
    public Optional<OfferedRevision> offerAbove(long known) {
        return Optional.ofNullable(rows.peekLast())
                .filter(latest -> latest.revision() > known)
                .map(latest -> offer(latest, known));
    }

    private OfferedRevision offer(StoredRevision latest, long known) {
        return rows.stream()
                .filter(row -> row.revision() == known)
                .findFirst()
                .map(before -> edit(before, latest))
                .orElseGet(() -> OfferedRevision.whole(latest));
    }

    /** All peers ask within a moment, and an edit reads both documents whole. */
    private OfferedRevision edit(StoredRevision before, StoredRevision latest) {
        return offers.computeIfAbsent(
                before.revision(), r -> OfferedRevision.editOf(before, latest));
    }
}
