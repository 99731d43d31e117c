package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.Repeatability;

/** Tests the timeouts of silent engines and the effect of their reports. */
class SilenceTimerTest {
    private static final long GOAL_MS = ForwardFixture.GOAL_MS;

    private final ForwardFixture fixture = new ForwardFixture().domain("a", 1);
    private final SilenceTimeouts timeouts = SilenceTimeouts.create();

    private SilenceTimer timerOfSend(boolean fromCopy) {
        Step.Send send =
                new Step.Send(
                        fixture.servers.get(0), Optional.empty(), fromCopy, OptionalLong.empty());
        LoadEntry.open(fixture.loads, send, ForwardFixture.PROMPT);
        RequestParameters parameters = ForwardFixture.parameters(Repeatability.RESUMABLE, 5);
        return SilenceTimer.of(send, parameters, fixture.loads, timeouts, 0);
    }

    private void recordPrefills(long ms, int times) {
        for (int i = 0; i < times; i++) {
            timeouts.recordPrefill(8_200, ms);
        }
    }

    /** The engine runs the prefill. */
    @Nested
    class BeforeFirstEvent {
        @Test
        void timeoutIsHalfOfGoalIfPrefillSpeedIsUnknown() {
            assertEquals(GOAL_MS / 2, timerOfSend(false).deadlineMs());
        }

        @Test
        void timeoutFollowsPrefillSpeed() {
            recordPrefills(1_000, 20);
            assertEquals(1_550, timerOfSend(false).deadlineMs());
        }

        /**
         * Cached prompts must not shorten the timeout. After a restart of all routers, prompts that
         * are still cached in the engines need no prefill, and would shrink the timeout to 580 ms,
         * while a whole prefill takes 1,030 ms. Reports would then move from engine to engine, and
         * none would complete its prefill.
         */
        @Test
        void timeoutIsNotShortenedByCachedPrompts() {
            recordPrefills(1_000, 5);
            recordPrefills(20, 30);
            assertTrue(timerOfSend(false).deadlineMs() >= GOAL_MS / 4);
        }

        /**
         * A report must not start 4.5 s late because its router waits for the prefill of an engine
         * whose whole domain stopped responding, although timeouts of other streams had revealed
         * the loss.
         */
        @Test
        void needsActionAtOnceIfServerIsDown() {
            SilenceTimer silence = timerOfSend(false);
            assertFalse(silence.needsAction(fixture.health, 400));
            fixture.health.recordFailure(fixture.servers.get(0), 390);
            assertTrue(silence.needsAction(fixture.health, 400));
            assertEquals(400 + SilenceTimer.CHECK_INTERVAL_MS, silence.nextCheckMs(400));
        }

        @Test
        void lossIsNotCertain() {
            assertFalse(timerOfSend(false).isEventDue());
            assertTrue(timerOfSend(true).isEventDue());
        }
    }

    /** A send that is kept although its server is silent. */
    @Nested
    class KeptSend {
        private final SilenceTimer timer = timerOfSend(false);

        private boolean isThere(long nowMs, String... running) {
            return timer.recordReport(
                    new EngineReport(Set.of(running), running.length, 0, OptionalLong.empty()),
                    "r1",
                    nowMs);
        }

        /** A check in each turn of the thread would stop the router. */
        @Test
        void isCheckedAgainAfterAnInterval() {
            timer.recordEvent(1_000);
            timer.keep(2_000);
            assertTrue(timer.isKept());
            assertFalse(timer.needsAction(fixture.health, 2_001));
            long dueMs = timer.nextCheckMs(2_001);
            assertEquals(2_000 + SilenceTimer.KEPT_CHECK_INTERVAL_MS, dueMs);
            assertTrue(timer.needsAction(fixture.health, dueMs));
        }

        @Test
        void isNoLongerSilentAfterAnEvent() {
            timer.recordEvent(1_000);
            timer.keep(2_000);
            timer.recordEvent(2_010);
            assertFalse(timer.isKept());
            assertFalse(timer.needsAction(fixture.health, 2_060));
        }

        /** An answer whose last events are under way must not be given up. */
        @Test
        void isMissingOnlyIfSeveralReportsLackIt() {
            timer.recordEvent(1_000);
            timer.keep(2_000);
            assertTrue(isThere(2_100));
            assertTrue(isThere(2_600, "r1"));
            assertTrue(isThere(3_100));
            assertFalse(isThere(3_600));
        }
    }

    /**
     * An engine may drop a request without an error. Without the engine's report, the caller waits
     * 18 s.
     */
    @Nested
    class EngineReports {
        private final SilenceTimer timer = timerOfSend(false);

        private boolean mayHaveRequest(int admitted, int waiting, String... running) {
            return timer.recordReport(
                    new EngineReport(Set.of(running), admitted, waiting, OptionalLong.empty()),
                    "r1",
                    2_300);
        }

        @Test
        void showsLossIfEngineIsIdle() {
            assertFalse(mayHaveRequest(0, 0));
            assertFalse(mayHaveRequest(2, 0, "r2", "r3"));
        }

        @Test
        void leavesRequestIfEngineIsBusy() {
            assertTrue(mayHaveRequest(1, 0));
            assertTrue(mayHaveRequest(1, 1, "r2"));
            assertTrue(mayHaveRequest(1, 0, "r1"));
        }

        /**
         * A report that is older than the send must not move a request away from an engine that has
         * started the prefill.
         */
        @Test
        void isIgnoredIfRequestWasJustSent() {
            EngineReport idle = new EngineReport(Set.of(), 0, 0, OptionalLong.empty());
            assertTrue(timer.recordReport(idle, "r1", 256));
            assertFalse(timer.recordReport(idle, "r1", SilenceTimer.MAX_REPORT_AGE_MS));
        }

        @Test
        void restartsTimer() {
            long allowedMs = timer.deadlineMs();
            mayHaveRequest(1, 0);
            assertEquals(2_300 + allowedMs, timer.deadlineMs());
        }
    }

    /** The engine generates tokens. */
    @Nested
    class BetweenEvents {
        @Test
        void timeoutIsHalfOfGapGoal() {
            SilenceTimer silence = timerOfSend(true);
            silence.recordEvent(100);
            assertEquals(100 + 350, silence.deadlineMs());
        }

        @Test
        void timeoutGrowsWithPrefills() {
            SilenceTimer silence = timerOfSend(true);
            fixture.loads.recordSend(fixture.servers.get(0).incarnation(), ForwardFixture.PROMPT);
            silence.recordEvent(100);
            assertTrue(silence.deadlineMs() > 100 + 350);
            assertTrue(silence.deadlineMs() < 100 + 700);
        }
    }
}
