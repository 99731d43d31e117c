package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.EngineId;

/**
 * The newest word on each backend server, from the store and from peers; not thread-safe.
 *
 * <p>Of two lives of a server the later one holds. Of two words on one life the one with the newer
 * revision of the store holds, and a removal counts against all that was written before it. Older
 * words change nothing, in whatever order they arrive, so a server that has left is never taken for
 * one that serves, and a life that is over never comes back.
 */
public final class ServerBook {
    /** Removed servers remembered, against older words on them; the longest removed go first. */
    private static final int MAX_REMOVED = 4_096;

    private final Map<EngineId, Entry> present = new HashMap<>();
    private final Map<EngineId, Removed> removed =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<EngineId, Removed> eldest) {
                    return size() > MAX_REMOVED;
                }
            };

    private static final class Entry {
        private BackendServer server;
        private long revision;
        private Optional<Removal> removal = Optional.empty();

        Entry(BackendServer server, long revision) {
            this.server = server;
            this.revision = revision;
        }
    }

    /** A removal that takes effect later. */
    private record Removal(long revision, long dueMs) {}

    /** What is remembered of a server that is gone: its last life, and as of when. */
    private record Removed(ServerLife life, long revision) {
        boolean rulesOut(ServerLife other, long otherRevision) {
            return otherRevision <= revision || other.isBefore(life);
        }
    }

    private ServerBook() {}

    public static ServerBook create() {
        return new ServerBook();
    }

    /** Takes a server's entry; returns whether what is believed has changed. */
    public boolean put(BackendServer server, long revision) {
        checkNotNull(server, "server");
        ServerLife life = server.life();
        Removed gone = removed.get(life.id());
        if (gone != null && gone.rulesOut(life, revision)) {
            return false;
        }
        Entry entry = present.get(life.id());
        if (entry == null) {
            present.put(life.id(), new Entry(server, revision));
            removed.remove(life.id());
            return true;
        }
        boolean later = entry.server.life().isBefore(life);
        boolean newer = revision > entry.revision && !life.isBefore(entry.server.life());
        boolean removedSince =
                entry.removal.isPresent() && entry.removal.get().revision() > revision;
        if (removedSince || !(later || newer)) {
            return false;
        }
        entry.removal = Optional.empty();
        entry.revision = Math.max(revision, entry.revision);
        boolean changed = !entry.server.equals(server);
        entry.server = server;
        return changed;
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
    public boolean remove(EngineId id, long revision, long nowMs, long dueMs) {
        Entry entry = present.get(id);
        if (entry == null || revision <= entry.revision) {
            return false;
        }
        if (dueMs > nowMs) {
            entry.removal = Optional.of(new Removal(revision, dueMs));
            return false;
        }
        present.remove(id);
        removed.put(id, new Removed(entry.server.life(), revision));
        return true;
    }

    /** Removes all servers that a whole reading of the store at {@code revision} lacks. */
    public boolean retain(Iterable<EngineId> listed, long revision, long nowMs, long dueMs) {
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
                removed.put(next.getKey(), new Removed(entry.server.life(), due.get().revision()));
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

    /** Returns the last life known of {@code id}, whether it is over or not. */
    public Optional<ServerLife> lifeOf(EngineId id) {
        Entry entry = present.get(id);
        return entry != null
                ? Optional.of(entry.server.life())
                : Optional.ofNullable(removed.get(id)).map(Removed::life);
    }

    /** Returns the newest revision heard of {@code id}; -1 if none. */
    public long revisionOf(EngineId id) {
        Entry entry = present.get(id);
        if (entry != null) {
            return entry.revision;
        }
        Removed gone = removed.get(id);
        return gone == null ? -1 : gone.revision();
    }
}
