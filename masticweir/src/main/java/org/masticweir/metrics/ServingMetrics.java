package org.masticweir.metrics;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ascii;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.serving.ServingObserver;
import org.masticweir.time.Clock;

/**
 * Records what requests experience into a registry, by class of work and by team.
 *
 * <p>Names end in whom they are about, as in {@code first_token_ms.class.reports} and {@code
 * tokens.team.t1}; failures are counted under {@code failed.code.*} and {@code failed.verdict.*}
 * too. Thread-safe; nothing blocks, and an event of a class and team seen before builds no text and
 * takes no lock.
 */
public final class ServingMetrics implements ServingObserver {
    /** Classes come from the document, so only a history of renamed ones can reach this. */
    private static final int MAX_CLASSES_SHOWN = 64;

    private final BoundedSeries<WorkClassId> classes;
    private final BoundedSeries<TeamId> teams;
    private final Map<ErrorCode, Counter> failedByCode = new EnumMap<>(ErrorCode.class);
    private final Map<Verdict, Counter> failedByVerdict = new EnumMap<>(Verdict.class);

    private ServingMetrics(MetricRegistry registry, MetricsTuning tuning, Clock clock) {
        Function<String, Series> forClass =
                id -> Series.register(registry, ".class." + id, clock, tuning.windowMs());
        Function<String, Series> forTeam =
                id -> Series.register(registry, ".team." + id, clock, tuning.windowMs());
        classes = BoundedSeries.of(MAX_CLASSES_SHOWN, WorkClassId::value, forClass);
        teams = BoundedSeries.of(tuning.maxTeamsShown(), TeamId::value, forTeam);
        for (ErrorCode code : ErrorCode.values()) {
            failedByCode.put(code, registry.counter("failed.code." + lower(code)));
        }
        for (Verdict verdict : Verdict.values()) {
            failedByVerdict.put(verdict, registry.counter("failed.verdict." + lower(verdict)));
        }
    }

    /** Returns an observer that records into {@code registry}. */
    public static ServingMetrics of(MetricRegistry registry, MetricsTuning tuning, Clock clock) {
        checkNotNull(registry, "registry");
        checkNotNull(tuning, "tuning");
        checkNotNull(clock, "clock");
        return new ServingMetrics(registry, tuning, clock);
    }

    @Override
    public void firstToken(RequestSpec request, long ms) {
        classes.of(request.workClass()).firstToken().update(ms);
        teams.of(request.team()).firstToken().update(ms);
    }

    @Override
    public void tokenGap(RequestSpec request, long ms) {
        classes.of(request.workClass()).tokenGap().update(ms);
        teams.of(request.team()).tokenGap().update(ms);
    }

    @Override
    public void completed(RequestSpec request, long ms, int tokens) {
        classes.of(request.workClass()).completed(ms, tokens);
        teams.of(request.team()).completed(ms, tokens);
    }

    /** Counts a failure; its time stays out of the histograms, which show whole answers. */
    @Override
    public void failed(RequestSpec request, MasticweirException error, long ms) {
        classes.of(request.workClass()).failed().inc();
        teams.of(request.team()).failed().inc();
        failedByCode.get(error.code()).inc();
        failedByVerdict.get(error.verdict()).inc();
    }

    @Override
    public void resumed(RequestSpec request, long ms, boolean moved, int recomputed) {
        classes.of(request.workClass()).resumed(ms, moved, recomputed);
        teams.of(request.team()).resumed(ms, moved, recomputed);
    }

    private static String lower(Enum<?> value) {
        return Ascii.toLowerCase(value.name());
    }
}
