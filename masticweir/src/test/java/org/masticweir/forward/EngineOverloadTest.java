package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;

/**
 * Simulates a burst of reports while half of the engines are lost. Without a queue, reports are
 * refused although an engine ends a prefill every hundred ms, and the requests that have waited
 * longest are refused first.
 *
 * <p>Eight engines process 8 prompts a second; 12 reports a second arrive for 6 s. A prefill takes
 * 1.03 s alone at an engine, and twice as long concurrently with another prefill. A report runs for
 * 5.5 s.
 */
class EngineOverloadTest {
    private static final long ARRIVAL_INTERVAL_MS = 83;
    private static final int REPORTS = 72;
    private static final long RUN_MS = 5_500;
    private static final long PREFILL_MS = 2_060;
    private static final long TICK_MS = 10;
    private static final long END_MS = 12_000;

    /** Results of a wait policy. */
    private record Outcome(int servedCount, int refusedCount, int overtakenCount) {}

    /** Action of the simulation at a given time. */
    private record ScheduledAction(long atMs, Runnable action) {}

    /** State of one report in the simulation. */
    private static final class Report {
        final int number;
        final long arrivedMs;
        final RequestStateMachine stateMachine;

        Report(int number, long arrivedMs, RequestStateMachine machine) {
            this.number = number;
            this.arrivedMs = arrivedMs;
            this.stateMachine = machine;
        }
    }

    private final ForwardFixture fixture = new ForwardFixture().domain("a", 4).domain("b", 4);
    private final PriorityQueue<ScheduledAction> scheduledActions =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
    private final Random random = new Random(5);

    /** Returns the next step of a waiting report. */
    private interface Policy {
        Step next(Report report, long nowMs);
    }

    private RequestParameters parametersAt(long nowMs) {
        RequestParameters parameters = ForwardFixture.parametersOfSize(ForwardFixture.PROMPT);
        return ForwardFixture.at(parameters, nowMs, nowMs + 25_000);
    }

    private Outcome replay(Policy policy) {
        List<Report> waiting = new ArrayList<>();
        int arrived = 0;
        int served = 0;
        int refused = 0;
        int overtaken = 0;
        for (long now = 0; now < END_MS; now += TICK_MS) {
            while (!scheduledActions.isEmpty() && scheduledActions.peek().atMs() <= now) {
                scheduledActions.poll().action().run();
            }
            if (arrived < REPORTS && now >= arrived * ARRIVAL_INTERVAL_MS) {
                waiting.add(new Report(arrived, now, fixture.stateMachine(parametersAt(now))));
                arrived++;
            }
            Collections.shuffle(waiting, random);
            Iterator<Report> each = waiting.iterator();
            while (each.hasNext()) {
                Report report = each.next();
                Step step = policy.next(report, now);
                if (step instanceof Step.Send send) {
                    served++;
                    boolean isOvertaking = waiting.stream().anyMatch(w -> w.number < report.number);
                    overtaken += isOvertaking ? 1 : 0;
                    LoadEntry entry = LoadEntry.open(fixture.loads, send, ForwardFixture.PROMPT);
                    scheduledActions.add(new ScheduledAction(now + PREFILL_MS, entry::endPrefill));
                    scheduledActions.add(new ScheduledAction(now + RUN_MS, entry::close));
                    each.remove();
                } else if (step instanceof Step.End) {
                    refused++;
                    each.remove();
                }
            }
        }
        return new Outcome(served, refused, overtaken);
    }

    /** Each report checks for a free engine without a queue, for an eighth of its time goal. */
    private Step withoutQueue(Report report, long nowMs) {
        if (nowMs - report.arrivedMs > ForwardFixture.GOAL_MS / 8) {
            return report.stateMachine.endAtDeadline();
        }
        ImmutableList<BackendServer> servers = ImmutableList.copyOf(fixture.servers);
        Optional<BackendServer> engine =
                fixture.selector.select(
                        servers,
                        ForwardFixture.PROMPT,
                        Optional.of(ForwardFixture.ENGINE),
                        Set.of(),
                        nowMs);
        if (engine.isEmpty()) {
            return new Step.Wait(TICK_MS);
        }
        return new Step.Send(
                engine.get(), Optional.empty(), false, report.stateMachine.lastEventId());
    }

    private Step withQueue(Report report, long nowMs) {
        return report.stateMachine.next(nowMs);
    }

    /** Compares the wait queue with unordered waiting under the same load. */
    @Nested
    class Burst {
        @Test
        void isServedInOrderWithFewerRefusals() {
            Outcome withQueue = replay(EngineOverloadTest.this::withQueue);
            Outcome withoutQueue = new EngineOverloadTest().replayWithoutQueue();
            assertEquals(
                    0, withQueue.overtakenCount(), "requests served before an earlier arrival");
            assertTrue(withoutQueue.overtakenCount() > 0, "without a queue: " + withoutQueue);
            assertTrue(
                    withQueue.refusedCount() < withoutQueue.refusedCount(),
                    "with a queue: " + withQueue + ", " + withoutQueue);
            assertEquals(REPORTS, withQueue.servedCount() + withQueue.refusedCount());
        }
    }

    private Outcome replayWithoutQueue() {
        return replay(this::withoutQueue);
    }
}
