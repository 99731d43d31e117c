package org.masticweir.quarantine;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.SetMultimap;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;

/**
 * The states of all contents and parts with losses, within a bound, and the last successes of
 * parts; owned by the quarantine.
 */
final class CrashEvidence {
    /** Time for which losses of a content below the limit are kept after the last loss, in ms. */
    static final long SUSPECT_EXPIRY_MS = 600_000;

    /** Maximum number of contents and parts; each takes some hundred bytes. */
    static final int MAX_CONTENTS = 4_096;

    /** Maximum number of parts whose last success is kept. */
    private static final int MAX_SUCCESSES = 4_096;

    private final long maxQuarantineMs;

    /** Ordered by the last change, oldest first. */
    private final Map<ContentId, ContentState> states = new LinkedHashMap<>();

    private final SetMultimap<ServerIncarnation, ContentId> contentsByIncarnation =
            HashMultimap.create();

    /** The begin of the last run of each part that crashed no server; the oldest first. */
    private final Map<ContentId, Long> lastSuccessesMs = new LinkedHashMap<>();

    CrashEvidence(long maxQuarantineMs) {
        this.maxQuarantineMs = maxQuarantineMs;
    }

    boolean isEmpty() {
        return states.isEmpty();
    }

    Collection<ContentState> all() {
        return states.values();
    }

    /** Returns the state of {@code content}, or null if there is none. */
    ContentState get(ContentId content) {
        return states.get(content);
    }

    /** Returns the state of {@code content}, or null if there is none or it has expired. */
    ContentState findUnexpired(ContentId content, long nowMs) {
        ContentState state = states.get(content);
        if (state != null && isExpired(state, nowMs)) {
            remove(state);
            return null;
        }
        return state;
    }

    ContentState getOrCreate(ContentId content, boolean isPart, long nowMs) {
        ContentState state = findUnexpired(content, nowMs);
        if (state != null) {
            return state;
        }
        evictIfFull(nowMs);
        CrashRecord record = isPart ? CrashRecord.ofPart(content) : CrashRecord.of(content);
        Long successMs = lastSuccessesMs.get(content);
        ContentState fresh =
                new ContentState(successMs == null ? record : record.withSuccess(successMs), nowMs);
        states.put(content, fresh);
        return fresh;
    }

    void setRecord(ContentState state, CrashRecord record) {
        remove(state);
        state.setRecord(record);
        states.put(state.content(), state);
        state.countedIncarnations().forEach(i -> contentsByIncarnation.put(i, state.content()));
    }

    void removeIfEmpty(ContentState state) {
        if (state.record().isEmpty() && !state.isInquired()) {
            remove(state);
        }
    }

    private void remove(ContentState state) {
        states.remove(state.content());
        state.countedIncarnations().forEach(i -> contentsByIncarnation.remove(i, state.content()));
    }

    /** Records that a run with {@code part} that began at {@code beganMs} crashed no server. */
    void recordSuccess(ContentId part, long beganMs) {
        Long previous = lastSuccessesMs.remove(part);
        lastSuccessesMs.put(part, previous == null ? beganMs : Math.max(previous, beganMs));
        if (lastSuccessesMs.size() > MAX_SUCCESSES) {
            lastSuccessesMs.remove(lastSuccessesMs.keySet().iterator().next());
        }
    }

    /** Returns the last success of {@code part} that this router saw. */
    OptionalLong lastSuccessMs(ContentId part) {
        Long successMs = lastSuccessesMs.get(part);
        return successMs == null ? OptionalLong.empty() : OptionalLong.of(successMs);
    }

    /** Returns the other contents and parts that were lost with all servers that count for this. */
    ImmutableList<ContentState> othersWithAllLossesOf(ContentState state) {
        if (state.countedIncarnations().isEmpty()) {
            return ImmutableList.of();
        }
        ServerIncarnation first = state.countedIncarnations().iterator().next();
        return contentsByIncarnation.get(first).stream()
                .map(states::get)
                .filter(s -> s != state && state.sharesAllLossesWith(s))
                .collect(ImmutableList.toImmutableList());
    }

    private boolean isExpired(ContentState state, long nowMs) {
        long retentionMs =
                isAtLimit(state) ? maxQuarantineMs : Math.min(maxQuarantineMs, SUSPECT_EXPIRY_MS);
        return !state.isInquired() && nowMs - state.lastLossOrCreationMs() >= retentionMs;
    }

    private static boolean isAtLimit(ContentState state) {
        return state.crashCount() >= Quarantine.CRASH_LIMIT;
    }

    /**
     * Removes expired contents, then the oldest contents below the limit, then the oldest parts
     * below the limit, then the oldest ones in quarantine. Each crash costs a server, so
     * quarantined contents are the most expensive to detect again.
     */
    private void evictIfFull(long nowMs) {
        if (states.size() < MAX_CONTENTS) {
            return;
        }
        evictOldest(s -> isExpired(s, nowMs), 0);
        evictOldest(s -> !isAtLimit(s) && !s.record().isPart(), MAX_CONTENTS - 1);
        evictOldest(s -> !isAtLimit(s), MAX_CONTENTS - 1);
        evictOldest(s -> true, MAX_CONTENTS - 1);
    }

    private void evictOldest(Predicate<ContentState> condition, int maxLeft) {
        Iterator<ContentState> oldest = ImmutableList.copyOf(states.values()).iterator();
        while (states.size() > maxLeft && oldest.hasNext()) {
            ContentState state = oldest.next();
            if (condition.test(state)) {
                remove(state);
            }
        }
    }
}
