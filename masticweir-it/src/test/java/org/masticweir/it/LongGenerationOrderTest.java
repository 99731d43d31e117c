package org.masticweir.it;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Collections;
import java.util.Comparator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.standin.StandInControl;

/** Engines are ordered about while they generate for minutes. */
@ExtendWith(SharedOrderBed.class)
final class LongGenerationOrderTest {
    private static final int REPORTS = 4;

    /** Two minutes at the engines' 10 ms a token. */
    private static final int TOKENS = 12_000;

    private static final int TOKENS_A_LOOK = 500;
    private static final long BOUND_MS = 30_000;

    private final OrderBed bed;

    LongGenerationOrderTest(OrderBed bed) {
        this.bed = bed;
    }

    /**
     * Engines with reports of two minutes are told to leave, one of them to come back as well.
     *
     * <p>No report is begun or resumed anew for it, and each ends whole where it ran. The cause is
     * an operator who replaces engines and thinks better of one.
     */
    @Nested
    final class EnginesOrderedDuringReports {
        @Test
        void noReportIsCutOff() {
            OrderRouter router = bed.otherThan(bed.holder());
            long sinceMs = OrderBed.wallMs();
            ImmutableList<RunningCall> reports =
                    IntStream.range(0, REPORTS)
                            .mapToObj(i -> bed.submit(router, Requests.report(TOKENS)))
                            .collect(toImmutableList());
            reports.forEach(r -> r.awaitTokens(TOKENS_A_LOOK));
            ImmutableList<Long> attempts = attemptsAt(reports);
            ImmutableList<BackEndProcess> busy =
                    reports.stream().map(this::engineOf).distinct().collect(toImmutableList());
            for (BackEndProcess engine : busy) {
                bed.list(engine, "leaving");
                awaitOrder(engine, "leave", sinceMs);
            }
            bed.list(busy.get(0), "live");
            awaitOrder(busy.get(0), "role", sinceMs);
            assertTrue(reports.stream().noneMatch(RunningCall::ended), "reports go on");
            System.out.printf(
                    "orders: %d engines ordered to leave and one back, within %d ms of reports of"
                            + " %d tokens%n",
                    busy.size(), OrderBed.wallMs() - sinceMs, TOKENS);
            for (int tokens = TOKENS_A_LOOK; tokens <= TOKENS; tokens += TOKENS_A_LOOK) {
                int count = tokens;
                reports.forEach(r -> r.awaitTokens(count));
            }
            reports.forEach(bed.check()::whole);
            assertEquals(attempts, attemptsAt(reports), "attempts before the orders and after");
        }

        private void awaitOrder(BackEndProcess engine, String kind, long sinceMs) {
            Await.until(
                    engine + " ordered " + kind,
                    BOUND_MS,
                    () ->
                            bed.orders(engine).stream()
                                    .filter(o -> o.atMs() >= sinceMs && o.changed())
                                    .anyMatch(o -> o.kind().equals(kind)));
        }

        /** Returns the engine that runs the last attempt at {@code report}. */
        private BackEndProcess engineOf(RunningCall report) {
            return Collections.max(
                    bed.engines(), Comparator.comparingInt(e -> lastAttempt(e, report)));
        }

        private int lastAttempt(BackEndProcess engine, RunningCall report) {
            return bed.runsOn(engine, report.request()).stream()
                    .mapToInt(StandInControl.RunGeneration::attempt)
                    .max()
                    .orElse(-1);
        }

        private ImmutableList<Long> attemptsAt(ImmutableList<RunningCall> reports) {
            return reports.stream()
                    .map(
                            r ->
                                    bed.engines().stream()
                                            .mapToLong(e -> bed.runsOn(e, r.request()).size())
                                            .sum())
                    .collect(toImmutableList());
        }
    }
}
