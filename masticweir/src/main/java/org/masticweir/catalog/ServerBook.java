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
 * <p>Each word carries the store's revision. An older one changes nothing, in whatever order words
 * arrive, so that a server that has left is never taken for one that serves.
 */
public final class ServerBook {
    /** Removed servers remembered, against older words on them; the longest removed go first. */
    private static final int MAX_REMOVED = 4_096;

    private final Map<EngineId, Entry> present = new HashMap<>();
    private final Map<EngineId, Long> removed =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<EngineId, Long> eldest) {
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

    private ServerBook() {}

    public static ServerBook create() {
        return new ServerBook();
    }

    /** Takes a server's entry; returns whether what is believed has changed. */
    public boolean put(BackendServer server, long revision) {
        checkNotNull(server, "server");
        if (revision <= removed.getOrDefault(server.id(), -1L)) {
            return false;
        }
        Entry entry = present.get(server.id());
        if (entry == null) {
            present.put(server.id(), new Entry(server, revision));
            removed.remove(server.id());
            return true;
        }
        if (revision <= entry.revision) {
            return false;
        }
        if (entry.removal.isPresent() && entry.removal.get().revision() > revision) {
            return false;
        }
        entry.removal = Optional.empty();
        entry.revision = revision;
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
        removed.put(id, revision);
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
            Optional<Removal> due = next.getValue().removal.filter(r -> r.dueMs() <= nowMs);
            if (due.isPresent()) {
                entries.remove();
                removed.put(next.getKey(), due.get().revision());
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

    /** Returns the newest revision heard of {@code id}; -1 if none. */
    public long revisionOf(EngineId id) {
        Entry entry = present.get(id);
        return entry == null ? removed.getOrDefault(id, -1L) : entry.revision;
    }
}
