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
 * <p>Whoever shares it takes what {@link #takeNews} returns after each command and tells the other
 * routers.
 */
public final class Quarantine {
    /** How often a content may end a server. */
    public static final int LIMIT = 3;

    /**
     * Ends from which on a content goes where least runs. Most of those with one end were only
     * beside the request that caused it, and are served best where any other goes.
     */
    static final int APART_FROM = 2;

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
    static final long TRIAL_LOST_MS = 10_000;

    /** How long evidence below the limit is kept after the last of it, in ms. */
    static final long SUSPECT_MS = 600_000;

    /** Contents kept; some hundred bytes each. */
    static final int MOST_CONTENTS = 4_096;

    private final RouterId self;
    private final long longestHoldMs;

    /** Least recently changed first. */
    private final Map<ContentId, Entry> entries = new LinkedHashMap<>();

    private final Set<ContentId> news = new LinkedHashSet<>();

    /** What is known of one content. */
    private static final class Entry {
        private final Map<RouterId, Long> trialsUntilMs = new HashMap<>();
        private CrashRecord record;
        private long sinceMs;
        private int ownTrials;
        private int inquiries;

        Entry(CrashRecord record) {
            this.record = record;
        }

        /** Returns when the last evidence was had. */
        long evidenceMs() {
            return record.last().map(Loss::endedMs).orElse(sinceMs);
        }

        int count() {
            return record.ends();
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
     * @param onTrial whether the teller has a request with it on trial
     */
    public record News(CrashRecord record, boolean onTrial) {
        public News {
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
    public SendRule rule(ContentId content, long nowMs) {
        Entry entry = current(content, nowMs);
        if (entry == null) {
            return SendRule.ANY_SERVER;
        }
        int count = entry.count();
        if (count >= LIMIT && nowMs < entry.evidenceMs() + holdMs(count)) {
            return SendRule.REJECT;
        }
        if (entry.inquiries > 0 || (count > 0 && isOnTrial(entry, nowMs))) {
            return SendRule.WAIT;
        }
        return count >= APART_FROM ? SendRule.LEAST_LOADED : SendRule.ANY_SERVER;
    }

    /**
     * Returns how long a content is held after its last end.
     *
     * <p>It is tried again in the end, so that sound work which was unlucky is not refused for
     * good, and less often each time.
     */
    private long holdMs(int ends) {
        long holdMs = FIRST_HOLD_MS;
        for (int i = LIMIT; i < ends && holdMs < longestHoldMs; i++) {
            holdMs *= HOLD_GROWTH;
        }
        return Math.min(holdMs, longestHoldMs);
    }

    /** Returns what is held against {@code content}. */
    public ImmutableList<Loss> held(ContentId content) {
        Entry entry = entries.get(content);
        return entry == null ? ImmutableList.of() : entry.record.held();
    }

    /** Returns how long a quarantined content is held from now on, in ms. */
    public long holdLeftMs(ContentId content, long nowMs) {
        Entry entry = entries.get(content);
        return entry == null ? 0 : Math.max(0, entry.evidenceMs() + holdMs(entry.count()) - nowMs);
    }

    /**
     * This router sends a request with {@code content}; returns whether it is on trial now, until
     * {@link #trialEnded}.
     */
    public boolean trialBegins(ContentId content, long nowMs) {
        Entry entry = current(content, nowMs);
        if (entry == null || entry.count() == 0) {
            return false;
        }
        entry.ownTrials++;
        entry.trialsUntilMs.put(self, Long.MAX_VALUE);
        news.add(content);
        return true;
    }

    /** A send that {@link #trialBegins} put on trial is over. */
    public void trialEnded(ContentId content) {
        Entry entry = entries.get(content);
        if (entry == null || entry.ownTrials == 0) {
            return;
        }
        entry.ownTrials--;
        if (entry.ownTrials == 0) {
            entry.trialsUntilMs.remove(self);
            news.add(content);
        }
    }

    /** A loss under {@code content} is looked into, and waited for until {@link #inquiryEnded}. */
    public void inquiryBegins(ContentId content, long nowMs) {
        entry(content, nowMs).inquiries++;
    }

    /** The cause of a loss was found. */
    public void inquiryEnded(ContentId content) {
        Entry entry = entries.get(content);
        if (entry != null) {
            entry.inquiries = Math.max(0, entry.inquiries - 1);
            dropIfBlank(content, entry);
        }
    }

    /** A server ended that had begun to run a request with {@code content}. */
    public Change ended(ContentId content, Loss loss, long nowMs) {
        Entry entry = entry(content, nowMs);
        return change(entry, entry.record.with(loss));
    }

    /** A request with {@code content} was run without harm. */
    public Change ranWell(ContentId content, long nowMs) {
        Entry entry = current(content, nowMs);
        return entry == null || entry.count() == 0
                ? Change.NONE
                : change(entry, entry.record.withdrawAll());
    }

    /** Returns the contents against which the end of {@code life} is held. */
    public ImmutableList<ContentId> heldFor(ServerIncarnation life) {
        return entries.values().stream()
                .map(e -> e.record)
                .filter(r -> r.held().stream().anyMatch(l -> l.incarnation().equals(life)))
                .map(CrashRecord::content)
                .collect(ImmutableList.toImmutableList());
    }

    /** {@code life} was believed to have ended under {@code content}, and answers. */
    public Change lives(ContentId content, ServerIncarnation life, long nowMs) {
        Entry entry = current(content, nowMs);
        return entry == null ? Change.NONE : change(entry, entry.record.withdraw(life));
    }

    /** Takes what a router told; its words may come twice, late and in any order. */
    public Change told(RouterId peer, News told, long nowMs) {
        Entry entry = entry(told.record().content(), nowMs);
        if (told.onTrial()) {
            entry.trialsUntilMs.put(peer, nowMs + TRIAL_LOST_MS);
        } else {
            entry.trialsUntilMs.remove(peer);
        }
        Change change = merge(entry, told.record().shifted(nowMs));
        dropIfBlank(told.record().content(), entry);
        return change;
    }

    /** Takes a record that outlasted the routers. */
    public Change recalled(CrashRecord record, long nowMs) {
        return merge(entry(record.content(), nowMs), record);
    }

    /** Forgets the trials of a router that is lost. */
    public void forget(RouterId peer) {
        entries.values().forEach(e -> e.trialsUntilMs.remove(peer));
    }

    /** Returns what is known of {@code content}. */
    public Optional<CrashRecord> record(ContentId content) {
        return Optional.ofNullable(entries.get(content)).map(e -> e.record);
    }

    /** Returns whether there is something to tell. */
    public boolean hasNews() {
        return !news.isEmpty();
    }

    /** Returns what changed here since the last call. */
    public ImmutableList<News> takeNews(long nowMs) {
        ImmutableList<News> taken =
                news.stream()
                        .filter(entries::containsKey)
                        .map(c -> newsOf(entries.get(c), nowMs))
                        .collect(ImmutableList.toImmutableList());
        news.clear();
        return taken;
    }

    /** Returns all that a router is told which knows nothing. */
    public ImmutableList<News> all(long nowMs) {
        return entries.values().stream()
                .filter(e -> !e.record.isBlank())
                .map(e -> newsOf(e, nowMs))
                .collect(ImmutableList.toImmutableList());
    }

    private static News newsOf(Entry entry, long nowMs) {
        return new News(entry.record.shifted(-nowMs), entry.ownTrials > 0);
    }

    /** What others told is not told on; what is still to be told of this router's own is. */
    private Change merge(Entry entry, CrashRecord record) {
        boolean ownNews = news.contains(record.content());
        Change change = change(entry, entry.record.merge(record));
        if (!ownNews) {
            news.remove(record.content());
        }
        return change;
    }

    private Change change(Entry entry, CrashRecord record) {
        int before = entry.count();
        if (record.equals(entry.record)) {
            return Change.NONE;
        }
        entry.record = record;
        entries.remove(record.content());
        entries.put(record.content(), entry);
        news.add(record.content());
        int after = entry.count();
        if (after > before) {
            return after >= LIMIT ? Change.QUARANTINED : Change.SUSPECTED;
        }
        return after == 0 && before > 0 ? Change.CLEARED : Change.NONE;
    }

    private Entry entry(ContentId content, long nowMs) {
        Entry entry = current(content, nowMs);
        if (entry != null) {
            return entry;
        }
        makeRoom(nowMs);
        Entry fresh = new Entry(CrashRecord.of(content));
        fresh.sinceMs = nowMs;
        entries.put(content, fresh);
        return fresh;
    }

    private Entry current(ContentId content, long nowMs) {
        Entry entry = entries.get(content);
        if (entry != null && isOver(entry, nowMs)) {
            entries.remove(content);
            return null;
        }
        return entry;
    }

    private boolean isOver(Entry entry, long nowMs) {
        boolean quarantined = entry.count() >= LIMIT;
        long keptMs = quarantined ? longestHoldMs : Math.min(longestHoldMs, SUSPECT_MS);
        return entry.inquiries == 0 && nowMs - entry.evidenceMs() >= keptMs;
    }

    /**
     * Forgets what has run out, and if need be the oldest below the limit: each content costs a
     * caller a server, so those in quarantine are the dearest to learn again.
     */
    private void makeRoom(long nowMs) {
        if (entries.size() < MOST_CONTENTS) {
            return;
        }
        entries.values().removeIf(e -> isOver(e, nowMs));
        removeOldest(false);
        removeOldest(true);
    }

    private void removeOldest(boolean quarantined) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() >= MOST_CONTENTS && oldest.hasNext()) {
            if (oldest.next().count() >= LIMIT == quarantined) {
                oldest.remove();
            }
        }
    }

    private void dropIfBlank(ContentId content, Entry entry) {
        if (entry.record.isBlank() && entry.inquiries == 0) {
            entries.remove(content);
        }
    }

    private static boolean isOnTrial(Entry entry, long nowMs) {
        return entry.trialsUntilMs.values().stream().anyMatch(until -> nowMs < until);
    }
}
