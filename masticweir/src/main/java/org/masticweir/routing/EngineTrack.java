package org.masticweir.routing;

import com.google.common.collect.ImmutableSet;
import org.masticweir.id.ModelId;

/** What {@link EngineHealth} remembers of one engine; not thread-safe. */
final class EngineTrack {
    /** Intervals in a row that an engine must be slow, so that one long batch ejects nobody. */
    private static final int SLOW_INTERVALS = 3;

    private static final int PROBES_TO_RETURN = 2;
    private static final int FAILED_PROBES_TO_SUSPECT = 2;

    /**
     * Probes in a row without an answer that end what silence alone leaves open: about a second.
     */
    private static final int FAILED_PROBES_TO_GIVE_UP = 4;

    private static final int REFUSALS_TO_EJECT = 5;
    private static final long REFUSAL_WINDOW_MS = 1_000;
    private static final long EJECTED_MS = 10_000;
    private static final int MAX_EJECTION_FACTOR = 6;
    private static final long RAMP_MS = 20_000;
    private static final double FIRST_SHARE = 0.1;

    final ImmutableSet<ModelId> models;
    private EngineState state = EngineState.LIVE;
    private boolean silenceOnly;
    private long changedAtMs;
    private boolean ramping;
    private int refusals;
    private long refusedAtMs;
    private int slowIntervals;
    private int goodProbes;
    private int failedProbes;
    private int ejections;

    EngineTrack(ImmutableSet<ModelId> models) {
        this.models = models;
    }

    EngineState state() {
        return state;
    }

    long changedAtMs() {
        return changedAtMs;
    }

    Standing standing(long nowMs) {
        if (state != EngineState.LIVE || !ramping) {
            return new Standing(state, 1);
        }
        double age = Math.max(0, nowMs - changedAtMs) / (double) RAMP_MS;
        return new Standing(state, Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * age));
    }

    /**
     * Stops new work until probes succeed; returns whether that is a change.
     *
     * @param silent whether a stream's silence is all that was seen
     */
    boolean suspect(boolean silent, long nowMs) {
        goodProbes = 0;
        boolean changes = state != EngineState.SUSPECT;
        silenceOnly = silent && (changes || silenceOnly);
        if (changes) {
            change(EngineState.SUSPECT, nowMs);
        }
        return changes;
    }

    /** Returns whether nothing but a stream's silence speaks against the engine. */
    boolean isDoubtedForSilenceOnly() {
        return state == EngineState.SUSPECT && silenceOnly;
    }

    /** Counts a refusal; returns whether there were many within a short time. */
    boolean refused(long nowMs) {
        refusals = nowMs - refusedAtMs > REFUSAL_WINDOW_MS ? 1 : refusals + 1;
        refusedAtMs = nowMs;
        return state == EngineState.LIVE && refusals >= REFUSALS_TO_EJECT;
    }

    /** Returns whether the probe's answer changes the state. */
    boolean probed(boolean alive, long nowMs) {
        if (!alive) {
            goodProbes = 0;
            failedProbes++;
            silenceOnly &= failedProbes < FAILED_PROBES_TO_GIVE_UP;
            return failedProbes >= FAILED_PROBES_TO_SUSPECT && suspect(true, nowMs);
        }
        failedProbes = 0;
        goodProbes++;
        if (state != EngineState.SUSPECT || goodProbes < PROBES_TO_RETURN) {
            return false;
        }
        comeBack(nowMs);
        return true;
    }

    /** Takes one interval's verdict; returns whether the engine has been slow for long enough. */
    boolean measured(boolean slow) {
        slowIntervals = slow ? slowIntervals + 1 : 0;
        return slowIntervals >= SLOW_INTERVALS;
    }

    void eject(long nowMs) {
        ejections = Math.min(MAX_EJECTION_FACTOR, ejections + 1);
        change(EngineState.EJECTED, nowMs);
    }

    /** Tells whether the ejection, longer each time it follows another, has lasted long enough. */
    boolean ejectionOver(long nowMs) {
        return state == EngineState.EJECTED && nowMs - changedAtMs >= EJECTED_MS * ejections;
    }

    /** Returns to service with a small share of the load that grows with time. */
    void comeBack(long nowMs) {
        change(EngineState.LIVE, nowMs);
        ramping = true;
        refusals = 0;
        slowIntervals = 0;
    }

    /** Ends the ramp and forgives earlier ejections once the engine has served in full. */
    void settle(long nowMs) {
        boolean served = state == EngineState.LIVE && nowMs - changedAtMs >= RAMP_MS;
        if (ramping && served) {
            ramping = false;
            ejections = Math.max(0, ejections - 1);
        }
    }

    private void change(EngineState next, long nowMs) {
        state = next;
        changedAtMs = nowMs;
        goodProbes = 0;
    }
}
