package org.masticweir.recovery;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.masticweir.id.EngineId;

/** What was lost and tried since the last new token; not thread-safe. */
final class LossRecord {
    private static final long NONE = Long.MIN_VALUE;

    private final Set<EngineId> excluded = new HashSet<>();
    private int fruitlessAttempts;
    private long lostAtMs = NONE;

    /** Forgets all, as a new token was accepted. */
    void progress() {
        lostAtMs = NONE;
        fruitlessAttempts = 0;
        if (!excluded.isEmpty()) {
            excluded.clear();
        }
    }

    /** Notes a loss; the first one since the last token counts. */
    void lost(long nowMs) {
        if (lostAtMs == NONE) {
            lostAtMs = nowMs;
        }
    }

    /** Tells whether an attempt that may have run was lost. */
    boolean recovering() {
        return lostAtMs != NONE;
    }

    /** Tells whether such a loss is less than {@code ms} ago. */
    boolean recoveringFor(long ms, long nowMs) {
        return recovering() && nowMs - lostAtMs < ms;
    }

    /** Counts one more attempt; returns whether there were more than {@code most}. */
    boolean attemptsExceed(int most) {
        fruitlessAttempts++;
        return fruitlessAttempts > most;
    }

    void exclude(EngineId engine) {
        excluded.add(engine);
    }

    /** Lets all engines be chosen again: a pause looks like a loss, and one may be back. */
    void excludeNone() {
        excluded.clear();
    }

    ImmutableSet<EngineId> excluded() {
        return ImmutableSet.copyOf(excluded);
    }
}
