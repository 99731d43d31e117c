package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.masticweir.id.EngineId;

/**
 * Counts this router's own attempts on each engine, so that load reports can be corrected.
 *
 * <p>Thread-safe: traffic threads count and read, the control thread drops engines that are gone,
 * and each count is atomic with the entry it is made in. No report resets a counter: sends are kept
 * by time, and a choice adds those made after the report it reads was taken, so a report that
 * arrives between two sends loses neither.
 */
public final class InFlight {
    private final ConcurrentMap<EngineId, RecentSends> engines = new ConcurrentHashMap<>();

    private InFlight() {}

    public static InFlight create() {
        return new InFlight();
    }

    /** Counts an attempt that is about to be sent to {@code engine}. */
    public void sent(EngineId engine, long nowMs) {
        count(engine, 0, nowMs);
    }

    /** Counts an attempt that is about to be sent where {@code choice} says. */
    public void sent(RouteChoice.Chosen choice, long nowMs) {
        count(choice.view().id(), choice.prefillMs(), nowMs);
    }

    /** Counts an attempt on {@code engine} as over, in whatever way; call once for each sent. */
    public void finished(EngineId engine, long nowMs) {
        checkNotNull(engine, "engine");
        engines.computeIfPresent(
                engine,
                (id, sends) -> {
                    sends.add(nowMs, -1);
                    return sends;
                });
    }

    /** Returns this router's attempts that run on {@code engine}. */
    public int outstanding(EngineId engine) {
        RecentSends sends = engines.get(checkNotNull(engine, "engine"));
        return sends == null ? 0 : sends.outstanding();
    }

    /** Forgets engines outside {@code known} on which nothing of this router's runs. */
    public void retain(Set<EngineId> known) {
        checkNotNull(known, "known");
        for (EngineId id : engines.keySet()) {
            if (!known.contains(id)) {
                engines.computeIfPresent(id, (k, s) -> s.outstanding() == 0 ? null : s);
            }
        }
    }

    /**
     * Returns the sequences believed on {@code engine} now: this router's own and the others'.
     *
     * <p>At least this router's own are there, whatever an old report says.
     */
    public double expectedLoad(EngineView engine, long nowMs) {
        return outstanding(engine.id()) + othersLoad(engine, nowMs);
    }

    /** Returns the sequences that the report counted and that were not this router's. */
    int othersLoad(EngineView engine, long nowMs) {
        int reported = engine.load().running() + engine.load().waiting();
        RecentSends sends = engines.get(engine.id());
        if (sends == null) {
            return reported;
        }
        int ownThen = sends.outstanding() - sends.netSince(engine.reportedAtMs(), nowMs);
        return Math.max(0, reported - ownThen);
    }

    /** Returns how long the engine still computes on prompts that this router sent, in ms. */
    double prefillBacklogMs(EngineId engine, long nowMs) {
        RecentSends sends = engines.get(engine);
        return sends == null ? 0 : sends.prefillBacklogMs(nowMs);
    }

    private void count(EngineId engine, double prefillMs, long nowMs) {
        checkNotNull(engine, "engine");
        engines.compute(
                engine,
                (id, old) -> {
                    RecentSends sends = old == null ? new RecentSends() : old;
                    sends.add(nowMs, 1);
                    sends.addPrefill(nowMs, prefillMs);
                    return sends;
                });
    }
}
