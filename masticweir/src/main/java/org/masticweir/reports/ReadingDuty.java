package org.masticweir.reports;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Rendezvous;

/**
 * Decides which engines of its domain a router reads itself.
 *
 * <p>Rendezvous hashing ranks the serving routers of the domain for each engine. The first owns the
 * engine's report: it reads the engine and tells the others.
 *
 * <p>Failure guarded against: the owner is lost, paused, or cut off from the engine or from some
 * peers. It shows as a report that is no longer heard, before membership says anything or though it
 * never will. Each router counts the silence of those ranked before it and reads the engine itself
 * after as many bounds of silence as there are routers before it, until one of them is heard again;
 * so one substitute reads where one is enough, and a router that hears nobody reads all. Later
 * ranks read less often, so that an engine that answers nobody is not asked by everyone.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class ReadingDuty {
    private final RouterId self;
    private final long silenceMs;
    private final Map<EngineId, Duty> duties = new HashMap<>();
    private ImmutableSet<RouterId> readers = ImmutableSet.of();

    private ReadingDuty(RouterId self, long silenceMs) {
        this.self = checkNotNull(self, "self");
        checkArgument(silenceMs > 0, "silence %s ms", silenceMs);
        this.silenceMs = silenceMs;
    }

    /** Returns the duty of {@code self}; an owner silent for {@code silenceMs} is stood in for. */
    public static ReadingDuty of(RouterId self, long silenceMs) {
        return new ReadingDuty(self, silenceMs);
    }

    /** Takes the routers of the domain that serve, this one among them if it does. */
    public void readers(Set<RouterId> serving) {
        if (!readers.equals(serving)) {
            readers = ImmutableSet.copyOf(serving);
            duties.forEach((engine, duty) -> duty.rank = rankOf(engine, self));
        }
    }

    /** Forgets all engines outside {@code known}. */
    public void retain(Set<EngineId> known) {
        duties.keySet().retainAll(checkNotNull(known, "known"));
    }

    /** Takes note that {@code from} told a reading of {@code engine}. */
    public void heard(EngineId engine, RouterId from, long nowMs) {
        Duty duty = duty(engine, nowMs);
        if (readers.contains(from) && rankOf(engine, from) < duty.rank) {
            duty.heardMs = nowMs;
        }
    }

    /** Tells whether peers are told what this router reads of {@code engine}. */
    public boolean tells(EngineId engine, long nowMs) {
        return isDue(duty(engine, nowMs), nowMs);
    }

    /** Tells whether this router reads {@code engine} in the poll that {@code turn} counts. */
    public boolean reads(EngineId engine, long turn, long nowMs) {
        Duty duty = duty(engine, nowMs);
        return isDue(duty, nowMs) && turn % (duty.rank + 1) == 0;
    }

    private boolean isDue(Duty duty, long nowMs) {
        return duty.rank == 0 || nowMs - duty.heardMs >= duty.rank * silenceMs;
    }

    private Duty duty(EngineId engine, long nowMs) {
        return duties.computeIfAbsent(
                checkNotNull(engine, "engine"), id -> new Duty(rankOf(id, self), nowMs));
    }

    /** Returns how many readers come before {@code router}, which need not be one. */
    private int rankOf(EngineId engine, RouterId router) {
        if (!readers.contains(router)) {
            return readers.size();
        }
        long own = Rendezvous.weight(engine.value(), router);
        int before = 0;
        for (RouterId r : readers) {
            before += Rendezvous.weight(engine.value(), r) > own ? 1 : 0;
        }
        return before;
    }

    /** What is known of one engine's readers. */
    private static final class Duty {
        private int rank;
        private long heardMs;

        Duty(int rank, long heardMs) {
            this.rank = rank;
            this.heardMs = heardMs;
        }
    }
}
