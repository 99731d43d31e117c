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
 * Contents under which servers ended, by the word of all routers; owned by the traffic thread.
 *
 * <p>Failure that it answers: a request ends each server that begins to run it, and is submitted
 * again and again, at any router and under new ids. What one submission has learnt is lost with it,
 * so each of them would end as many servers as its route allows, with all that they run. Here the
 * evidence outlives the submission. After {@link #LIMIT} servers its content is held.
 *
 * <p>Whoever shares it takes what {@link #drainUpdates} returns after each command and tells the
 * other routers.
 */
public final class Quarantine {
    /** How often a content may end a server. */
    public static final int LIMIT = 3;

    /**
     * Ends from which on a content goes where least runs. Most of those with one end were only
     * beside the request that caused it, and are served best where any other goes.
     */
    static final int LEAST_LOADED_FROM = 2;

    /**
     * Time from a run's first event within which the end of its server speaks against it, in ms. A
     * run that lasts longer at one server is cleared.
     */
    public static final long TRIAL_MS = 2_000;

    /** How long a content is held when it reaches the limit, in ms. */
    static final long FIRST_HOLD_MS = 60_000;

    /** How many times as long it is held after each further end. */
    private static final int HOLD_GROWTH = 8;

    /** How long a trial of a router that is not heard of any more holds up the others, in ms. */
    static final long PEER_TRIAL_EXPIRY_MS = 10_000;

    /** How long evidence below the limit is kept after the last of it, in ms. */
    static final long SUSPECT_EXPIRY_MS = 600_000;

    /** Contents kept; some hundred bytes each. */
    static final int MAX_CONTENTS = 4_096;

    private final RouterId self;
    private final long longestHoldMs;

    /** Least recently changed first. */
    private final Map<ContentId, Entry> entries = new LinkedHashMap<>();

    private final Set<ContentId> pendingUpdates = new LinkedHashSet<>();

    /** What is known of one content. */
    private static final class Entry {
        private final Map<RouterId, Long> trialsUntilMs = new HashMap<>();
        private CrashRecord record;
        private long createdMs;
        private int ownTrials;
        private int inquiries;

        Entry(CrashRecord record) {
            this.record = record;
        }

        /** Returns when the last evidence was had. */
        long lastEvidenceMs() {
            return record.lastLoss().map(Loss::endedMs).orElse(createdMs);
        }

        int crashCount() {
            return record.crashCount();
        }
    }

    /** What a command changed for one content. */
    public enum Change {
        NONE,
        SUSPECTED,
        QUARANTINED,
        CLEARED
    }

    /**
     * What other routers are told of one content.
     *
     * @param record with times as they lie from the moment of telling, which is 0
     * @param isOnTrial whether the teller has a request with it on trial
     */
    public record ContentUpdate(CrashRecord record, boolean isOnTrial) {
        public ContentUpdate {
            checkNotNull(record, "record");
        }
    }

    private Quarantine(RouterId self, long longestHoldMs) {
        this.self = checkNotNull(self, "self");
        this.longestHoldMs = longestHoldMs;
    }

    /**
     * Returns an empty quarantine.
     *
     * @param longestHoldMs longest time for which a content is not sent; as long after the last
     *     evidence against it is forgotten
     */
    public static Quarantine create(RouterId self, long longestHoldMs) {
        checkArgument(longestHoldMs > 0, "hold of %s ms", longestHoldMs);
        return new Quarantine(self, longestHoldMs);
    }

    /** Returns whether nothing is held against any content, so that no content id is needed. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns whether a request with {@code content} may be sent now. */
    public SendRule sendRule(ContentId content, long nowMs) {
        Entry entry = findUnexpired(content, nowMs);
        if (entry == null) {
            return SendRule.ANY_SERVER;
        }
        int count = entry.crashCount();
        if (count >= LIMIT && nowMs < entry.lastEvidenceMs() + holdMs(count)) {
            return SendRule.REJECT;
        }
        if (entry.inquiries > 0 || (count > 0 && isOnTrial(entry, nowMs))) {
            return SendRule.WAIT;
        }
        return count >= LEAST_LOADED_FROM ? SendRule.LEAST_LOADED : SendRule.ANY_SERVER;
    }

    /**
     * Returns how long a content is held after its last end.
     *
     * <p>It is tried again in the end, so that sound work which was unlucky is not refused for
     * good, and less often each time.
     */
    private long holdMs(int crashes) {
        long holdMs = FIRST_HOLD_MS;
        for (int i = LIMIT; i < crashes && holdMs < longestHoldMs; i++) {
            holdMs *= HOLD_GROWTH;
        }
        return Math.min(holdMs, longestHoldMs);
    }

    /** Returns what is held against {@code content}. */
    public ImmutableList<Loss> countedLosses(ContentId content) {
        Entry entry = entries.get(content);
        return entry == null ? ImmutableList.of() : entry.record.countedLosses();
    }

    /** Returns how long a quarantined content is held from now on, in ms. */
    public long remainingHoldMs(ContentId content, long nowMs) {
        Entry entry = entries.get(content);
        return entry == null
                ? 0
                : Math.max(0, entry.lastEvidenceMs() + holdMs(entry.crashCount()) - nowMs);
    }

    /**
     * This router sends a request with {@code content}; returns whether it is on trial now, until
     * {@link #endTrial}.
     */
    public boolean beginTrial(ContentId content, long nowMs) {
        Entry entry = findUnexpired(content, nowMs);
        if (entry == null || entry.crashCount() == 0) {
            return false;
        }
        entry.ownTrials++;
        entry.trialsUntilMs.put(self, Long.MAX_VALUE);
        pendingUpdates.add(content);
        return true;
    }

    /** A send that {@link #beginTrial} put on trial is over. */
    public void endTrial(ContentId content) {
        Entry entry = entries.get(content);
        if (entry == null || entry.ownTrials == 0) {
            return;
        }
        entry.ownTrials--;
        if (entry.ownTrials == 0) {
            entry.trialsUntilMs.remove(self);
            pendingUpdates.add(content);
        }
    }

    /** A loss under {@code content} is looked into, and waited for until {@link #endInquiry}. */
    public void beginInquiry(ContentId content, long nowMs) {
        getOrCreate(content, nowMs).inquiries++;
    }

    /** The cause of a loss was found. */
    public void endInquiry(ContentId content) {
        Entry entry = entries.get(content);
        if (entry != null) {
            entry.inquiries = Math.max(0, entry.inquiries - 1);
            removeIfBlank(content, entry);
        }
    }

    /** A server ended that had begun to run a request with {@code content}. */
    public Change recordLoss(ContentId content, Loss loss, long nowMs) {
        Entry entry = getOrCreate(content, nowMs);
        return setRecord(entry, entry.record.with(loss));
    }

    /** A request with {@code content} was run without harm. */
    public Change recordSuccess(ContentId content, long nowMs) {
        Entry entry = findUnexpired(content, nowMs);
        return entry == null || entry.crashCount() == 0
                ? Change.NONE
                : setRecord(entry, entry.record.withdrawAll());
    }

    /** Returns the contents against which the end of {@code life} is held. */
    public ImmutableList<ContentId> contentsWithLossOf(ServerIncarnation incarnation) {
        return entries.values().stream()
                .map(e -> e.record)
                .filter(
                        r ->
                                r.countedLosses().stream()
                                        .anyMatch(l -> l.incarnation().equals(incarnation)))
                .map(CrashRecord::content)
                .collect(ImmutableList.toImmutableList());
    }

    /** {@code life} was believed to have ended under {@code content}, and answers. */
    public Change recordAlive(ContentId content, ServerIncarnation incarnation, long nowMs) {
        Entry entry = findUnexpired(content, nowMs);
        return entry == null ? Change.NONE : setRecord(entry, entry.record.withdraw(incarnation));
    }

    /** Takes what a router told; its words may come twice, late and in any order. */
    public Change handleUpdate(RouterId peer, ContentUpdate update, long nowMs) {
        Entry entry = getOrCreate(update.record().content(), nowMs);
        if (update.isOnTrial()) {
            entry.trialsUntilMs.put(peer, nowMs + PEER_TRIAL_EXPIRY_MS);
        } else {
            entry.trialsUntilMs.remove(peer);
        }
        Change change = merge(entry, update.record().shifted(nowMs));
        removeIfBlank(update.record().content(), entry);
        return change;
    }

    /** Takes a record that outlasted the routers. */
    public Change restore(CrashRecord record, long nowMs) {
        return merge(getOrCreate(record.content(), nowMs), record);
    }

    /** Forgets the trials of a router that is lost. */
    public void removeTrialsOf(RouterId peer) {
        entries.values().forEach(e -> e.trialsUntilMs.remove(peer));
    }

    /** Returns what is known of {@code content}. */
    public Optional<CrashRecord> record(ContentId content) {
        return Optional.ofNullable(entries.get(content)).map(e -> e.record);
    }

    /** Returns whether there is something to tell. */
    public boolean hasUpdates() {
        return !pendingUpdates.isEmpty();
    }

    /** Returns what changed here since the last call. */
    public ImmutableList<ContentUpdate> drainUpdates(long nowMs) {
        ImmutableList<ContentUpdate> taken =
                pendingUpdates.stream()
                        .filter(entries::containsKey)
                        .map(c -> updateOf(entries.get(c), nowMs))
                        .collect(ImmutableList.toImmutableList());
        pendingUpdates.clear();
        return taken;
    }

    /** Returns all that a router is told which knows nothing. */
    public ImmutableList<ContentUpdate> snapshot(long nowMs) {
        return entries.values().stream()
                .filter(e -> !e.record.isBlank())
                .map(e -> updateOf(e, nowMs))
                .collect(ImmutableList.toImmutableList());
    }

    private static ContentUpdate updateOf(Entry entry, long nowMs) {
        return new ContentUpdate(entry.record.shifted(-nowMs), entry.ownTrials > 0);
    }

    /** What others told is not told on; what is still to be told of this router's own is. */
    private Change merge(Entry entry, CrashRecord record) {
        boolean hasOwnUpdate = pendingUpdates.contains(record.content());
        Change change = setRecord(entry, entry.record.merge(record));
        if (!hasOwnUpdate) {
            pendingUpdates.remove(record.content());
        }
        return change;
    }

    private Change setRecord(Entry entry, CrashRecord record) {
        int before = entry.crashCount();
        if (record.equals(entry.record)) {
            return Change.NONE;
        }
        entry.record = record;
        entries.remove(record.content());
        entries.put(record.content(), entry);
        pendingUpdates.add(record.content());
        int after = entry.crashCount();
        if (after > before) {
            return after >= LIMIT ? Change.QUARANTINED : Change.SUSPECTED;
        }
        return after == 0 && before > 0 ? Change.CLEARED : Change.NONE;
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
        boolean isQuarantined = entry.crashCount() >= LIMIT;
        long keptMs = isQuarantined ? longestHoldMs : Math.min(longestHoldMs, SUSPECT_EXPIRY_MS);
        return entry.inquiries == 0 && nowMs - entry.lastEvidenceMs() >= keptMs;
    }

    /**
     * Forgets what has run out, and if need be the oldest below the limit: each content costs a
     * caller a server, so those in quarantine are the dearest to learn again.
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
            if (oldest.next().crashCount() >= LIMIT == quarantined) {
                oldest.remove();
            }
        }
    }

    private void removeIfBlank(ContentId content, Entry entry) {
        if (entry.record.isBlank() && entry.inquiries == 0) {
            entries.remove(content);
        }
    }

    private static boolean isOnTrial(Entry entry, long nowMs) {
        return entry.trialsUntilMs.values().stream().anyMatch(until -> nowMs < until);
    }
}
