package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.HashBasedTable;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSetMultimap;
import com.google.common.collect.Table;
import java.util.Locale;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.EngineFailure;
import org.masticweir.routing.EngineHealth;
import org.masticweir.routing.HealthChange;
import org.masticweir.routing.HealthView;
import org.masticweir.routing.SpeedEstimate;
import org.masticweir.serving.EngineEvents;
import org.masticweir.serving.EngineTraffic;
import org.masticweir.serving.PaceInterval;

/**
 * Judges engines by what traffic threads and polls saw, and learns their speed; owned by the
 * control thread.
 */
final class EngineWatch {
    private static final Logger LOG = LogManager.getLogger(EngineWatch.class);

    private static final long JUDGE_EVERY_MS = 1_000;

    /** Equal events of one engine beyond this many tell nothing more. */
    private static final int MAX_ALIKE = 8;

    private final EngineTraffic traffic;
    private final EngineHealth health = EngineHealth.create();
    private final Table<EngineId, ModelId, SpeedLearner> speeds = HashBasedTable.create();
    private long judgedAtMs;

    EngineWatch(EngineTraffic traffic, long nowMs) {
        this.traffic = checkNotNull(traffic, "traffic");
        judgedAtMs = nowMs;
    }

    /** Watches exactly these engines. */
    void watch(Map<EngineId, EngineRecord> records) {
        ImmutableSetMultimap.Builder<EngineId, ModelId> staying = ImmutableSetMultimap.builder();
        for (EngineRecord record : records.values()) {
            if (!record.leaving()) {
                record.models().forEach(m -> staying.put(record.backEnd().id(), m.model()));
            }
        }
        health.watch(staying.build());
        speeds.rowKeySet().retainAll(records.keySet());
        traffic.retain(records.keySet());
    }

    /** Takes the outcome of a poll, which is a probe as well. */
    void polled(EngineId engine, boolean answered, long nowMs) {
        health.probed(engine, answered, nowMs).ifPresent(EngineWatch::log);
    }

    /** Takes what traffic threads saw since the last call. */
    void takeTraffic(Map<EngineId, EngineRecord> records, long nowMs) {
        traffic.drainEvents().forEach(e -> take(e, nowMs));
        if (nowMs - judgedAtMs < JUDGE_EVERY_MS) {
            return;
        }
        judgedAtMs = nowMs;
        ImmutableList<PaceInterval> paces = traffic.drainPaces();
        health.judge(paces.stream().map(PaceInterval::toSample).collect(toImmutableList()), nowMs)
                .forEach(EngineWatch::log);
        paces.forEach(p -> learn(p, records, nowMs));
    }

    HealthView view(long nowMs) {
        return health.view(nowMs);
    }

    SpeedEstimate speed(EngineId engine, ModelId model, long nowMs) {
        return learner(engine, model).estimate(nowMs);
    }

    private void take(EngineEvents events, long nowMs) {
        for (EngineFailure failure : events.failures().elementSet()) {
            for (int i = 0; i < Math.min(MAX_ALIKE, events.failures().count(failure)); i++) {
                health.failed(events.engine(), failure, nowMs).ifPresent(EngineWatch::log);
            }
        }
        for (int i = 0; i < Math.min(MAX_ALIKE, events.failedProbes()); i++) {
            polled(events.engine(), false, nowMs);
        }
        // One interval's answers count as one probe: a return needs answers over some time.
        if (events.goodProbes() > 0 && events.failedProbes() == 0) {
            polled(events.engine(), true, nowMs);
        }
    }

    private void learn(PaceInterval pace, Map<EngineId, EngineRecord> records, long nowMs) {
        EngineRecord record = records.get(pace.engine());
        if (record != null) {
            int batch = record.load().map(LoadReport::running).orElse(0);
            learner(pace.engine(), pace.model()).learn(pace, batch, nowMs);
        }
    }

    private SpeedLearner learner(EngineId engine, ModelId model) {
        SpeedLearner learner = speeds.get(engine, model);
        if (learner == null) {
            learner = new SpeedLearner();
            speeds.put(engine, model, learner);
        }
        return learner;
    }

    private static void log(HealthChange change) {
        String state = change.state().name().toLowerCase(Locale.ROOT);
        if (change.limitMs() > 0) {
            LOG.info(
                    "routing: engine {} {}, gap {} ms over {} ms",
                    change.engine(),
                    state,
                    Math.round(change.gapMs()),
                    Math.round(change.limitMs()));
        } else {
            LOG.info("routing: engine {} {}", change.engine(), state);
        }
    }
}
