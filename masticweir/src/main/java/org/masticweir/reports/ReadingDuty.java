package org.masticweir.reports;

import java.util.Set;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.SharedDuty;
import org.masticweir.membership.StandIn;

/**
 * Decides which engines of its domain a router reads itself.
 *
 * <p>The reading of each engine is a {@link SharedDuty} of the domain's serving routers with one
 * holder: it reads the engine and tells the others. Later ranks read less often, so that an engine
 * that answers nobody is not asked by everyone.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class ReadingDuty {
    private final SharedDuty<EngineId> duty;

    private ReadingDuty(SharedDuty<EngineId> duty) {
        this.duty = duty;
    }

    /** Returns the duty of {@code self}; an owner silent for {@code silenceMs} is stood in for. */
    public static ReadingDuty of(RouterId self, long silenceMs) {
        return new ReadingDuty(
                SharedDuty.of(self, EngineId::value, StandIn.eachRankAfter(silenceMs)));
    }

    /** Takes the routers of the domain that serve, this one among them if it does. */
    public void readers(Set<RouterId> serving) {
        duty.members(serving);
    }

    /** Forgets all engines outside {@code known}. */
    public void retain(Set<EngineId> known) {
        duty.retain(known);
    }

    /** Takes note that {@code from} told a reading of {@code engine}. */
    public void heard(EngineId engine, RouterId from, long nowMs) {
        duty.heard(engine, from, nowMs);
    }

    /** Tells whether peers are told what this router reads of {@code engine}. */
    public boolean tells(EngineId engine, long nowMs) {
        return duty.isDue(engine, nowMs);
    }

    /** Tells whether this router reads {@code engine} in the poll that {@code turn} counts. */
    public boolean reads(EngineId engine, long turn, long nowMs) {
        return duty.isDue(engine, nowMs) && turn % (duty.rank(engine, nowMs) + 1) == 0;
    }
}
