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

/** How long an engine may be silent, and what its own word changes. */
class SendSilenceTest {
    private static final long GOAL_MS = ForwardWorld.GOAL_MS;

    private final ForwardWorld world = new ForwardWorld().domain("a", 1);
    private final SilenceTimeouts bounds = SilenceTimeouts.create();

    private SilenceTimer send(boolean fromCopy) {
        Step.Send send =
                new Step.Send(
                        world.servers.get(0), Optional.empty(), fromCopy, OptionalLong.empty());
        LoadEntry.open(world.loads, send, ForwardWorld.PROMPT);
        RequestParameters plan = ForwardWorld.plan(Repeatability.RESUMABLE, 5);
        return SilenceTimer.of(send, plan, world.loads, bounds, 0);
    }

    private void learn(long ms, int times) {
        for (int i = 0; i < times; i++) {
            bounds.observeRead(8_200, ms);
        }
    }

    /** The prompt is being read. */
    @Nested
    class BeforeTheFirstEvent {
        @Test
        void isHalfTheGoalWhileTheSpeedIsUnknown() {
            assertEquals(GOAL_MS / 2, send(false).deadlineMs());
        }

        @Test
        void followsTheSpeedOfReading() {
            learn(1_000, 20);
            assertEquals(1_550, send(false).deadlineMs());
        }

        /**
         * After all routers had started again, reports went from engine to engine and none read
         * them: prompts that still lay in engines' memory had been read in no time, the bound
         * shrank to 580 ms, and a whole reading takes 1,030 ms.
         */
        @Test
        void isNotShortenedByPromptsThatLayInMemory() {
            learn(1_000, 5);
            learn(20, 30);
            assertTrue(send(false).deadlineMs() >= GOAL_MS / 4);
        }

        /**
         * A report began 4.5 s late: its engine's whole domain went dark as it read the prompt, and
         * the router waited for the reading although other streams had shown the loss.
         */
        @Test
        void isTooLongAtOnceIfItsServerIsPassedOver() {
            SilenceTimer silence = send(false);
            assertFalse(silence.needsAction(world.health, 400));
            world.health.recordFailure(world.servers.get(0), 390);
            assertTrue(silence.needsAction(world.health, 400));
            assertEquals(400 + SilenceTimer.LOOK_MS, silence.nextCheckMs(400));
        }

        @Test
        void provesNoLoss() {
            assertFalse(send(false).isLossCertain());
            assertTrue(send(true).isLossCertain());
        }
    }

    /** An engine ran a report, dropped it without a sign, and the caller waited 18 s for it. */
    @Nested
    class WordOfTheEngine {
        private final SilenceTimer silence = send(false);

        private boolean mayHold(int admitted, int waiting, String... running) {
            return silence.recordReport(
                    new EngineReport(Set.of(running), admitted, waiting, OptionalLong.empty()),
                    "r1",
                    2_300);
        }

        @Test
        void thatItIsIdleShowsTheLoss() {
            assertFalse(mayHold(0, 0));
            assertFalse(mayHold(2, 0, "r2", "r3"));
        }

        @Test
        void thatItReadsOrQueuesLeavesTheRequestThere() {
            assertTrue(mayHold(1, 0));
            assertTrue(mayHold(1, 1, "r2"));
            assertTrue(mayHold(1, 0, "r1"));
        }

        /** A prompt was taken from the engine that had begun to read it, by an older report. */
        @Test
        void saysNothingOfARequestThatWasJustSent() {
            EngineReport idle = new EngineReport(Set.of(), 0, 0, OptionalLong.empty());
            assertTrue(silence.recordReport(idle, "r1", 256));
            assertFalse(silence.recordReport(idle, "r1", SilenceTimer.REPORT_AGE_MS));
        }

        @Test
        void givesItTheSameTimeAgain() {
            long allowedMs = silence.deadlineMs();
            mayHold(1, 0);
            assertEquals(2_300 + allowedMs, silence.deadlineMs());
        }
    }

    /** The engine makes tokens. */
    @Nested
    class BetweenEvents {
        @Test
        void isHalfThePauseThatIsOnTime() {
            SilenceTimer silence = send(true);
            silence.recordEvent(100);
            assertEquals(100 + 350, silence.deadlineMs());
        }

        @Test
        void growsWithThePromptsInReading() {
            SilenceTimer silence = send(true);
            world.loads.recordSend(world.servers.get(0).incarnation(), ForwardWorld.PROMPT);
            silence.recordEvent(100);
            assertTrue(silence.deadlineMs() > 100 + 350);
            assertTrue(silence.deadlineMs() < 100 + 700);
        }
    }
}
