package org.masticweir.bench.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.report.ClassResult;
import org.masticweir.bench.report.LatencySummary;
import org.masticweir.bench.report.LoadResult;
import org.masticweir.bench.report.NamedCount;
import org.masticweir.bench.report.ReturnCounts;
import org.masticweir.bench.report.TeamResult;
import org.masticweir.bench.report.TimelinePoint;
import org.masticweir.bench.standin.EngineLedger;

/** Turns what callers saw into the result of a load. */
public final class LoadMeasurement {
    private static final int DIGITS = 3;
    private static final long INTERVAL_MS = 250;

    private LoadMeasurement() {}

    /**
     * Returns the result of a load that started at {@code startedAtMs}.
     *
     * @param ledger what the engines computed; empty when no engines are known
     */
    public static LoadResult measure(
            LoadShape shape, List<ObservedCall> calls, long startedAtMs, EngineLedger ledger) {
        ImmutableList<ClassResult> classes =
                shape.mix().classes().stream()
                        .map(c -> ofClass(c.name(), shape.seconds(), calls))
                        .collect(ImmutableList.toImmutableList());
        return new LoadResult(
                shape.mix().name(),
                shape.seconds(),
                shape.ratePerS(),
                shape.seed(),
                classes,
                teams(shape, calls),
                returns(calls),
                TokenChecker.against(ledger).check(calls),
                summary(
                        calls.stream()
                                .filter(ObservedCall::completed)
                                .mapToLong(c -> c.record().longestGapMs())),
                timeline(calls, startedAtMs));
    }

    private static ClassResult ofClass(String name, double seconds, List<ObservedCall> all) {
        ImmutableList<ObservedCall> calls =
                all.stream()
                        .filter(c -> c.planned().profile().name().equals(name))
                        .collect(ImmutableList.toImmutableList());
        long withinTarget = calls.stream().filter(ObservedCall::withinTarget).count();
        return new ClassResult(
                name,
                calls.size(),
                calls.stream().filter(ObservedCall::completed).count(),
                counts(only(calls, ObservedCall::refused), ObservedCall::refusal),
                counts(only(calls, c -> !c.completed() && !c.refused()), ObservedCall::failure),
                withinTarget,
                withinTarget / seconds,
                summary(
                        only(calls, ObservedCall::hasTokens).stream()
                                .mapToLong(ObservedCall::firstTokenMs)),
                summary(calls.stream().flatMapToLong(c -> gaps(c.record()))),
                summary(
                        only(calls, ObservedCall::completed).stream()
                                .mapToLong(ObservedCall::totalMs)));
    }

    private static ImmutableList<TeamResult> teams(LoadShape shape, List<ObservedCall> calls) {
        ImmutableListMultimap<String, ObservedCall> byTeam =
                Multimaps.index(calls, c -> c.planned().request().team());
        return shape.mix().teams().stream()
                .map(TeamShare::team)
                .map(t -> new TeamResult(t, byTeam.get(t).size(), withinTarget(byTeam.get(t))))
                .collect(ImmutableList.toImmutableList());
    }

    private static long withinTarget(List<ObservedCall> calls) {
        return calls.stream().filter(ObservedCall::withinTarget).count();
    }

    private static ReturnCounts returns(List<ObservedCall> calls) {
        ImmutableList<ObservedCall> returned = only(calls, c -> !c.returnedAtMs().isEmpty());
        if (returned.isEmpty()) {
            return ReturnCounts.none();
        }
        TreeMap<Long, Long> slots =
                returned.stream()
                        .flatMap(c -> c.returnedAtMs().stream())
                        .collect(
                                Collectors.groupingBy(
                                        at -> at / INTERVAL_MS,
                                        TreeMap::new,
                                        Collectors.counting()));
        return new ReturnCounts(
                returned.size(),
                slots.values().stream().mapToLong(n -> n).sum(),
                withinTarget(returned),
                Collections.max(slots.values()),
                slots.lastKey() - slots.firstKey() + 1);
    }

    private static ImmutableList<ObservedCall> only(
            List<ObservedCall> calls, Predicate<ObservedCall> condition) {
        return calls.stream().filter(condition).collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<NamedCount> counts(
            List<ObservedCall> calls, Function<ObservedCall, String> name) {
        TreeMap<String, Long> counts =
                calls.stream()
                        .collect(Collectors.groupingBy(name, TreeMap::new, Collectors.counting()));
        return counts.entrySet().stream()
                .map(e -> new NamedCount(e.getKey(), e.getValue()))
                .collect(ImmutableList.toImmutableList());
    }

    private static LongStream gaps(CallRecord record) {
        return LongStream.range(1, record.tokenAtMs().length())
                .map(i -> record.tokenAtMs().get((int) i) - record.tokenAtMs().get((int) i - 1));
    }

    private static LatencySummary summary(LongStream valuesMs) {
        Histogram histogram = new Histogram(DIGITS);
        valuesMs.forEach(ms -> histogram.recordValue(Math.max(0, ms)));
        return LatencySummary.of(histogram);
    }

    private static ImmutableList<TimelinePoint> timeline(
            List<ObservedCall> calls, long startedAtMs) {
        TreeMap<Long, Long> tokens = new TreeMap<>();
        for (ObservedCall call : calls) {
            call.record()
                    .tokenAtMs()
                    .forEach(at -> tokens.merge((at - startedAtMs) / INTERVAL_MS, 1L, Long::sum));
        }
        long last = tokens.isEmpty() ? -1 : tokens.lastKey();
        return LongStream.rangeClosed(0, last)
                .mapToObj(i -> new TimelinePoint(i * INTERVAL_MS, tokens.getOrDefault(i, 0L)))
                .collect(ImmutableList.toImmutableList());
    }
}
