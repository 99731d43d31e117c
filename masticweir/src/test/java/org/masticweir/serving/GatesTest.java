package org.masticweir.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.config.Reliability;
import org.masticweir.config.WorkClass;
import org.masticweir.error.ErrorCode;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.limits.AdmissionController;
import org.masticweir.limits.AdmissionDecision;
import org.masticweir.limits.AdmissionDecision.Admitted;
import org.masticweir.limits.AdmissionDecision.Refused;
import org.masticweir.limits.AdmissionRequest;
import org.masticweir.limits.Capacity;
import org.masticweir.limits.CapacitySource;
import org.masticweir.limits.RecoveryAdmissionController;
import org.masticweir.limits.RecoveryRequest;
import org.masticweir.time.ManualClock;

/** Tests how requests wait at the gates, without an I/O thread and not past their time. */
final class GatesTest {
    private static final ModelId MODEL = ModelId.of("report");
    private static final WorkClass REPORTS = workClass("reports", 2_000);
    private static final WorkClass LOOKUPS = workClass("lookups", 200);

    private final ManualClock clock = ManualClock.startingAt(1_000);
    private final AtomicInteger ticksAsked = new AtomicInteger();
    private final Deque<Runnable> ioThread = new ArrayDeque<>();
    private final List<AdmissionDecision> decided = new ArrayList<>();
    private double freePlaces = 1;

    private final CapacitySource capacity =
            (model, version, nowMs) -> new Capacity(1, freePlaces, 1, 4, 1_000, 10, 20);

    private static WorkClass workClass(String id, int firstTokenMs) {
        return new WorkClass(
                WorkClassId.of(id),
                firstTokenMs,
                10_000,
                Reliability.BEST_EFFORT,
                RecoveryPreset.PROMPT);
    }

    private void runIo() {
        while (!ioThread.isEmpty()) {
            ioThread.removeFirst().run();
        }
    }

    /** New work. */
    @Nested
    final class NewRequests {
        private final AdmissionGate gate =
                AdmissionGate.create(
                        AdmissionController.create(
                                capacity, team -> 1, model -> 0, new SplittableRandom(1)),
                        clock,
                        ticksAsked::incrementAndGet);

        private void offer(String id, WorkClass workClass) {
            AdmissionRequest work =
                    new AdmissionRequest(
                            RequestId.of(id),
                            TeamId.of("advisers"),
                            workClass,
                            MODEL,
                            "3",
                            10,
                            5,
                            clock.nowMs());
            gate.offer(work, ioThread::addLast, decided::add);
        }

        @Test
        void withRoomTheCallerIsAnsweredWithoutAHandOver() {
            offer("r1", REPORTS);
            assertInstanceOf(Admitted.class, decided.get(0));
            assertTrue(ioThread.isEmpty());
            assertEquals(0, ticksAsked.get());
        }

        // All engines are full. A report can wait its turn and goes on when another has ended; a
        // lookup that would come too late is told so at once, with when to come back.
        @Test
        void withoutRoomARequestWaitsOrIsRefusedAtOnce() {
            offer("r1", REPORTS);
            freePlaces = 0;
            gate.sent(RequestId.of("r1"));
            offer("r2", REPORTS);
            assertEquals(1, decided.size());
            assertEquals(1, ticksAsked.get());
            offer("r3", LOOKUPS);
            Refused refused = assertInstanceOf(Refused.class, decided.get(1));
            assertEquals(ErrorCode.OVERLOADED, refused.code());
            assertTrue(refused.retryAfterMs() > 0);
            gate.finished(RequestId.of("r1"));
            freePlaces = 1;
            gate.tick();
            assertEquals(2, decided.size());
            runIo();
            assertEquals(new Admitted(RequestId.of("r2")), decided.get(2));
            assertFalse(gate.anyWaiting());
        }

        // Engines stay full. A request must not stand in the queue past the time in which its first
        // token is due: it is refused while its caller can still go elsewhere.
        @Test
        void nothingWaitsPastItsTime() {
            freePlaces = 0;
            offer("r1", REPORTS);
            clock.advanceMs(1_900);
            gate.tick();
            runIo();
            assertInstanceOf(Refused.class, decided.get(0));
        }

        // A caller leaves while its request waits. Its place must go to the next, and no decision
        // may reach the request any more.
        @Test
        void aRequestThatEndedWhileItWaitedIsForgotten() {
            freePlaces = 0;
            offer("r1", REPORTS);
            gate.finished(RequestId.of("r1"));
            freePlaces = 1;
            gate.tick();
            runIo();
            assertTrue(decided.isEmpty());
            offer("r1", REPORTS);
            assertInstanceOf(Admitted.class, decided.get(0));
        }
    }

    /** Recoveries. */
    @Nested
    final class Recoveries {
        private final RecoveryGate gate =
                RecoveryGate.create(
                        RecoveryAdmissionController.create(capacity),
                        clock,
                        ticksAsked::incrementAndGet);

        private RecoveryTurn turn() {
            return new RecoveryTurn(gate, ioThread::addLast, ticksAsked::decrementAndGet);
        }

        private RecoveryRequest recovery(int number) {
            GenerationId generation = GenerationId.of(RequestId.of("r1"), number);
            return new RecoveryRequest(generation, REPORTS, MODEL, "3", 100, 11_000);
        }

        // A rack dies and its generations all look for a place. Two may prefill at once; the third
        // starts when one of them has its first token, and is told on its own thread.
        @Test
        void theThirdStartsWhenOneHasResumed() {
            RecoveryTurn first = turn();
            RecoveryTurn third = turn();
            assertTrue(first.take(recovery(1)));
            assertTrue(turn().take(recovery(2)));
            assertFalse(third.take(recovery(3)));
            assertFalse(third.take(recovery(3)));
            assertEquals(1, ticksAsked.get());
            first.resumed();
            gate.tick();
            runIo();
            assertEquals(0, ticksAsked.get());
            assertTrue(third.take(recovery(3)));
            assertFalse(gate.anyWaiting());
        }

        // A caller leaves while its recovery waits: nothing of it may stay at the gate.
        @Test
        void aRecoveryThatEndedLeavesItsPlace() {
            RecoveryTurn first = turn();
            assertTrue(first.take(recovery(1)));
            assertTrue(turn().take(recovery(2)));
            RecoveryTurn third = turn();
            assertFalse(third.take(recovery(3)));
            third.ended();
            first.ended();
            gate.tick();
            assertTrue(ioThread.isEmpty());
            assertTrue(turn().take(recovery(4)));
        }
    }
}
