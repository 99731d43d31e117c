package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.engine.BackEnd;
import org.masticweir.id.EngineId;

/**
 * Decides which back ends may get new work, from three sources; owned by the control thread.
 *
 * <p>List, back end and orders each keep their latest word, and a back end leaves as long as any of
 * them says so: the first to say it stops new work, and a lagging one can't undo it.
 */
public final class EngineMembership {
    private static final Logger LOG = LogManager.getLogger(EngineMembership.class);

    private final long suspectMs;
    private final long deadMs;
    private final Map<EngineId, Entry> entries = new LinkedHashMap<>();

    private EngineMembership(long suspectMs, long deadMs) {
        checkArgument(suspectMs > 0, "suspect_ms %s", suspectMs);
        checkArgument(deadMs > suspectMs, "dead_ms %s not over suspect_ms", deadMs);
        this.suspectMs = suspectMs;
        this.deadMs = deadMs;
    }

    /** Returns a state in which silence makes a back end suspect, and later lets it be dropped. */
    public static EngineMembership of(long suspectMs, long deadMs) {
        return new EngineMembership(suspectMs, deadMs);
    }

    /** Takes {@code event} and returns the back ends as they stand after it. */
    public Map<EngineId, EngineStanding> apply(EngineEvent event, long nowMs) {
        checkNotNull(event, "event");
        if (event instanceof EngineEvent.Listed e) {
            listed(e, nowMs);
        } else if (event instanceof EngineEvent.Reported e) {
            reported(e, nowMs);
        } else if (event instanceof EngineEvent.Ordered e) {
            ordered(e);
        }
        return at(nowMs);
    }

    /** Returns the back ends as they stand now that time has passed. */
    public Map<EngineId, EngineStanding> at(long nowMs) {
        entries.values().removeIf(e -> e.unlisted && nowMs - e.heardMs >= deadMs);
        return entries.values().stream()
                .map(e -> e.standing(nowMs, suspectMs))
                .collect(ImmutableMap.toImmutableMap(s -> s.backEnd().id(), s -> s));
    }

    /**
     * Takes the list; a back end that is no longer on it leaves.
     *
     * <p>A list service that just restarted shows as an empty list. Believing it would take every
     * back end out of service at once, so an empty list after a full one is not believed.
     */
    private void listed(EngineEvent.Listed event, long nowMs) {
        if (event.backEnds().isEmpty() && !entries.isEmpty()) {
            LOG.warn("membership: empty list of back ends ignored, {} known", entries.size());
            return;
        }
        Set<EngineId> seen = new HashSet<>();
        for (BackEnd b : event.backEnds()) {
            seen.add(b.id());
            Entry e = entries.computeIfAbsent(b.id(), id -> new Entry(nowMs));
            e.list(b, nowMs);
        }
        entries.forEach((id, e) -> e.unlisted = !seen.contains(id));
    }

    private void reported(EngineEvent.Reported event, long nowMs) {
        Entry e = entries.get(event.engine());
        if (e != null) {
            e.heardMs = nowMs;
            e.saysLeaving = event.leaving();
        }
    }

    private void ordered(EngineEvent.Ordered event) {
        Entry e = entries.get(event.engine());
        if (e != null) {
            e.orderedLeaving = event.leaving();
        }
    }

    /** The mutable state of one back end. */
    private static final class Entry {
        private BackEnd backEnd;
        private long heardMs;
        private boolean unlisted;
        private boolean saysLeaving;
        private boolean orderedLeaving;

        Entry(long nowMs) {
            heardMs = nowMs;
        }

        /** Takes the list's word; another address is another instance, of which nothing is said. */
        void list(BackEnd b, long nowMs) {
            if (backEnd != null && !backEnd.address().equals(b.address())) {
                saysLeaving = false;
                orderedLeaving = false;
                heardMs = nowMs;
            }
            backEnd = b;
        }

        EngineStanding standing(long nowMs, long suspectMs) {
            EngineState state = EngineState.LIVE;
            if (backEnd.leaving() || unlisted || saysLeaving || orderedLeaving) {
                state = EngineState.LEAVING;
            } else if (nowMs - heardMs >= suspectMs) {
                state = EngineState.SUSPECT;
            }
            return new EngineStanding(backEnd, state, heardMs);
        }
    }
}
