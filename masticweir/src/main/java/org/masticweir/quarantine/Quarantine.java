package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.RouterId;

/**
 * The contents that may have crashed servers, based on the losses that all routers observed; owned
 * by the traffic thread.
 *
 * <p>A request that crashes each server that begins to run it may be submitted again and again, at
 * any router and under new ids. Without a quarantine, the recorded losses would be discarded at the
 * end of each submission. Each submission would then crash as many servers as its route allows, and
 * all requests that run on these servers would fail. The quarantine keeps the recorded losses after
 * the submission ends. After {@link #CRASH_LIMIT} crashes the content is put into quarantine and
 * rejected.
 *
 * <p>A trial is a send of a suspected content: a content with at least one counted crash. While a
 * trial runs, other requests with the same content wait.
 *
 * <p>After each call that may change the state of a content, the owner sends the result of {@link
 * #drainUpdates} to the other routers.
 */
public final class Quarantine {
    /** Minimum number of crashes of a content in quarantine. */
    public static final int CRASH_LIMIT = 3;

    /**
     * Minimum number of crashes of a content that is sent to the least loaded server. Most contents
     * with one crash ran on the same server as the request that caused the crash. The normal choice
     * of a server is best for these contents.
     */
    static final int LEAST_LOADED_MIN_CRASHES = 2;

    /**
     * Duration of a trial from the first event of a run, in ms. If the server ends within this
     * time, its loss is recorded for the content. After a longer run at one server the content is
     * no longer suspected.
     */
    public static final long TRIAL_MS = 2_000;

    /** Duration of the quarantine of a content that has reached the limit, in ms. */
    static final long FIRST_QUARANTINE_MS = 60_000;

    /** Factor by which the duration of the quarantine grows with each further crash. */
    private static final int QUARANTINE_GROWTH_FACTOR = 8;

    /**
     * Time after the last update from a router at which the router's trial no longer delays
     * requests, in ms.
     */
    static final long PEER_TRIAL_EXPIRY_MS = 10_000;

    /** Time for which losses of a content below the limit are kept after the last loss, in ms. */
    static final long SUSPECT_EXPIRY_MS = 600_000;

    /** Maximum number of contents; each takes some hundred bytes. */
    static final int MAX_CONTENTS = 4_096;

    private final RouterId self;
    private final long maxQuarantineMs;

    /** Ordered by the last change, oldest first. */
    private final Map<ContentId, Entry> entries = new LinkedHashMap<>();

    private final Set<ContentId> pendingUpdates = new LinkedHashSet<>();

    /** The state of one content. */
    private static final class Entry {
        private final Map<RouterId, Long> trialsUntilMs = new HashMap<>();
        private CrashRecord record;
        private long createdMs;
        private int ownTrials;
        private int inquiries;

        Entry(CrashRecord record) {
            this.record = record;
        }

        /**
         * Returns the time of the last loss, or the creation time of this entry if there is no
         * loss.
         */
        long lastLossOrCreationMs() {
            return record.lastLoss().map(Loss::endedMs).orElse(createdMs);
        }

        int crashCount() {
            return record.crashCount();
        }
    }

    /** The change of a content's state by one call. */
    public enum Change {
        NONE,
        SUSPECTED,
        QUARANTINED,
        CLEARED
    }

    /**
     * The state of one content, for other routers.
     *
     * @param record record with times relative to the time of sending, which is 0
     * @param isOnTrial whether a trial of the content runs at the sender
     */
    public record ContentUpdate(CrashRecord record, boolean isOnTrial) {
        public ContentUpdate {
            checkNotNull(record, "record");
        }
    }

    private Quarantine(RouterId self, long maxQuarantineMs) {
        this.self = checkNotNull(self, "self");
        this.maxQuarantineMs = maxQuarantineMs;
    }

    /**
     * Returns an empty quarantine.
     *
     * @param maxQuarantineMs maximum duration of a quarantine; losses are removed at this time
     *     after the last loss
     */
    public static Quarantine create(RouterId self, long maxQuarantineMs) {
        checkArgument(maxQuarantineMs > 0, "hold of %s ms", maxQuarantineMs);
        return new Quarantine(self, maxQuarantineMs);
    }

    /** Returns whether no loss of any content is recorded; callers then need no content id. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns whether and where a request with {@code content} may be sent now. */
    public SendRule sendRule(RequestContent content, long nowMs) {
        Entry entry = findUnexpired(content.whole(), nowMs);
        if (entry == null) {
            return SendRule.ANY_SERVER;
        }
        int count = entry.crashCount();
        if (count >= CRASH_LIMIT && nowMs < entry.lastLossOrCreationMs() + quarantineMs(count)) {
            return SendRule.REJECT;
        }
        if (entry.inquiries > 0 || (count > 0 && isOnTrial(entry, nowMs))) {
            return SendRule.WAIT;
        }
        return count >= LEAST_LOADED_MIN_CRASHES ? SendRule.LEAST_LOADED : SendRule.ANY_SERVER;
    }

    /**
     * Returns the duration of a quarantine after the last crash.
     *
     * <p>Each quarantine ends, so that a harmless content that coincided with crashes is not
     * rejected forever. Each quarantine lasts longer than the previous one, up to the maximum.
     */
    private long quarantineMs(int crashes) {
        long durationMs = FIRST_QUARANTINE_MS;
        for (int i = CRASH_LIMIT; i < crashes && durationMs < maxQuarantineMs; i++) {
            durationMs *= QUARANTINE_GROWTH_FACTOR;
        }
        return Math.min(durationMs, maxQuarantineMs);
    }

    /** Returns the counted losses of {@code content}. */
    public ImmutableList<Loss> countedLosses(ContentId content) {
        Entry entry = entries.get(content);
        return entry == null ? ImmutableList.of() : entry.record.countedLosses();
    }

    /** Returns the time until the quarantine of {@code content} ends, in ms. */
    public long remainingQuarantineMs(RequestContent content, long nowMs) {
        Entry entry = entries.get(content.whole());
        return entry == null
                ? 0
                : Math.max(
                        0, entry.lastLossOrCreationMs() + quarantineMs(entry.crashCount()) - nowMs);
    }

    /**
     * Records that this router sends a request with {@code content}. Returns whether this send is a
     * trial; the trial lasts until {@link #endTrial}.
     */
    public boolean beginTrial(RequestContent content, long nowMs) {
        Entry entry = findUnexpired(content.whole(), nowMs);
        if (entry == null || entry.crashCount() == 0) {
            return false;
        }
        entry.ownTrials++;
        entry.trialsUntilMs.put(self, Long.MAX_VALUE);
        pendingUpdates.add(content.whole());
        return true;
    }

    /** Records the end of a trial. */
    public void endTrial(RequestContent content) {
        Entry entry = entries.get(content.whole());
        if (entry == null || entry.ownTrials == 0) {
            return;
        }
        entry.ownTrials--;
        if (entry.ownTrials == 0) {
            entry.trialsUntilMs.remove(self);
            pendingUpdates.add(content.whole());
        }
    }

    /**
     * Records that the cause of a loss under {@code content} is being determined; requests with the
     * content wait until {@link #endInquiry}.
     */
    public void beginInquiry(RequestContent content, long nowMs) {
        getOrCreate(content.whole(), nowMs).inquiries++;
    }

    /** Records that the cause of a loss has been determined. */
    public void endInquiry(RequestContent content) {
        Entry entry = entries.get(content.whole());
        if (entry != null) {
            entry.inquiries = Math.max(0, entry.inquiries - 1);
            removeIfEmpty(content.whole(), entry);
        }
    }

    /** Records the end of a server that had begun to run a request with {@code content}. */
    public Change recordLoss(RequestContent content, Loss loss, long nowMs) {
        Entry entry = getOrCreate(content.whole(), nowMs);
        return setRecord(entry, entry.record.withLoss(loss));
    }

    /**
     * Records that a request with {@code content} ran without crashing its server.
     *
     * @param beganMs when the run began
     */
    public Change recordSuccess(RequestContent content, long beganMs, long nowMs) {
        Entry entry = findUnexpired(content.whole(), nowMs);
        return entry == null || entry.crashCount() == 0
                ? Change.NONE
                : setRecord(entry, entry.record.withdrawAllLosses());
    }

    /** Returns the contents for which the loss of {@code incarnation} counts. */
    public ImmutableList<ContentId> contentsWithLossOf(ServerIncarnation incarnation) {
        return entries.values().stream()
                .map(e -> e.record)
                .filter(r -> r.countedLosses().stream().anyMatch(l -> l.life().equals(incarnation)))
                .map(CrashRecord::content)
                .collect(ImmutableList.toImmutableList());
    }

    /** Records an answer of {@code incarnation}, whose loss was counted for {@code content}. */
    public Change recordAlive(ContentId content, ServerIncarnation incarnation, long nowMs) {
        Entry entry = findUnexpired(content, nowMs);
        return entry == null
                ? Change.NONE
                : setRecord(entry, entry.record.withdrawLossOf(incarnation));
    }

    /** Applies another router's update; updates may arrive twice, late and in any order. */
    public Change handleUpdate(RouterId peer, ContentUpdate update, long nowMs) {
        Entry entry = getOrCreate(update.record().content(), nowMs);
        if (update.isOnTrial()) {
            entry.trialsUntilMs.put(peer, nowMs + PEER_TRIAL_EXPIRY_MS);
        } else {
            entry.trialsUntilMs.remove(peer);
        }
        Change change = merge(entry, update.record().shifted(nowMs));
        removeIfEmpty(update.record().content(), entry);
        return change;
    }

    /** Applies a record read from the store. */
    public Change restore(CrashRecord record, long nowMs) {
        return merge(getOrCreate(record.content(), nowMs), record);
    }

    /** Removes the trials of a lost router. */
    public void removeTrialsOf(RouterId peer) {
        entries.values().forEach(e -> e.trialsUntilMs.remove(peer));
    }

    /** Returns the record of {@code content}, if there is one. */
    public Optional<CrashRecord> record(ContentId content) {
        return Optional.ofNullable(entries.get(content)).map(e -> e.record);
    }

    /** Returns whether there are changes to send to other routers. */
    public boolean hasUpdates() {
        return !pendingUpdates.isEmpty();
    }

    /** Returns and clears the changes that this router made since the last call. */
    public ImmutableList<ContentUpdate> drainUpdates(long nowMs) {
        ImmutableList<ContentUpdate> updates =
                pendingUpdates.stream()
                        .filter(entries::containsKey)
                        .map(c -> updateOf(entries.get(c), nowMs))
                        .collect(ImmutableList.toImmutableList());
        pendingUpdates.clear();
        return updates;
    }

    /** Returns all records, for a router that has just been linked. */
    public ImmutableList<ContentUpdate> snapshot(long nowMs) {
        return entries.values().stream()
                .filter(e -> !e.record.isEmpty())
                .map(e -> updateOf(e, nowMs))
                .collect(ImmutableList.toImmutableList());
    }

    private static ContentUpdate updateOf(Entry entry, long nowMs) {
        return new ContentUpdate(entry.record.shifted(-nowMs), entry.ownTrials > 0);
    }

    /**
     * Merges a record of another router and does not forward its changes. This router's own changes
     * remain to be sent.
     */
    private Change merge(Entry entry, CrashRecord record) {
        boolean hasOwnUpdate = pendingUpdates.contains(record.content());
        Change change = setRecord(entry, entry.record.merge(record));
        if (!hasOwnUpdate) {
            pendingUpdates.remove(record.content());
        }
        return change;
    }

    private Change setRecord(Entry entry, CrashRecord record) {
        int previousCount = entry.crashCount();
        if (record.equals(entry.record)) {
            return Change.NONE;
        }
        entry.record = record;
        entries.remove(record.content());
        entries.put(record.content(), entry);
        pendingUpdates.add(record.content());
        int newCount = entry.crashCount();
        if (newCount > previousCount) {
            return newCount >= CRASH_LIMIT ? Change.QUARANTINED : Change.SUSPECTED;
        }
        return newCount == 0 && previousCount > 0 ? Change.CLEARED : Change.NONE;
    }

    private Entry getOrCreate(ContentId content, long nowMs) {
        Entry entry = findUnexpired(content, nowMs);
        if (entry != null) {
            return entry;
        }
        evictIfFull(nowMs);
        Entry fresh = new Entry(CrashRecord.of(content));
        fresh.createdMs = nowMs;
        entries.put(content, fresh);
        return fresh;
    }

    private Entry findUnexpired(ContentId content, long nowMs) {
        Entry entry = entries.get(content);
        if (entry != null && isExpired(entry, nowMs)) {
            entries.remove(content);
            return null;
        }
        return entry;
    }

    private boolean isExpired(Entry entry, long nowMs) {
        boolean isQuarantined = entry.crashCount() >= CRASH_LIMIT;
        long retentionMs =
                isQuarantined ? maxQuarantineMs : Math.min(maxQuarantineMs, SUSPECT_EXPIRY_MS);
        return entry.inquiries == 0 && nowMs - entry.lastLossOrCreationMs() >= retentionMs;
    }

    /**
     * Removes expired contents, then the oldest contents below the limit, then the oldest contents
     * in quarantine. Each crash costs a server, so quarantined contents are the most expensive to
     * detect again.
     */
    private void evictIfFull(long nowMs) {
        if (entries.size() < MAX_CONTENTS) {
            return;
        }
        entries.values().removeIf(e -> isExpired(e, nowMs));
        evictOldest(false);
        evictOldest(true);
    }

    private void evictOldest(boolean quarantined) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() >= MAX_CONTENTS && oldest.hasNext()) {
            if (oldest.next().crashCount() >= CRASH_LIMIT == quarantined) {
                oldest.remove();
            }
        }
    }

    private void removeIfEmpty(ContentId content, Entry entry) {
        if (entry.record.isEmpty() && entry.inquiries == 0) {
            entries.remove(content);
        }
    }

    private static boolean isOnTrial(Entry entry, long nowMs) {
        return entry.trialsUntilMs.values().stream().anyMatch(until -> nowMs < until);
    }
}
