package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Admission of new connections by a router whose processor can't serve all of them. */
class ConnectionAdmissionTest {
    private static final long INTERVAL_MS = ConnectionAdmission.MEASUREMENT_INTERVAL_MS;
    private static final double WAIT_MS = 1_000;

    /** A traffic thread that opens all waiting connections before it continues requests. */
    private static final class SimulatedThread {
        private static final double CLOSE_COST_MS = 0.1;

        private final ConnectionAdmission admission = new ConnectionAdmission(0);
        private final double costMs;
        private final boolean isLinked;
        private final Queue<Double> waiting = new ArrayDeque<>();
        private final List<Double> opened = new ArrayList<>();
        private double nowMs;
        private double nextArrivalMs;
        private long measurementDueMs = INTERVAL_MS;
        private int readCount;
        private int servedCount;
        private int closedCount;
        private int limitChanges;
        private boolean wasLimited;

        /**
         * Creates a thread.
         *
         * @param costMs processor time of one request; half of it is spent when its connection is
         *     opened
         */
        SimulatedThread(double costMs, boolean isLinked) {
            this.costMs = costMs;
            this.isLinked = isLinked;
        }

        void run(double untilMs, double arrivalsPerSecond) {
            nextArrivalMs = Math.max(nextArrivalMs, nowMs);
            while (nowMs < untilMs) {
                arrive(arrivalsPerSecond);
                measure();
                openWaiting(arrivalsPerSecond);
                continueOpened();
                if (waiting.isEmpty() && opened.isEmpty()) {
                    nowMs = Math.min(Math.max(nowMs, nextArrivalMs), measurementDueMs);
                }
            }
        }

        private void arrive(double arrivalsPerSecond) {
            while (nextArrivalMs <= nowMs) {
                waiting.add(nextArrivalMs);
                nextArrivalMs += 1_000 / arrivalsPerSecond;
            }
        }

        private void measure() {
            long now = (long) nowMs;
            if (now >= measurementDueMs) {
                long dueMs = measurementDueMs;
                measurementDueMs = now + INTERVAL_MS;
                admission.recordMeasurement(now - dueMs, measurementDueMs, now);
            }
            if (admission.isLimited() != wasLimited) {
                wasLimited = !wasLimited;
                limitChanges++;
            }
        }

        private void openWaiting(double arrivalsPerSecond) {
            int count = waiting.size();
            for (int i = 0; i < count; i++) {
                double arrivedMs = waiting.remove();
                if (!admission.admits(isLinked, (long) nowMs)) {
                    closedCount++;
                    nowMs += CLOSE_COST_MS;
                } else if (nowMs - arrivedMs < WAIT_MS) {
                    readCount++;
                    opened.add(arrivedMs);
                    nowMs += costMs / 2;
                }
            }
            arrive(arrivalsPerSecond);
        }

        private void continueOpened() {
            for (double arrivedMs : opened) {
                nowMs += costMs / 2;
                admission.recordServed();
                servedCount += nowMs - arrivedMs < WAIT_MS ? 1 : 0;
            }
            opened.clear();
        }

        void resetCounts() {
            readCount = 0;
            servedCount = 0;
            closedCount = 0;
        }

        void pause(double ms) {
            nowMs += ms;
        }

        String counts() {
            return readCount + " read, " + servedCount + " served, " + closedCount + " closed";
        }
    }

    /** A herd that begins at a router in its usual work and ends again. */
    @Nested
    class Herd {
        /**
         * Guards against a router that reads what it can't serve, and one that serves hardly any.
         */
        @Test
        void servesWhatItReadsAndUsesItsProcessor() {
            for (double costMs : new double[] {2, 6, 12, 20}) {
                for (double factor : new double[] {1.5, 3, 8}) {
                    SimulatedThread thread = new SimulatedThread(costMs, true);
                    double capacity = 1_000 / costMs;
                    thread.run(10_000, capacity / 5);
                    assertEquals(0, thread.closedCount);
                    thread.run(13_000, capacity * factor);
                    thread.resetCounts();
                    thread.run(18_000, capacity * factor);
                    String seen = costMs + " ms, load " + factor + ": " + thread.counts();
                    assertTrue(thread.servedCount >= 0.95 * thread.readCount, seen);
                    double leftMs = 5_000 - thread.closedCount * SimulatedThread.CLOSE_COST_MS;
                    assertTrue(thread.servedCount >= 0.6 * leftMs / costMs, seen);
                    assertEquals(1, thread.limitChanges, seen);
                }
            }
        }

        /**
         * Guards against a limit that stays after the herd, and one that changes back and forth.
         */
        @Test
        void endsTheLimitOnceAfterTheHerd() {
            SimulatedThread thread = new SimulatedThread(10, true);
            thread.run(10_000, 20);
            thread.run(16_000, 300);
            thread.run(22_000, 20);
            assertEquals(2, thread.limitChanges);
            thread.resetCounts();
            thread.run(40_000, 20);
            assertEquals(0, thread.closedCount);
            assertEquals(2, thread.limitChanges);
        }
    }

    /** Conditions under which every connection is accepted. */
    @Nested
    class NoLimit {
        /** Guards against callers that are turned away by the only router that they reach. */
        @Test
        void acceptsAllWhileNoOtherRouterIsLinked() {
            SimulatedThread thread = new SimulatedThread(10, false);
            thread.run(10_000, 300);
            assertEquals(0, thread.closedCount);
        }

        /** Guards against a limit after one pause of the process. */
        @Test
        void acceptsAllAfterAPause() {
            SimulatedThread thread = new SimulatedThread(2, true);
            thread.run(10_000, 50);
            thread.pause(2_000);
            thread.run(20_000, 50);
            assertEquals(0, thread.closedCount);
        }

        /** Guards against refusals while all routers start at once. */
        @Test
        void acceptsAllDuringTheStart() {
            SimulatedThread thread = new SimulatedThread(10, true);
            thread.run(ConnectionAdmission.STARTUP_MS - 500, 150);
            assertEquals(0, thread.closedCount);
        }
    }

    /** Connections that stay open over several requests. */
    @Nested
    class KeptConnections {
        private final ConnectionAdmission admission = new ConnectionAdmission(0);

        private void measureLate(int count) {
            long now = ConnectionAdmission.STARTUP_MS;
            for (int i = 0; i < count; i++) {
                now += 400;
                admission.recordMeasurement(350, now + INTERVAL_MS, now);
            }
        }

        /** Guards against a router that is kept late by requests on connections that stay open. */
        @Test
        void closesEverySecondOneAfterItsAnswerWhileLate() {
            measureLate(ConnectionAdmission.LIMIT_AFTER_MEASUREMENTS);
            assertTrue(admission.isLimited());
            assertFalse(admission.closesAfterAnswer(true));
            assertTrue(admission.closesAfterAnswer(true));
            assertFalse(admission.closesAfterAnswer(false));
        }

        @Test
        void closesNoneWithoutALimit() {
            measureLate(1);
            for (int i = 0; i < 10; i++) {
                assertFalse(admission.closesAfterAnswer(true));
            }
        }
    }
}
