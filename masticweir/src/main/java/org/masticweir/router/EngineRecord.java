package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.ModelId;
import org.masticweir.routing.CacheHints;

/** What the control thread knows of one back end; owned by that thread. */
final class EngineRecord {
    private BackEnd backEnd;
    private Optional<LoadReport> load = Optional.empty();
    private long reportedAtMs;
    private ImmutableMap<ModelId, String> versions = ImmutableMap.of();
    private boolean saysLeaving;
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

    void holds(Map<ModelId, String> models, boolean leaving) {
        versions = ImmutableMap.copyOf(models);
        saysLeaving = leaving;
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

    ImmutableMap<ModelId, String> versions() {
        return versions;
    }

    /** Tells whether the list or the engine itself says that it leaves. */
    boolean leaving() {
        return backEnd.leaving() || saysLeaving;
    }

    CacheHints cache() {
        return cache;
    }
}
