package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.ModelId;

/** What the control thread knows of one back end; owned by that thread. */
final class EngineRecord {
    private static final int FAILURES_TO_SUSPECT = 2;

    private BackEnd backEnd;
    private Optional<LoadReport> load = Optional.empty();
    private long reportedAtMs;
    private int failures;
    private ImmutableMap<ModelId, String> versions = ImmutableMap.of();
    private boolean saysLeaving;

    EngineRecord(BackEnd backEnd) {
        this.backEnd = checkNotNull(backEnd, "backEnd");
    }

    void listedAs(BackEnd now) {
        backEnd = checkNotNull(now, "now");
    }

    void reported(LoadReport report, long atMs) {
        load = Optional.of(report);
        reportedAtMs = atMs;
        failures = 0;
    }

    void holds(Map<ModelId, String> models, boolean leaving) {
        versions = ImmutableMap.copyOf(models);
        saysLeaving = leaving;
    }

    void failed() {
        failures++;
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

    boolean suspect() {
        return failures >= FAILURES_TO_SUSPECT;
    }
}
