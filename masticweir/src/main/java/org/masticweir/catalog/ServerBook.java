package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.EngineId;
import org.masticweir.store.Revision;

/**
 * The newest word on each backend server, from the store and from peers; not thread-safe.
 *
 * <p>Of two lives of a server the later one holds. Of two words on one life the one with the newer
 * revision of the store holds, and a removal counts against all that was written before it. Older
 * words change nothing, in whatever order they arrive, so a server that has left is never taken for
 * one that serves, and a life that is over never comes back.
 *
 * <p>When the store returns from an older copy, its entries have revisions of a new era, also those
 * that were written before the leave or the removal of a server. Such an entry undoes neither.
 */
public final class ServerBook {
    /** Removed servers remembered, against older words on them; the longest removed go first. */
    private static final int MAX_REMOVED = 4_096;

    private static final long NOT_PENDING_MS = Long.MIN_VALUE;

    private final Map<EngineId, Entry> present = new HashMap<>();
    private final Map<EngineId, Removed> removed =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<EngineId, Removed> eldest) {
                    boolean full = size() > MAX_REMOVED;
                    if (full) {
                        forgottenTo = Revision.max(forgottenTo, eldest.getValue().revision());
                    }
                    return full;
                }
            };

    /** Up to which revision removals may have been missed or are not remembered. */
    private Revision forgottenTo = Revision.NONE;

    /**
     * The newest word on one server; it has none if the word is its removal.
     *
     * @param dueMs when the removal takes effect; not after now if it has, or if there is none
     */
    public record Word(
            EngineId id, Revision revision, Optional<BackendServer> server, long dueMs) {}

    private static final class Entry {
        private BackendServer server;
        private Revision revision;
        private Optional<Removal> removal = Optional.empty();

        Entry(BackendServer server, Revision revision) {
            this.server = server;
            this.revision = revision;
        }

        boolean isSameLife(BackendServer other) {
            return server.incarnation().equals(other.incarnation());
        }

        Removed removed(Revision removalRevision) {
            return new Removed(server.incarnation(), removalRevision, revision);
        }

        Word word() {
            EngineId id = server.id();
            return removal.map(r -> new Word(id, r.revision(), Optional.empty(), r.dueMs()))
                    .orElse(new Word(id, revision, Optional.of(server), NOT_PENDING_MS));
        }
    }

    /** A removal that takes effect later. */
    private record Removal(Revision revision, long dueMs) {}

    /**
     * What is remembered of a server that is gone.
     *
     * @param life its last life
     * @param revision revision of its removal
     * @param entryRevision revision of its last entry
     */
    private record Removed(ServerIncarnation life, Revision revision, Revision entryRevision) {
        boolean rulesOut(ServerIncarnation other, Revision otherRevision, EntryOrigin origin) {
            return !otherRevision.isAfter(revision)
                    || other.isBefore(life)
                    || (other.equals(life) && isCopy(otherRevision, origin, entryRevision));
        }
    }

    /**
     * Returns whether an entry is taken for one that the store kept from an earlier era. Its number
     * is then not greater than that of the newest entry known from that era. An entry that the
     * server wrote since the store's return has such a number only if the newest known one is lost.
     */
    private static boolean isCopy(Revision revision, EntryOrigin origin, Revision known) {
        return origin == EntryOrigin.MAYBE_COPIED
                && revision.era() > known.era()
                && revision.number() <= known.number();
    }

    private ServerBook() {}

    public static ServerBook create() {
        return new ServerBook();
    }

    /** Takes a server's entry; returns whether what is believed has changed. */
    public boolean put(BackendServer server, Revision revision, EntryOrigin origin) {
        checkNotNull(server, "server");
        ServerIncarnation life = server.incarnation();
        Removed gone = removed.get(life.id());
        if (gone != null && gone.rulesOut(life, revision, origin)) {
            return false;
        }
        Entry entry = present.get(life.id());
        if (entry == null) {
            present.put(life.id(), new Entry(server, revision));
            removed.remove(life.id());
            return true;
        }
        boolean later = entry.server.incarnation().isBefore(life);
        boolean newer =
                revision.isAfter(entry.revision) && !life.isBefore(entry.server.incarnation());
        boolean removedSince =
                entry.removal.isPresent() && entry.removal.get().revision().isAfter(revision);
        if (removedSince || !(later || newer || leavesByTheSameEntry(entry, server, revision))) {
            return false;
        }
        boolean isCopy = entry.isSameLife(server) && isCopy(revision, origin, entry.revision);
        if (isCopy && entry.removal.isPresent()) {
            return false;
        }
        BackendServer known = entry.server;
        entry.server = isCopy && known.leaving() ? server.asLeaving() : server;
        entry.revision = Revision.max(revision, entry.revision);
        entry.removal = Optional.empty();
        return !known.equals(entry.server);
    }

    /**
     * Returns whether another router, which knows of the server's leave from an earlier era, has
     * the same entry.
     */
    private static boolean leavesByTheSameEntry(
            Entry entry, BackendServer server, Revision revision) {
        return revision.equals(entry.revision)
                && entry.isSameLife(server)
                && server.leaving()
                && !entry.server.leaving();
    }

    /**
     * Takes word that a server's entry was removed.
     *
     * <p>Failure guarded against: entries lapse while the store is away, although their servers
     * live and are back in it seconds after its return. Taken at its word, a store that comes back
     * leaves a router without any server. Such a removal waits until {@code dueMs}.
     *
     * @return whether what is believed has changed
     */
    public boolean remove(EngineId id, Revision revision, long nowMs, long dueMs) {
        Entry entry = present.get(id);
        if (entry == null || !revision.isAfter(entry.revision)) {
            return false;
        }
        if (dueMs > nowMs) {
            entry.removal = Optional.of(new Removal(revision, dueMs));
            return false;
        }
        present.remove(id);
        removed.put(id, entry.removed(revision));
        return true;
    }

    /** Removes all servers that a whole reading of the store at {@code revision} lacks. */
    public boolean retain(Iterable<EngineId> listed, Revision revision, long nowMs, long dueMs) {
        forgottenTo = Revision.max(forgottenTo, revision);
        List<EngineId> gone = new ArrayList<>(present.keySet());
        listed.forEach(gone::remove);
        boolean changed = false;
        for (EngineId id : gone) {
            changed |= remove(id, revision, nowMs, dueMs);
        }
        return changed;
    }

    /** Carries out the removals that are due; returns whether there were any. */
    public boolean tick(long nowMs) {
        boolean changed = false;
        Iterator<Map.Entry<EngineId, Entry>> entries = present.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<EngineId, Entry> next = entries.next();
            Entry entry = next.getValue();
            Optional<Removal> due = entry.removal.filter(r -> r.dueMs() <= nowMs);
            if (due.isPresent()) {
                entries.remove();
                removed.put(next.getKey(), entry.removed(due.get().revision()));
                changed = true;
            }
        }
        return changed;
    }

    /** Returns the servers that are there. */
    public ImmutableList<BackendServer> servers() {
        return present.values().stream()
                .map(e -> e.server)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns all words after {@code revision}, removals among them that are not due yet; empty if
     * some of them are no longer remembered.
     */
    public Optional<ImmutableList<Word>> wordsAfter(Revision revision) {
        if (forgottenTo.isAfter(revision)) {
            return Optional.empty();
        }
        ImmutableList.Builder<Word> words = ImmutableList.builder();
        words().stream().filter(w -> w.revision().isAfter(revision)).forEach(words::add);
        removed.forEach(
                (id, gone) -> {
                    if (gone.revision().isAfter(revision)) {
                        words.add(new Word(id, gone.revision(), Optional.empty(), NOT_PENDING_MS));
                    }
                });
        return Optional.of(words.build());
    }

    /** Returns the newest word on each server that is there, or whose removal is not due yet. */
    public ImmutableList<Word> words() {
        return present.values().stream().map(Entry::word).collect(ImmutableList.toImmutableList());
    }

    /** Returns a number that is the same for two books with the same words on servers there. */
    public long digest() {
        return words().stream().mapToLong(ServerBook::digestOf).sum();
    }

    private static long digestOf(Word word) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(word.id().value())
                .putLong(word.revision().era())
                .putLong(word.revision().number())
                .putBoolean(word.server().isPresent())
                .putBoolean(word.server().filter(BackendServer::leaving).isPresent())
                .hash()
                .asLong();
    }

    /** Returns the last life known of {@code id}, whether it is over or not. */
    public Optional<ServerIncarnation> lifeOf(EngineId id) {
        Entry entry = present.get(id);
        return entry != null
                ? Optional.of(entry.server.incarnation())
                : Optional.ofNullable(removed.get(id)).map(Removed::life);
    }

    /** Returns the newest revision known of {@code id}; {@link Revision#NONE} if none. */
    public Revision revisionOf(EngineId id) {
        Entry entry = present.get(id);
        if (entry != null) {
            return entry.revision;
        }
        Removed gone = removed.get(id);
        return gone == null ? Revision.NONE : gone.revision();
    }
}
