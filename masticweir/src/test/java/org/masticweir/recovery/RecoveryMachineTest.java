package org.masticweir.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.primitives.ImmutableIntArray;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;

/** What becomes of one request when its engine or the link to it fails. */
class RecoveryMachineTest {
    private static final long BOUND_MS = 100;
    private static final long DEADLINE_MS = 60_000;
    private static final long WAIT_MS = 1_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final EngineId E1 = EngineId.of("e1");
    private static final EngineId E2 = EngineId.of("e2");
    private static final GenerationId GENERATION = GenerationId.of(RequestId.of("r"), 1);

    private long nowMs;
    private RecoveryMachine machine = RecoveryMachine.of(plan(true, false), (e, first) -> BOUND_MS);

    private static RecoveryPlan plan(boolean idempotent, boolean allowReset) {
        return new RecoveryPlan(
                GENERATION,
                idempotent,
                allowReset,
                RecoveryPreset.PROMPT,
                DEADLINE_MS,
                MAX_ATTEMPTS,
                WAIT_MS);
    }

    private static AttemptId attempt(int number) {
        return AttemptId.of(GENERATION, number);
    }

    private void beNonIdempotent() {
        machine = RecoveryMachine.of(plan(false, false), (e, first) -> BOUND_MS);
    }

    /** Takes over after attempt 4 on the first engine, with two tokens in the copy. */
    private List<RecoveryAction> takeOver(boolean whole) {
        RecoveryPlan plan = plan(true, true);
        machine = RecoveryMachine.takenOver(plan, (e, first) -> BOUND_MS, attempt(4), E1, 2, whole);
        return machine.start(nowMs);
    }

    private List<RecoveryAction> on(RecoveryEvent event) {
        return machine.on(event, nowMs);
    }

    private List<RecoveryAction> receive(Frame frame) {
        return on(new RecoveryEvent.Received(frame.attempt(), frame));
    }

    private List<RecoveryAction> receive(int attempt, int index, int... tokens) {
        ImmutableIntArray ids = ImmutableIntArray.copyOf(tokens);
        return receive(new Frame.Tokens(attempt(attempt), index, ids));
    }

    private List<RecoveryAction> sendTo(EngineId engine) {
        return on(new RecoveryEvent.EngineChosen(engine));
    }

    /** Brings the first attempt on the first engine to two tokens. */
    private void streamTwoTokens() {
        machine.start(nowMs);
        sendTo(E1);
        receive(new Frame.Start(attempt(1), 0));
        receive(1, 0, 11, 12);
    }

    private List<RecoveryAction> lose(int attempt) {
        return on(new RecoveryEvent.LinkLost(attempt(attempt), true));
    }

    private List<RecoveryAction> tickAt(long atMs) {
        nowMs = atMs;
        return on(new RecoveryEvent.Tick());
    }

    private static MasticweirException errorIn(List<RecoveryAction> actions) {
        return actions.stream()
                .filter(RecoveryAction.Fail.class::isInstance)
                .map(a -> ((RecoveryAction.Fail) a).error())
                .findFirst()
                .orElseThrow(() -> new AssertionError("no error in " + actions));
    }

    private static void assertHas(RecoveryAction wanted, List<RecoveryAction> actions) {
        assertTrue(actions.contains(wanted), () -> wanted + " not in " + actions);
    }

    private static void assertHasNo(Class<?> type, List<RecoveryAction> actions) {
        assertTrue(actions.stream().noneMatch(type::isInstance), actions.toString());
    }

    /** The way an answer takes without and with a lost engine. */
    @Nested
    class Answer {
        @Test
        void tokensAreReleasedUpToTheEnd() {
            machine.start(nowMs);
            assertHas(new RecoveryAction.Send(attempt(1), E1, 0), sendTo(E1));
            receive(new Frame.Start(attempt(1), 0));
            assertHas(
                    new RecoveryAction.Release(0, ImmutableIntArray.of(11, 12)),
                    receive(1, 0, 11, 12));
            assertEquals(
                    List.of(new RecoveryAction.Finish(2)), receive(new Frame.End(attempt(1), 2)));
            assertTrue(machine.done());
        }

        /**
         * The caller sees a short pause and no token twice. The link to the engine breaks while the
         * engine lives, and its stream is read again from the next token.
         */
        @Test
        void brokenStreamIsReadAgainFromItsEngine() {
            streamTwoTokens();
            assertHas(new RecoveryAction.Reread(attempt(2), E1, 2), lose(1));
        }

        /** The engine is gone with its stream: another one goes on after the tokens accepted. */
        @Test
        void lostEngineIsReplacedWithThePrefix() {
            streamTwoTokens();
            lose(1);
            assertHas(new RecoveryAction.ChooseEngine(Set.of(E1), true), lose(2));
            assertHas(new RecoveryAction.Send(attempt(3), E2, 2), sendTo(E2));
        }

        /**
         * The caller would read tokens twice. An engine that was paused wakes after another took
         * its generation, and sends on; its attempt is superseded.
         */
        @Test
        void supersededEngineThatWakesReachesNobody() {
            streamTwoTokens();
            lose(1);
            lose(2);
            sendTo(E2);
            receive(new Frame.Start(attempt(3), 2));
            assertEquals(List.of(), receive(1, 2, 91, 92));
            assertHas(new RecoveryAction.Release(2, ImmutableIntArray.of(13)), receive(3, 2, 13));
        }

        /** An engine resumes at a wrong index: its attempt is void, and another one is asked. */
        @Test
        void wrongEchoMovesTheGeneration() {
            streamTwoTokens();
            lose(1);
            assertHas(
                    new RecoveryAction.Abandon(attempt(2), E1),
                    receive(new Frame.Start(attempt(2), 1)));
        }
    }

    /** Engines that fall silent with their links open. */
    @Nested
    class Silence {
        @Test
        void silentEngineIsProbedAndLeftWhenItDoesNotAnswer() {
            streamTwoTokens();
            assertHas(new RecoveryAction.Probe(attempt(1), E1), tickAt(BOUND_MS));
            nowMs = 2 * BOUND_MS;
            assertHas(
                    new RecoveryAction.ChooseEngine(Set.of(E1), true),
                    on(new RecoveryEvent.ProbeFailed(attempt(1))));
        }

        /** The engine computes on but its frames don't arrive: the link is cut one way. */
        @Test
        void engineThatIsAheadOfItsFramesIsReadAgain() {
            streamTwoTokens();
            tickAt(BOUND_MS);
            assertHas(
                    new RecoveryAction.Reread(attempt(2), E1, 2),
                    on(new RecoveryEvent.ProbeAnswered(attempt(1), 5)));
        }

        @Test
        void stuckEngineIsLeftAfterManyAnsweredProbes() {
            streamTwoTokens();
            for (int i = 1; i < SilenceWatch.STUCK_PROBES; i++) {
                tickAt(i * BOUND_MS);
                on(new RecoveryEvent.ProbeAnswered(attempt(1), 2));
            }
            tickAt(SilenceWatch.STUCK_PROBES * BOUND_MS);
            assertHas(
                    new RecoveryAction.Abandon(attempt(1), E1),
                    on(new RecoveryEvent.ProbeAnswered(attempt(1), 2)));
        }

        /**
         * A caller would wait for ever, past the class's total time. A probe takes longer than the
         * bound, the wake-up of that time finds it still out, and then its answer never comes.
         */
        @Test
        void probeWithoutAnswerDoesNotOutlastTheDeadline() {
            streamTwoTokens();
            tickAt(BOUND_MS);
            assertHas(new RecoveryAction.WakeAt(3 * BOUND_MS), tickAt(2 * BOUND_MS));
            MasticweirException error = errorIn(tickAt(DEADLINE_MS));
            assertEquals(ErrorCode.DEADLINE_EXCEEDED, error.code());
        }
    }

    /** What the caller is told when the request is given up. */
    @Nested
    class Verdicts {
        @Test
        void refusedEverywhereIsNotRun() {
            machine.start(nowMs);
            sendTo(E1);
            on(new RecoveryEvent.Refused(attempt(1), 500));
            MasticweirException error = errorIn(on(new RecoveryEvent.NoEngine(false, 700)));
            assertEquals(Verdict.NOT_RUN, error.verdict());
            assertEquals(700, error.retryAfterMs().orElseThrow());
        }

        /** A send whose fate is unknown, then a refusal elsewhere: the first may have run. */
        @Test
        void refusalDoesNotClearAnEarlierSend() {
            machine.start(nowMs);
            sendTo(E1);
            lose(1);
            lose(2);
            sendTo(E2);
            on(new RecoveryEvent.Refused(attempt(3), 500));
            assertEquals(
                    Verdict.MAY_HAVE_RUN, errorIn(on(new RecoveryEvent.Cancelled())).verdict());
        }

        @Test
        void cancelWhileSendIsUnderWayMayHaveRun() {
            machine.start(nowMs);
            sendTo(E1);
            assertEquals(
                    Verdict.MAY_HAVE_RUN, errorIn(on(new RecoveryEvent.Cancelled())).verdict());
        }

        @Test
        void attemptsWithoutProgressAreBounded() {
            machine.start(nowMs);
            for (int i = 1; i <= MAX_ATTEMPTS; i++) {
                sendTo(E1);
                on(new RecoveryEvent.Refused(attempt(i), 0));
            }
            sendTo(E1);
            List<RecoveryAction> last = on(new RecoveryEvent.Refused(attempt(MAX_ATTEMPTS + 1), 0));
            assertEquals(Verdict.NOT_RUN, errorIn(last).verdict());
        }
    }

    /** Requests that may run only once. */
    @Nested
    class NonIdempotent {
        /** The engine of a letter dies: nobody knows whether the letter was written. */
        @Test
        void lostEngineEndsTheRequest() {
            beNonIdempotent();
            streamTwoTokens();
            lose(1);
            MasticweirException error = errorIn(lose(2));
            assertEquals(ErrorCode.ENGINE_LOST, error.code());
            assertEquals(Verdict.MAY_HAVE_RUN, error.verdict());
        }

        @Test
        void refusedSendGoesElsewhere() {
            beNonIdempotent();
            machine.start(nowMs);
            sendTo(E1);
            assertHas(
                    new RecoveryAction.ChooseEngine(Set.of(E1), false),
                    on(new RecoveryEvent.Refused(attempt(1), 500)));
        }

        /**
         * A family gets a letter twice. The link breaks after the send, the engine refuses to let
         * its stream be read again, being overloaded, and the refusal is taken for one of the send,
         * so that the letter is sent to another engine while the first one writes it.
         */
        @Test
        void refusedRereadIsNoRefusedSend() {
            beNonIdempotent();
            machine.start(nowMs);
            sendTo(E1);
            lose(1);
            List<RecoveryAction> actions = on(new RecoveryEvent.Refused(attempt(2), 500));
            assertHasNo(RecoveryAction.ChooseEngine.class, actions);
            assertEquals(Verdict.MAY_HAVE_RUN, errorIn(actions).verdict());
        }
    }

    /** Requests taken over from a router that was lost. */
    @Nested
    class TakeOver {
        @Test
        void goesOnFromTheStreamOfTheEngine() {
            assertHas(new RecoveryAction.Reread(attempt(5), E1, 2), takeOver(true));
        }

        @Test
        void wholeCopyGoesOnElsewhereWhenTheEngineIsGone() {
            takeOver(true);
            lose(5);
            assertHas(new RecoveryAction.Send(attempt(6), E2, 2), sendTo(E2));
        }

        @Test
        void partialCopyBecomesWholeOnceTheEnginesStreamIsReadSoFar() {
            assertHas(new RecoveryAction.Probe(attempt(5), E1), takeOver(false));
            on(new RecoveryEvent.ProbeAnswered(attempt(5), 4));
            receive(new Frame.Start(attempt(5), 2));
            receive(5, 2, 13, 14);
            lose(5);
            lose(6);
            assertHas(new RecoveryAction.Send(attempt(7), E2, 4), sendTo(E2));
        }

        /**
         * A report stitched from two computations. The lost router showed more than the copy holds,
         * and the engine refuses, being overloaded, to let its stream be read: computed again after
         * the copy's tokens, the rest would differ from what the caller has.
         */
        @Test
        void partialCopyIsNotContinuedAfterARefusedReread() {
            takeOver(false);
            List<RecoveryAction> actions = on(new RecoveryEvent.Refused(attempt(5), 500));
            assertHas(new RecoveryAction.NewGeneration(2, true), actions);
        }
    }

    /** What still comes of an attempt that was given up, before another engine is chosen. */
    @Nested
    class BetweenEngines {
        /**
         * A caller waits longer than needed. A silent engine was told to stop and no other has room
         * yet; then its link breaks, or its probe is answered after all, and its stream, which it
         * no longer has, is read again in place of the choice of another.
         */
        @Test
        void engineThatWasToldToStopIsNotReadAgain() {
            streamTwoTokens();
            tickAt(BOUND_MS);
            nowMs = 2 * BOUND_MS;
            on(new RecoveryEvent.ProbeFailed(attempt(1)));
            assertEquals(List.of(), lose(1));
            assertEquals(List.of(), on(new RecoveryEvent.ProbeAnswered(attempt(1), 5)));
            assertHas(new RecoveryAction.Send(attempt(2), E2, 2), sendTo(E2));
        }

        @Test
        void generationUnderWayWaitsForRoom() {
            streamTwoTokens();
            lose(1);
            lose(2);
            assertHas(
                    new RecoveryAction.WakeAt(RecoveryMachine.CHOOSE_AGAIN_MS),
                    on(new RecoveryEvent.NoEngine(false, 50)));
            nowMs = WAIT_MS;
            MasticweirException error = errorIn(on(new RecoveryEvent.NoEngine(false, 50)));
            assertEquals(ErrorCode.NO_ENGINE, error.code());
        }

        /** The version is gone and nothing was released: a new generation starts. */
        @Test
        void versionThatIsGoneStartsANewGenerationBeforeTheFirstToken() {
            machine.start(nowMs);
            sendTo(E1);
            on(new RecoveryEvent.Refused(attempt(1), 0));
            assertHas(
                    new RecoveryAction.NewGeneration(2, false),
                    on(new RecoveryEvent.NoEngine(true, 0)));
        }

        @Test
        void versionThatIsGoneIsNoSilentSwitchAfterTheFirstToken() {
            streamTwoTokens();
            lose(1);
            lose(2);
            assertHasNo(
                    RecoveryAction.NewGeneration.class, on(new RecoveryEvent.NoEngine(true, 0)));
        }
    }
}
