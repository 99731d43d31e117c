package org.masticweir.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.primitives.ImmutableIntArray;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;

/** What is no silence of an engine: stalls of the router, and probes that say nothing. */
class FalseSilenceTest {
    private static final long BOUND_MS = 100;
    private static final int MAX_ATTEMPTS = 3;
    private static final EngineId E1 = EngineId.of("e1");
    private static final GenerationId GENERATION = GenerationId.of(RequestId.of("r"), 1);
    private static final RecoveryPlan PLAN =
            new RecoveryPlan(
                    GENERATION, true, false, RecoveryPreset.PROMPT, 60_000, MAX_ATTEMPTS, 1_000);

    private RecoveryMachine machine = RecoveryMachine.of(PLAN, (e, first) -> BOUND_MS);
    private long nowMs;

    private static AttemptId attempt(int number) {
        return AttemptId.of(GENERATION, number);
    }

    private List<RecoveryAction> on(RecoveryEvent event) {
        return machine.on(event, nowMs);
    }

    private List<RecoveryAction> receive(int attempt, int index, int... tokens) {
        ImmutableIntArray ids = ImmutableIntArray.copyOf(tokens);
        Frame frame = new Frame.Tokens(attempt(attempt), index, ids);
        return on(new RecoveryEvent.Received(attempt(attempt), frame));
    }

    private void streamTwoTokens() {
        Frame start = new Frame.Start(attempt(1), 0);
        on(new RecoveryEvent.Received(attempt(1), start));
        receive(1, 0, 11, 12);
    }

    private List<RecoveryAction> tickAt(long atMs) {
        nowMs = atMs;
        return on(new RecoveryEvent.Tick());
    }

    private static void assertHas(RecoveryAction wanted, List<RecoveryAction> actions) {
        assertTrue(actions.contains(wanted), wanted + " not in " + actions);
    }

    private static void assertHasNo(
            Class<? extends RecoveryAction> type, List<RecoveryAction> actions) {
        assertFalse(actions.stream().anyMatch(type::isInstance), actions.toString());
    }

    @BeforeEach
    void sendToOneEngine() {
        machine.start(nowMs);
        on(new RecoveryEvent.EngineChosen(E1));
    }

    /** The router's thread wakes late. */
    @Nested
    class LateRouter {
        /**
         * Callers see their streams move though no engine failed. The router's thread stalls, and
         * on waking runs its timers before it reads the engine's frames, which lie there.
         */
        @Test
        void stalledRouterReadsBeforeItProbes() {
            streamTwoTokens();
            List<RecoveryAction> late = tickAt(BOUND_MS + SilenceWatch.LATE_MS);
            assertHasNo(RecoveryAction.Probe.class, late);
            long againMs = nowMs + SilenceWatch.LISTEN_AGAIN_MS;
            assertHas(new RecoveryAction.WakeAt(againMs), late);
            receive(1, 2, 7);
            assertHasNo(RecoveryAction.Probe.class, tickAt(againMs));
        }

        /** An engine dies under a router that is always late: it is found all the same. */
        @Test
        void routerThatIsAlwaysLateProbesInTheEnd() {
            streamTwoTokens();
            tickAt(BOUND_MS + SilenceWatch.LATE_MS);
            assertHas(
                    new RecoveryAction.Probe(attempt(1), E1),
                    tickAt(nowMs + SilenceWatch.LISTEN_AGAIN_MS + SilenceWatch.LATE_MS));
        }
    }

    /** A probe is out, or was to be. */
    @Nested
    class Probes {
        /** Tokens arrive while the probe is out, and its answer tells of still later ones. */
        @Test
        void engineWhoseTokensCameMeanwhileIsNotReadAgain() {
            streamTwoTokens();
            tickAt(BOUND_MS);
            receive(1, 2, 7);
            assertHasNo(
                    RecoveryAction.Reread.class,
                    on(new RecoveryEvent.ProbeAnswered(attempt(1), 5)));
        }

        /**
         * Callers see their streams move though no engine failed. A router stalls with a hundred
         * streams on one engine, probes for each, and has connections for sixty-four probes only.
         */
        @Test
        void probeThatNeverLeftIsNoFailedOne() {
            streamTwoTokens();
            tickAt(2 * BOUND_MS);
            for (int i = 0; i < MAX_ATTEMPTS; i++) {
                nowMs += SilenceWatch.LISTEN_AGAIN_MS;
                on(new RecoveryEvent.Tick());
                assertHas(
                        new RecoveryAction.WakeAt(nowMs + RecoveryMachine.PROBE_AGAIN_MS),
                        on(new RecoveryEvent.ProbeWithheld(attempt(1))));
            }
            assertHas(
                    new RecoveryAction.Probe(attempt(1), E1),
                    tickAt(nowMs + RecoveryMachine.PROBE_AGAIN_MS));
        }

        /** Guards against a second computation after a probe that the attempt overtook. */
        @Test
        void probeAnsweredBeforeTheAttemptArrivedIsNoLossOnceItHasBegun() {
            assertHas(new RecoveryAction.Probe(attempt(1), E1), tickAt(BOUND_MS));
            streamTwoTokens();
            assertHasNo(
                    RecoveryAction.Abandon.class, on(new RecoveryEvent.ProbeUnknown(attempt(1))));
            assertHasNo(RecoveryAction.Abandon.class, receive(1, 2, 7));
            assertEquals(3, machine.accepted());
        }

        /** Guards against an engine that started again being followed for ever. */
        @Test
        void engineThatDoesNotKnowWhatItBeganIsLeftOnceItIsSilent() {
            streamTwoTokens();
            assertHas(new RecoveryAction.Probe(attempt(1), E1), tickAt(BOUND_MS));
            assertHas(
                    new RecoveryAction.Abandon(attempt(1), E1),
                    on(new RecoveryEvent.ProbeUnknown(attempt(1))));
        }

        /**
         * A request is computed twice, or a letter ends in doubt, though no engine failed. A
         * thousand requests come at once, and an engine answers a probe before it has read the
         * attempt, so that it does not know the generation yet.
         */
        @Test
        void probeThatOvertakesItsAttemptIsNoLoss() {
            for (int i = 1; i <= SilenceWatch.PROBES_AHEAD; i++) {
                assertHas(new RecoveryAction.Probe(attempt(1), E1), tickAt(i * BOUND_MS));
                assertHasNo(
                        RecoveryAction.Abandon.class,
                        on(new RecoveryEvent.ProbeUnknown(attempt(1))));
            }
            streamTwoTokens();
            assertEquals(2, machine.accepted());
        }

        /** The engine answers all the while, but the attempt was swallowed on its way. */
        @Test
        void attemptThatNeverArrivesGoesElsewhere() {
            for (int i = 1; i <= SilenceWatch.PROBES_AHEAD; i++) {
                tickAt(i * BOUND_MS);
                on(new RecoveryEvent.ProbeUnknown(attempt(1)));
            }
            tickAt((SilenceWatch.PROBES_AHEAD + 1) * BOUND_MS);
            assertHas(
                    new RecoveryAction.ChooseEngine(Set.of(E1), true),
                    on(new RecoveryEvent.ProbeUnknown(attempt(1))));
        }

        /**
         * A letter ends in doubt though its engine computes it: one of hundreds that come at once,
         * it is read a second after the probes of it were answered.
         */
        @Test
        void letterIsFollowedThoughSeveralProbesOvertakeIt() {
            sendLetter();
            while (nowMs + BOUND_MS < SilenceWatch.NON_IDEMPOTENT_PATIENCE_MS) {
                assertHas(new RecoveryAction.Probe(attempt(1), E1), tickAt(nowMs + BOUND_MS));
                assertHasNo(
                        RecoveryAction.Fail.class, on(new RecoveryEvent.ProbeUnknown(attempt(1))));
            }
            streamTwoTokens();
            assertEquals(2, machine.accepted());
        }

        /** The letter was swallowed on its way: its caller hears of it within a bound. */
        @Test
        void letterThatNeverArrivesFailsOnceThePatienceIsOver() {
            sendLetter();
            while (!machine.done()) {
                tickAt(nowMs + BOUND_MS);
                on(new RecoveryEvent.ProbeUnknown(attempt(1)));
            }
            assertEquals(SilenceWatch.NON_IDEMPOTENT_PATIENCE_MS, nowMs);
        }

        private void sendLetter() {
            RecoveryPlan letter =
                    new RecoveryPlan(
                            GENERATION,
                            false,
                            false,
                            RecoveryPreset.PROMPT,
                            60_000,
                            MAX_ATTEMPTS,
                            1_000);
            machine = RecoveryMachine.of(letter, (e, first) -> BOUND_MS);
            sendToOneEngine();
        }

        /** An engine that came back without its generations is left at once. */
        @Test
        void engineThatForgotARunningGenerationIsLeft() {
            streamTwoTokens();
            tickAt(BOUND_MS);
            assertHas(
                    new RecoveryAction.Abandon(attempt(1), E1),
                    on(new RecoveryEvent.ProbeUnknown(attempt(1))));
        }
    }
}
