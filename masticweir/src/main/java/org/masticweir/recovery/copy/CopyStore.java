package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/**
 * The copies that a router holds for the owners of other routers' requests.
 *
 * <p>Commands change it and say what came of them; {@link #reads} is the query side. Every command
 * may come late, twice or out of order: only the epoch and the token index decide what it does.
 * Thread-safe; bounded by its {@link StoreLimits}.
 */
public final class CopyStore {
    private final StoreLimits limits;
    private final CopyReads reads = new Reads();

    /** Both maps run from the copy that is longest without news to the newest. */
    private final Map<RequestId, HeldCopy> running = new LinkedHashMap<>();

    private final Map<RequestId, HeldCopy> finished = new LinkedHashMap<>();
    private long bytes;

    private CopyStore(StoreLimits limits) {
        this.limits = checkNotNull(limits, "limits");
    }

    public static CopyStore within(StoreLimits limits) {
        return new CopyStore(limits);
    }

    public CopyReads reads() {
        return reads;
    }

    /** Carries out one command of an owner. */
    public synchronized HolderAnswer apply(CopyCommand command, long nowMs) {
        checkNotNull(command, "command");
        if (command instanceof CopyCommand.Open open) {
            return open(open.copy(), nowMs);
        }
        if (command instanceof CopyCommand.Replace replace) {
            return replace(replace.copy(), nowMs);
        }
        return append((CopyCommand.Append) command, nowMs);
    }

    /**
     * Makes {@code to} the owner if the request still stands at {@code expected}.
     *
     * <p>Two routers may decide at one moment that an owner is dead. The comparison lets one of
     * them win; the other hears of it by name and reads from there.
     */
    public synchronized HolderAnswer takeOver(
            RequestId request, CopyEpoch expected, RouterId to, long nowMs) {
        HeldCopy held = lookUp(request);
        if (held == null || !held.present()) {
            return new HolderAnswer.Missing();
        }
        CopyEpoch next = expected.nextFor(checkNotNull(to, "to"));
        if (held.epoch().equals(next)) {
            // The first answer was lost and the same router asks again.
            return moved(held, nowMs);
        }
        if (!held.epoch().equals(expected)) {
            return new HolderAnswer.HeldByOther(held.epoch());
        }
        held.raise(next);
        keep(request, held, nowMs);
        return moved(held, nowMs);
    }

    /**
     * Refuses all epochs below {@code epoch} from now on, also when no copy is here yet.
     *
     * <p>An owner that was paused may come back and choose this router as its next holder. Without
     * the epoch left here it would be given a fresh copy, and release under it.
     */
    public synchronized HolderAnswer fence(RequestId request, CopyEpoch epoch, long nowMs) {
        checkNotNull(epoch, "epoch");
        HeldCopy held = lookUp(request);
        if (held == null) {
            HeldCopy mark = HeldCopy.epochOnly(epoch, nowMs);
            if (!makeRoom(mark.bytes())) {
                return new HolderAnswer.Full();
            }
            add(request, mark, nowMs);
            return moved(mark, nowMs);
        }
        if (epoch.isBelow(held.epoch())) {
            return new HolderAnswer.StaleEpoch(held.epoch());
        }
        held.raise(epoch);
        keep(request, held, nowMs);
        return moved(held, nowMs);
    }

    /**
     * Forgets the copy opened under {@code epoch}, of which nothing ran.
     *
     * <p>Left here it would show as a copy of a lost owner, and a caller who came back would have
     * the request run from it beside the owner that has it.
     */
    public synchronized void withdraw(RequestId request, CopyEpoch epoch) {
        HeldCopy held = lookUp(request);
        if (held != null && held.epoch().equals(epoch)) {
            bytes -= held.bytes();
            running.remove(request);
            finished.remove(request);
        }
    }

    /** Forgets what is past its time; returns the count of copies forgotten. */
    public synchronized int expire(long nowMs) {
        return expire(finished, nowMs - limits.retainMs())
                + expire(running, nowMs - limits.abandonMs());
    }

    private HolderAnswer open(GenerationCopy copy, long nowMs) {
        HeldCopy held = lookUp(copy.request());
        if (held == null) {
            return add(copy, nowMs) ? new HolderAnswer.Granted() : new HolderAnswer.Full();
        }
        return held.epoch().equals(copy.epoch())
                ? new HolderAnswer.Granted()
                : new HolderAnswer.HeldByOther(held.epoch());
    }

    private HolderAnswer replace(GenerationCopy copy, long nowMs) {
        HeldCopy held = lookUp(copy.request());
        if (held == null) {
            return add(copy, nowMs) ? acked(lookUp(copy.request())) : new HolderAnswer.Full();
        }
        if (copy.epoch().isBelow(held.epoch())) {
            return new HolderAnswer.StaleEpoch(held.epoch());
        }
        boolean newer = held.epoch().isBelow(copy.epoch());
        // Within one epoch a whole copy that was delayed must not undo what came after it.
        if (newer || !held.present() || copy.isAheadOf(held.copy(nowMs).orElseThrow())) {
            long before = held.bytes();
            held.replace(copy, nowMs);
            bytes += held.bytes() - before;
        }
        keep(copy.request(), held, nowMs);
        return acked(held);
    }

    private HolderAnswer append(CopyCommand.Append a, long nowMs) {
        HeldCopy held = lookUp(a.request());
        if (held == null) {
            return new HolderAnswer.Missing();
        }
        if (a.epoch().isBelow(held.epoch())) {
            return new HolderAnswer.StaleEpoch(held.epoch());
        }
        if (!a.epoch().equals(held.epoch()) || a.generation() > held.generation()) {
            return new HolderAnswer.Missing();
        }
        if (a.generation() < held.generation()) {
            return acked(held);
        }
        if (a.from() > held.tokens()) {
            return new HolderAnswer.Missing();
        }
        if (!a.tokens().isEmpty() && !makeRoomFor(a)) {
            // The owner finds another holder; what is held stays good for a take-over until then.
            return new HolderAnswer.Full();
        }
        long before = held.bytes();
        held.append(a);
        bytes += held.bytes() - before;
        keep(a.request(), held, nowMs);
        return acked(held);
    }

    private HeldCopy lookUp(RequestId request) {
        HeldCopy held = running.get(checkNotNull(request, "request"));
        return held == null ? finished.get(request) : held;
    }

    private boolean add(GenerationCopy copy, long nowMs) {
        HeldCopy held = HeldCopy.of(copy, nowMs);
        if (!makeRoom(held.bytes())) {
            return false;
        }
        add(copy.request(), held, nowMs);
        return true;
    }

    private void add(RequestId request, HeldCopy held, long nowMs) {
        bytes += held.bytes();
        keep(request, held, nowMs);
    }

    private void keep(RequestId request, HeldCopy held, long nowMs) {
        running.remove(request);
        finished.remove(request);
        held.touch(nowMs);
        (held.finished() ? finished : running).put(request, held);
    }

    private boolean makeRoom(long wanted) {
        return makeRoom(1, wanted);
    }

    private boolean makeRoomFor(CopyCommand.Append a) {
        return makeRoom(0, (long) a.tokens().length() * Integer.BYTES);
    }

    /** Gives up finished copies, oldest first; a running one is never given up for another. */
    private boolean makeRoom(int copies, long wanted) {
        Iterator<HeldCopy> oldest = finished.values().iterator();
        while (!fits(copies, wanted) && oldest.hasNext()) {
            bytes -= oldest.next().bytes();
            oldest.remove();
        }
        return fits(copies, wanted);
    }

    private boolean fits(int copies, long wanted) {
        return running.size() + finished.size() + copies <= limits.maxCopies()
                && bytes + wanted <= limits.maxBytes();
    }

    private int expire(Map<RequestId, HeldCopy> copies, long beforeMs) {
        int gone = 0;
        Iterator<HeldCopy> oldest = copies.values().iterator();
        while (oldest.hasNext()) {
            HeldCopy held = oldest.next();
            if (held.touchedAtMs() > beforeMs) {
                break;
            }
            bytes -= held.bytes();
            oldest.remove();
            gone++;
        }
        return gone;
    }

    private static HolderAnswer acked(HeldCopy held) {
        return new HolderAnswer.Acked(held.generation(), held.tokens());
    }

    private static HolderAnswer moved(HeldCopy held, long nowMs) {
        return new HolderAnswer.Moved(held.epoch(), held.copy(nowMs));
    }

    /** The query side, under the store's own lock. */
    private final class Reads implements CopyReads {
        @Override
        public Optional<CopySummary> find(RequestId request) {
            synchronized (CopyStore.this) {
                return Optional.ofNullable(lookUp(request)).map(HeldCopy::summary);
            }
        }

        @Override
        public Optional<GenerationCopy> copy(RequestId request, long nowMs) {
            synchronized (CopyStore.this) {
                return Optional.ofNullable(lookUp(request)).flatMap(h -> h.copy(nowMs));
            }
        }

        @Override
        public int count() {
            synchronized (CopyStore.this) {
                return running.size() + finished.size();
            }
        }

        @Override
        public long bytes() {
            synchronized (CopyStore.this) {
                return bytes;
            }
        }
    }
}
