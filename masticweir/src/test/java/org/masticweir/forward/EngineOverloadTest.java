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
 * Replays a burst while half of the engines are lost: callers of reports are refused though engines
 * end reading a prompt every hundred ms, and those that waited longest are refused first.
 *
 * <p>Eight engines that read 8 prompts a second; 12 reports a second for 6 s. A prompt is read in
 * 1.03 s alone and in twice that beside another; a report runs for 5.5 s.
 */
class EngineOverloadTest {
    private static final long GAP_MS = 83;
    private static final int REPORTS = 72;
    private static final long RUN_MS = 5_500;
    private static final long READ_MS = 2_060;
    private static final long TICK_MS = 10;
    private static final long END_MS = 12_000;

    /** How a policy ended each report. */
    private record Outcome(int served, int refused, int overtaken) {}

    /** What happens to a run at a time. */
    private record Due(long atMs, Runnable what) {}

    /** One report as the replay sees it. */
    private static final class Report {
        final int number;
        final long arrivedMs;
        final RequestStateMachine course;

        Report(int number, long arrivedMs, RequestStateMachine course) {
            this.number = number;
            this.arrivedMs = arrivedMs;
            this.course = course;
        }
    }

    private final ForwardWorld world = new ForwardWorld().domain("a", 4).domain("b", 4);
    private final PriorityQueue<Due> due =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
    private final Random random = new Random(5);

    /** What a policy does with a report that waits; returns whether it is done with it. */
    private interface Policy {
        Step next(Report report, long nowMs);
    }

    private RequestParameters planAt(long nowMs) {
        RequestParameters plan = ForwardWorld.planOfSize(ForwardWorld.PROMPT);
        return ForwardWorld.at(plan, nowMs, nowMs + 25_000);
    }

    private Outcome replay(Policy policy) {
        List<Report> waiting = new ArrayList<>();
        int come = 0;
        int served = 0;
        int refused = 0;
        int overtaken = 0;
        for (long now = 0; now < END_MS; now += TICK_MS) {
            while (!due.isEmpty() && due.peek().atMs() <= now) {
                due.poll().what().run();
            }
            if (come < REPORTS && now >= come * GAP_MS) {
                waiting.add(new Report(come, now, world.course(planAt(now))));
                come++;
            }
            Collections.shuffle(waiting, random);
            Iterator<Report> each = waiting.iterator();
            while (each.hasNext()) {
                Report report = each.next();
                Step step = policy.next(report, now);
                if (step instanceof Step.Send send) {
                    served++;
                    boolean behind = waiting.stream().anyMatch(w -> w.number < report.number);
                    overtaken += behind ? 1 : 0;
                    LoadEntry ticket = LoadEntry.open(world.loads, send, ForwardWorld.PROMPT);
                    due.add(new Due(now + READ_MS, ticket::endPrefill));
                    due.add(new Due(now + RUN_MS, ticket::close));
                    each.remove();
                } else if (step instanceof Step.End) {
                    refused++;
                    each.remove();
                }
            }
        }
        return new Outcome(served, refused, overtaken);
    }

    /** Each looks for itself, for an eighth of its goal. */
    private Step withoutLine(Report report, long nowMs) {
        if (nowMs - report.arrivedMs > ForwardWorld.GOAL_MS / 8) {
            return report.course.endAtDeadline();
        }
        ImmutableList<BackendServer> servers = ImmutableList.copyOf(world.servers);
        Optional<BackendServer> engine =
                world.placement.server(
                        servers,
                        ForwardWorld.PROMPT,
                        Optional.of(ForwardWorld.ENGINE),
                        Set.of(),
                        nowMs);
        if (engine.isEmpty()) {
            return new Step.Wait(TICK_MS);
        }
        return new Step.Send(engine.get(), Optional.empty(), false, report.course.lastEventId());
    }

    private Step inLine(Report report, long nowMs) {
        return report.course.next(nowMs);
    }

    /** The same load under both. */
    @Nested
    class Burst {
        @Test
        void isServedInOrderWithFewerRefusals() {
            Outcome inLine = replay(EngineOverloadTest.this::inLine);
            Outcome plain = new EngineOverloadTest().plain();
            assertEquals(0, inLine.overtaken(), "served before one that came earlier");
            assertTrue(plain.overtaken() > 0, "the plain policy " + plain);
            assertTrue(inLine.refused() < plain.refused(), "in line " + inLine + ", " + plain);
            assertEquals(REPORTS, inLine.served() + inLine.refused());
        }
    }

    private Outcome plain() {
        return replay(this::withoutLine);
    }
}
