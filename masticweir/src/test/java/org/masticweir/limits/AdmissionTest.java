package org.masticweir.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.config.Reliability;
import org.masticweir.config.WorkClass;
import org.masticweir.error.ErrorCode;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.limits.AdmissionDecision.Admitted;
import org.masticweir.limits.AdmissionDecision.Queued;
import org.masticweir.limits.AdmissionDecision.Refused;

/** Tests which requests are admitted, in which order, and when requests are refused. */
class AdmissionTest {
    private static final ModelId MODEL = ModelId.of("report");
    private static final WorkClass LOOKUPS = workClass("lookups", 340, 3_000);
    private static final WorkClass REPORTS = workClass("reports", 4_000, 60_000);
    private static final int SLOTS = 20;
    private static final int HOLD_MS = 1_000;

    private int engineCount = 1;
    private int busySlots;
    private int recoveryCount;
    private final AdmissionController admission =
            AdmissionController.create(
                    (m, v, now) -> capacity(), t -> 1, m -> recoveryCount, new Random(3));

    private static WorkClass workClass(String id, int firstMs, int totalMs) {
        return new WorkClass(
                WorkClassId.of(id), firstMs, totalMs, Reliability.TOKENS, RecoveryPreset.PROMPT);
    }

    private static AdmissionRequest request(String id, String team, WorkClass c, long now) {
        return new AdmissionRequest(RequestId.of(id), TeamId.of(team), c, MODEL, "3", 10, 100, now);
    }

    private Capacity capacity() {
        return new Capacity(engineCount, SLOTS - busySlots, SLOTS, SLOTS, HOLD_MS, 10, 5);
    }

    private AdmissionDecision offer(String id, String team, WorkClass c, long now) {
        AdmissionDecision d = admission.offer(request(id, team, c, now), now);
        markSentIfAdmitted(d);
        return d;
    }

    private List<AdmissionDecision> tick(long now) {
        List<AdmissionDecision> decisions = admission.tick(now);
        decisions.forEach(this::markSentIfAdmitted);
        return decisions;
    }

    private void markSentIfAdmitted(AdmissionDecision d) {
        if (d instanceof Admitted) {
            busySlots++;
            admission.recordSend(d.request());
        }
    }

    /** Requests that can't be served in time. */
    @Nested
    class PredictedLate {
        @Test
        void isRefusedOnArrivalWithRetryAfter() {
            busySlots = SLOTS;
            for (int n = 0; n < 6; n++) {
                assertInstanceOf(Queued.class, offer("q" + n, "a", LOOKUPS, 0));
            }
            Refused r = assertInstanceOf(Refused.class, offer("late", "a", LOOKUPS, 0));
            assertEquals(ErrorCode.OVERLOADED, r.code());
            assertTrue(r.retryAfterMs() >= 100, r.toString());
        }

        @Test
        void isRefusedFromTheQueueBeforeItsTargetHasPassed() {
            busySlots = SLOTS;
            offer("q", "a", LOOKUPS, 0);
            assertEquals(List.of(), tick(100));
            Refused r = assertInstanceOf(Refused.class, tick(300).get(0));
            assertEquals("q", r.request().value());
            assertEquals(0, admission.status().queued());
        }

        @Test
        void withoutAnEngineIsRefusedAtOnce() {
            busySlots = SLOTS;
            offer("q", "a", REPORTS, 0);
            engineCount = 0;
            assertEquals(ErrorCode.NO_ENGINE, ((Refused) tick(1).get(0)).code());
            Refused r = assertInstanceOf(Refused.class, offer("n", "a", REPORTS, 1));
            assertEquals(ErrorCode.NO_ENGINE, r.code());
        }

        /*
         * Guards against retry waves after a short outage: hundreds of callers are refused within a
         * second, all with the same retry delay, retry together and are refused together again.
         */
        @Test
        void retriesAreSpreadByTheBacklog() {
            busySlots = SLOTS;
            long max = 0;
            int[] perSecond = new int[60];
            for (int n = 0; n < 200; n++) {
                if (offer("r" + n, "a", LOOKUPS, 0) instanceof Refused r) {
                    max = Math.max(max, r.retryAfterMs());
                    perSecond[(int) (r.retryAfterMs() / 1_000)]++;
                }
            }
            assertTrue(max > 8_000, "last retry after " + max + " ms");
            for (int n : perSecond) {
                assertTrue(n <= 2 * SLOTS, n + " retries in one second");
            }
        }
    }

    /** More requests than the engines can serve. */
    @Nested
    class Overload {
        /*
         * Guards against timeouts of lookups in overload. Reports arrive at twice the rate that the
         * engines can serve, occupy all slots, and lookups queue behind them. Without reserved
         * slots and refusals, every queue grows.
         */
        @Test
        void twiceTheLoadKeepsLookupsWithinTarget(TestReporter reporter) {
            Outcome fifo = new Simulation(true).run(20, 40);
            busySlots = 0;
            Outcome o = new Simulation(false).run(20, 40);
            reporter.publishEntry("overload", "in order of arrival " + fifo + ", admission " + o);
            assertTrue(fifo.lookupsInTime < 0.2 * fifo.lookups, fifo.toString());
            assertEquals(0, o.lookupsLate, o.toString());
            assertTrue(o.lookupsInTime >= 0.98 * o.lookups, o.toString());
            assertEquals(0, o.reportsLate, o.toString());
            assertTrue(o.reportsInTime >= 0.9 * o.slotsLeftForReports(), o.toString());
        }

        @Test
        void waitingRecoveriesGoFirst() {
            busySlots = SLOTS - 2;
            recoveryCount = 2;
            assertInstanceOf(Queued.class, offer("q", "a", REPORTS, 0));
            recoveryCount = 0;
            assertInstanceOf(Admitted.class, tick(1).get(0));
        }
    }

    /** Teams whose demand exceeds the capacity. */
    @Nested
    class Fairness {
        /*
         * Guards against errors for small teams while one large team submits the reports of a
         * month. With a single queue in order of arrival the burst fills the queue, and every later
         * request is predicted to be late.
         */
        @Test
        void aBurstOfOneTeamDoesNotDelayOthers() {
            busySlots = SLOTS;
            for (int n = 0; n < 300; n++) {
                offer("big" + n, "big", REPORTS, 0);
            }
            assertTrue(admission.status().queued() >= 50, "the burst is queued");
            Queued small = assertInstanceOf(Queued.class, offer("s", "small", REPORTS, 1));
            assertTrue(small.expectedWaitMs() <= 200, small.toString());
            busySlots -= 2;
            List<AdmissionDecision> next = tick(2);
            assertTrue(next.contains(new Admitted(RequestId.of("s"))), next.toString());
        }

        @Test
        void teamsShareByTokens() {
            busySlots = SLOTS;
            for (int n = 0; n < 30; n++) {
                offer("a" + n, "a", REPORTS, 0);
                offer("b" + n, "b", REPORTS, 0);
            }
            busySlots -= 10;
            long ofA = tick(1).stream().filter(d -> d.request().value().startsWith("a")).count();
            assertEquals(5, ofA);
        }
    }

    /** Results of one simulation. */
    private record Outcome(
            int lookups,
            int lookupsInTime,
            int lookupsLate,
            int reports,
            int reportsInTime,
            int reportsLate) {
        /** Returns how many reports the slots can finish at most, in addition to all lookups. */
        double slotsLeftForReports() {
            double slotMs = SLOTS * Simulation.END_MS - lookups * Simulation.LOOKUP_HOLD_MS;
            return slotMs / HOLD_MS;
        }
    }

    /** Offers requests at a steady rate and ends each one after its hold time. */
    private final class Simulation {
        private static final int END_MS = 20_000;
        private static final int TICK_MS = 5;
        private static final int LOOKUP_HOLD_MS = 100;
        private final Random random = new Random(11);
        private final Deque<String> fifo = new ArrayDeque<>();
        private final boolean isFifo;
        private final List<long[]> running = new ArrayList<>();
        private final List<long[]> offered = new ArrayList<>();
        private final int[] inTime = new int[2];
        private final int[] late = new int[2];
        private final int[] count = new int[2];

        Simulation(boolean isFifo) {
            this.isFifo = isFifo;
        }

        Outcome run(int lookupsPerS, int reportsPerS) {
            for (long now = 0; now < END_MS; now += TICK_MS) {
                end(now);
                long at = now;
                tick(now).forEach(d -> addDecision(d, at));
                while (busySlots < SLOTS && !fifo.isEmpty()) {
                    busySlots++;
                    addDecision(new Admitted(RequestId.of(fifo.poll())), now);
                }
                arrive(0, lookupsPerS, now);
                arrive(1, reportsPerS, now);
            }
            return new Outcome(count[0], inTime[0], late[0], count[1], inTime[1], late[1]);
        }

        private void arrive(int kind, int perS, long now) {
            if (random.nextDouble() < perS * TICK_MS / 1_000.0) {
                count[kind]++;
                int n = offered.size();
                offered.add(new long[] {kind, now});
                if (isFifo) {
                    fifo.add("n" + n);
                } else {
                    addDecision(
                            offer("n" + n, "t" + n % 5, kind == 0 ? LOOKUPS : REPORTS, now), now);
                }
            }
        }

        private void addDecision(AdmissionDecision d, long now) {
            if (d instanceof Admitted) {
                int n = Integer.parseInt(d.request().value().substring(1));
                int kind = (int) offered.get(n)[0];
                WorkClass c = kind == 0 ? LOOKUPS : REPORTS;
                boolean met = now + 6 - offered.get(n)[1] <= c.firstTokenMs();
                (met ? inTime : late)[kind]++;
                running.add(new long[] {n, now + (kind == 0 ? LOOKUP_HOLD_MS : HOLD_MS)});
            }
        }

        private void end(long now) {
            for (long[] r : running) {
                if (r[1] <= now) {
                    busySlots--;
                    admission.recordEnd(RequestId.of("n" + r[0]), now);
                }
            }
            running.removeIf(r -> r[1] <= now);
        }
    }
}
