package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.masticweir.control.EngineHoldings;
import org.masticweir.control.EngineRole;
import org.masticweir.control.ModelVersion;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.routing.CacheHints;

/** What the control thread knows of one back end; owned by that thread. */
final class EngineRecord {
    private BackEnd backEnd;
    private Optional<LoadReport> load = Optional.empty();
    private long reportedAtMs;
    private Optional<EngineHoldings> holdings = Optional.empty();
    private CacheHints cache = CacheHints.none();

    EngineRecord(BackEnd backEnd) {
        this.backEnd = checkNotNull(backEnd, "backEnd");
    }

    void listedAs(BackEnd now) {
        backEnd = checkNotNull(now, "now");
    }

    void reported(LoadReport report, long atMs) {
        load = Optional.of(report);
        reportedAtMs = atMs;
    }

    void holds(EngineHoldings now) {
        holdings = Optional.of(now);
    }

    /** Takes a reading unless a later one is known; returns whether it was taken. */
    boolean reportedLater(LoadReport report, long atMs) {
        boolean later = load.isEmpty() || atMs > reportedAtMs;
        if (later) {
            reported(report, atMs);
        }
        return later;
    }

    /** Forgets the load, so that nothing new is sent here until it is reported again. */
    void lapse() {
        load = Optional.empty();
    }

    void caches(CacheHints hints) {
        cache = checkNotNull(hints, "hints");
    }

    BackEnd backEnd() {
        return backEnd;
    }

    Optional<LoadReport> load() {
        return load;
    }

    long reportedAtMs() {
        return reportedAtMs;
    }

    /** Returns what it last said it holds; empty while it never answered. */
    Optional<EngineHoldings> holdings() {
        return holdings;
    }

    /** Returns the models it holds; during a change of version, one in both. */
    Set<ModelVersion> models() {
        return holdings.map(EngineHoldings::models).orElse(ImmutableSet.of());
    }

    /** Tells whether the list or the engine itself says that it leaves. */
    boolean leaving() {
        return backEnd.leaving()
                || holdings.filter(h -> h.role() == EngineRole.LEAVING).isPresent();
    }

    CacheHints cache() {
        return cache;
    }
}
