package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;

/** Where a request goes after each failure. */
class CourseTest {
    private final ForwardWorld world = new ForwardWorld().domain("a", 3).domain("b", 3);

    private static Step.Send send(Step step) {
        return assertInstanceOf(Step.Send.class, step);
    }

    private static Step.End end(Step step) {
        return assertInstanceOf(Step.End.class, step);
    }

    /** A caller is told that its booking may have been made, though nothing of it was sent. */
    @Test
    void sendThatIsWithdrawnBeforeItLeavesHasNotRun() {
        RequestStateMachine course = world.course(Repeatability.MUTATING, 60);
        send(course.next(0));
        assertEquals(Verdict.MAY_HAVE_RUN, course.endAtDeadline().verdict());
        course.onSendAborted(0);
        assertEquals(Verdict.NOT_RUN, course.endAtDeadline().verdict());
        assertEquals(0, course.sendCount());
    }

    /**
     * A household's report is given up half written although engines are free: its domain was cut
     * off, sends to all others failed to connect, and the budget of second sends was spent on them.
     */
    @Nested
    class RepeatBudget {
        /** Sends that reach no server, far more than the repeats that there are. */
        private static final int VAIN_SENDS = 300;

        /** Permits for repeats that are left. */
        private int permits = 15;

        /** Decides on a repeat that needs a permit. */
        private Step decided(RequestStateMachine course, Step step, long nowMs) {
            if (!(step instanceof Step.AcquireRetryPermit)) {
                return step;
            }
            boolean granted = permits > 0;
            permits -= granted ? 1 : 0;
            return course.onRetryDecision(granted, nowMs);
        }

        private RequestStateMachine lostOnce(long nowMs) {
            RequestStateMachine course = world.course(Repeatability.RESUMABLE, 60);
            BackendServer first = send(course.next(nowMs)).server();
            course.onEvent(3);
            Step again = decided(course, course.onSendLost(first, nowMs), nowMs);
            assertInstanceOf(Step.Send.class, again);
            return course;
        }

        private void spend() {
            while (permits > 0) {
                lostOnce(0).close();
                world.listed(0);
                world.servers.forEach(s -> world.health.recordAnswer(s.incarnation(), 0));
            }
            while (world.repeats.tryRetry(ForwardWorld.SERVICE, 0)) {
                // What this router's own requests allow is used up as well.
            }
        }

        @Test
        void isNotSpentOnSendsThatReachNoServer() {
            RequestStateMachine cutOff = world.course(Repeatability.RESUMABLE, 60);
            Step step = cutOff.onSendLost(send(cutOff.next(0)).server(), 0);
            step = decided(cutOff, step, 0);
            for (int i = 1; i <= VAIN_SENDS; i++) {
                long now = i;
                Step after = cutOff.onConnectFailed(send(step).server(), now);
                world.servers.forEach(s -> world.health.recordAnswer(s.incarnation(), now));
                step = decided(cutOff, after instanceof Step.Wait ? cutOff.next(i) : after, i);
            }
            assertInstanceOf(Step.Send.class, step);
            lostOnce(100);
        }

        @Test
        void isWaitedForByAStreamWhoseCallerHasPartOfIt() {
            RequestStateMachine course = world.course(Repeatability.RESUMABLE, 60);
            BackendServer first = send(course.next(0)).server();
            course.onEvent(3);
            spend();
            assertInstanceOf(Step.Wait.class, decided(course, course.onSendLost(first, 100), 100));
            assertInstanceOf(Step.Wait.class, decided(course, course.next(9_900), 9_900));
            permits = 1;
            assertInstanceOf(Step.Send.class, decided(course, course.next(10_100), 10_100));
        }

        @Test
        void isWaitedForByAStreamWhileItsFirstEventCanBeInTime() {
            RequestStateMachine course = world.course(Repeatability.RESUMABLE, 60);
            BackendServer first = send(course.next(0)).server();
            spend();
            assertInstanceOf(Step.Wait.class, decided(course, course.onSendLost(first, 100), 100));
            long lateMs = ForwardWorld.GOAL_MS;
            Step.End end = end(decided(course, course.next(lateMs), lateMs));
            assertEquals("no retry budget", end.reason());
        }

        @Test
        void isNotWaitedForByALookup() {
            RequestStateMachine course = world.course(Repeatability.IDEMPOTENT, 3);
            BackendServer first = send(course.next(0)).server();
            spend();
            Step.End end = end(decided(course, course.onSendLost(first, 100), 100));
            assertEquals("no retry budget", end.reason());
        }
    }

    /** Requests that must not run twice. */
    @Nested
    class Mutating {
        private final RequestStateMachine course = world.course(Repeatability.MUTATING, 3);

        /**
         * A family gets its letter twice: the server that was writing it breaks off, the request
         * goes to another one, and both finish. The broken connection does not say whether it ran.
         */
        @Test
        void isNotSentAgainOnceItMayHaveRun() {
            BackendServer first = send(course.next(0)).server();
            Step.End end = end(course.onSendLost(first, 100));
            assertEquals(Verdict.MAY_HAVE_RUN, end.verdict());
            assertEquals(502, end.code().httpStatus(), "a refusal would say that it has not run");
        }

        @Test
        void goesToAnotherServerAfterAWordThatItDidNotRun() {
            BackendServer first = send(course.next(0)).server();
            assertNotEquals(first, send(course.onRefused(5)).server());
        }

        @Test
        void isRefusedAsNotRunAfterAllSendsWereRefused() {
            course.next(0);
            course.onRefused(1);
            course.onRefused(2);
            Step.End end = end(course.onRefused(3));
            assertEquals(Verdict.NOT_RUN, end.verdict());
            assertEquals(503, end.code().httpStatus());
            assertTrue(end.retryAfterMs().isPresent());
        }

        @Test
        void mayHaveRunWhileItIsAtAServer() {
            course.next(0);
            assertEquals(ErrorCode.DEADLINE_EXCEEDED, course.endAtDeadline().code());
        }
    }

    /** Streams that may go on elsewhere. */
    @Nested
    class Resumable {
        private final RequestStateMachine course = world.course(Repeatability.RESUMABLE, 5);

        /**
         * A report stands still for a second: its engine is lost, and another one reads the whole
         * prompt again although an engine elsewhere holds a copy of the run.
         */
        @Test
        void goesOnAtTheHolderOfItsCopyAfterItsLastEvent() {
            Step.Send first = send(course.next(0));
            course.onEvent(41);
            Step.Send next = send(course.onSendLost(first.server(), 2_000));
            assertEquals(first.copyHolder().orElseThrow(), next.server());
            assertTrue(next.fromCopy());
            assertEquals(OptionalLong.of(41), next.lastEventId());
        }

        @Test
        void hasItsCopyInAnotherDomain() {
            Step.Send first = send(course.next(0));
            assertNotEquals(first.server().domain(), first.copyHolder().orElseThrow().domain());
        }

        @Test
        void doesNotAskForACopyBeforeItsFirstEvent() {
            Step.Send first = send(course.next(0));
            assertFalse(send(course.onSendLost(first.server(), 500)).fromCopy());
        }

        @Test
        void startsAnewWhereTheHolderHasNoCopy() {
            Step.Send first = send(course.next(0));
            course.onEvent(3);
            send(course.onSendLost(first.server(), 1_000));
            Step.Send anew = send(course.onRefused(1_010));
            assertFalse(anew.fromCopy());
            assertEquals(OptionalLong.of(3), anew.lastEventId());
        }

        /** An address that changed hands is not one of the servers that the route allows. */
        @Test
        void doesNotCountServersThatAreGone() {
            Step step = course.next(0);
            for (int i = 0; i < 5; i++) {
                step = course.onWrongServer(send(step).server(), i);
            }
            send(step);
            assertEquals(1, course.sendCount());
        }

        /**
         * A report ends in its middle though both engines of its domain live: each had stalled for
         * a moment, was left for the other, and nobody was left to ask.
         */
        @Test
        void returnsToAnEngineThatWasLeftIfNoOtherIsLeft() {
            ForwardWorld small = new ForwardWorld().domain("a", 1).domain("b", 1);
            RequestStateMachine alone = small.course(Repeatability.RESUMABLE, 5);
            BackendServer first = send(alone.next(0)).server();
            alone.onEvent(1);
            BackendServer second = send(alone.onSendLost(first, 1_000)).server();
            alone.onEvent(2);
            assertInstanceOf(Step.Wait.class, alone.onSendLost(second, 1_100));
            Step.Send third = send(alone.next(1_100 + ServerHealth.FIRST_DOWN_MS));
            assertEquals(first, third.server());
            assertEquals(OptionalLong.of(2), third.lastEventId());
        }

        @Test
        void waitsForAServerIfTheCallerHasPartOfTheAnswer() {
            Step.Send first = send(course.next(0));
            course.onEvent(7);
            world.servers.clear();
            assertInstanceOf(Step.Wait.class, course.onSendLost(first.server(), 1_000));
        }
    }

    /**
     * All routers lose power, and the callers of a dozen reports come back at one moment with the
     * last event they have. Each report went to any engine, which read its whole prompt again while
     * the engine that had read it still kept it: a second of work for each.
     */
    @Nested
    class OfACallerThatComesBack {
        private final RequestStateMachine course = world.course(ForwardWorld.planOfReturn(41));

        private ImmutableList<BackendServer> asked() {
            return assertInstanceOf(Step.QueryPromptCaches.class, course.next(0)).engines();
        }

        @Test
        void asksTheEnginesOfItsDomainFirst() {
            ImmutableList<BackendServer> asked = asked();
            assertEquals(world.servers.size(), asked.size());
            assertTrue(asked.stream().limit(3).allMatch(s -> s.domain().value().equals("a")));
        }

        @Test
        void goesToTheEngineThatKeepsItsPrompt() {
            BackendServer keeper = world.byId("b-3");
            assertTrue(asked().contains(keeper));
            Step.Send send = send(course.onPromptCacheResult(Optional.of(keeper), 10));
            assertEquals(keeper, send.server());
            assertEquals(OptionalLong.of(41), send.lastEventId());
            assertFalse(send.fromCopy(), "the memory of another attempt is not its own");
        }

        @Test
        void goesElsewhereIfThatEngineWasLostMeanwhile() {
            BackendServer keeper = world.byId("b-3");
            asked();
            world.health.recordFailure(keeper, 5);
            assertNotEquals(
                    keeper, send(course.onPromptCacheResult(Optional.of(keeper), 10)).server());
        }

        @Test
        void goesElsewhereAfterThatEngineRefusedIt() {
            asked();
            BackendServer keeper = world.byId("b-3");
            course.onPromptCacheResult(Optional.of(keeper), 10);
            assertNotEquals(keeper, send(course.onRefused(20)).server());
        }

        @Test
        void isPlacedLikeAnyOtherIfNoneKeepsIt() {
            asked();
            assertEquals(
                    "a",
                    send(course.onPromptCacheResult(Optional.empty(), 10))
                            .server()
                            .domain()
                            .value());
        }

        @Test
        void doesNotAskEnginesThatAreDown() {
            world.servers.forEach(s -> world.health.recordFailure(s, 0));
            assertInstanceOf(Step.Wait.class, course.next(1));
        }

        @Test
        void asksAFewOfManyEngines() {
            world.domain("c", 40);
            assertEquals(ServerSelector.MOST_ASKED, asked().size());
        }
    }

    /** Nothing can take the request. */
    @Nested
    class WithoutServers {
        @Test
        void isRefusedAtOnceIfTheServiceHasNone() {
            world.servers.clear();
            Step.End end = end(world.course(Repeatability.IDEMPOTENT, 2).next(0));
            assertEquals(Verdict.NOT_RUN, end.verdict());
        }

        @Test
        void waitsForAnEighthOfItsGoalWhileAllAreDown() {
            world.servers.forEach(s -> world.health.recordFailure(s, 0));
            RequestStateMachine course = world.course(Repeatability.IDEMPOTENT, 2);
            assertInstanceOf(Step.Wait.class, course.next(0));
            world.servers.forEach(s -> world.health.recordFailure(s, 600));
            end(course.next(ForwardWorld.GOAL_MS / 8 + 1));
        }
    }

    /**
     * Many reports come at once and the engines' memory is full. A place went to whichever request
     * looked next, so that one that had waited for long was given up while later ones ran.
     */
    @Nested
    class WaitsForAnEngine {
        private final RequestStateMachine first = world.course(Repeatability.RESUMABLE, 5);
        private final RequestStateMachine second = world.course(Repeatability.RESUMABLE, 5);

        private void fill() {
            world.servers.forEach(s -> world.loads.addCopyTokens(s.incarnation(), 80_000));
        }

        private void free(String engine) {
            world.loads.addCopyTokens(world.byId(engine).incarnation(), -80_000);
        }

        @Test
        void behindThoseThatCameBefore() {
            fill();
            assertInstanceOf(Step.Wait.class, first.next(0));
            assertInstanceOf(Step.Wait.class, second.next(10));
            free("a-1");
            assertInstanceOf(Step.Wait.class, second.next(20));
            send(first.next(30));
            send(second.next(40));
        }

        @Test
        void behindThoseThatWaitEvenIfItComesWhenAPlaceIsFree() {
            fill();
            first.next(0);
            free("a-1");
            assertInstanceOf(Step.Wait.class, second.next(10));
            send(first.next(20));
        }

        @Test
        void notBehindACallerThatLeft() {
            fill();
            first.next(0);
            second.next(10);
            first.close();
            free("a-1");
            send(second.next(20));
        }

        /** A place that is not left must not stop a service for good. */
        @Test
        void notBehindOneWhoseTimeIsOver() {
            fill();
            first.next(0);
            RequestStateMachine late = world.course(Repeatability.RESUMABLE, 5);
            free("a-1");
            send(late.next(ForwardWorld.GOAL_MS / 2 + 1));
        }

        @Test
        void forHalfOfItsGoal() {
            fill();
            assertInstanceOf(Step.Wait.class, first.next(0));
            assertInstanceOf(Step.Wait.class, first.next(ForwardWorld.GOAL_MS / 2 - 1));
            Step.End end = end(first.next(ForwardWorld.GOAL_MS / 2));
            assertEquals(Verdict.NOT_RUN, end.verdict());
        }

        @Test
        void notAtAllIfMoreWaitThanCanBeServedInTime() {
            fill();
            for (int i = 0; i < WaitQueue.LEAST_LENGTH; i++) {
                assertInstanceOf(Step.Wait.class, world.course(Repeatability.RESUMABLE, 5).next(i));
            }
            Step.End end = end(first.next(10));
            assertEquals("too many wait", end.reason());
            assertTrue(end.retryAfterMs().isPresent());
        }

        @Test
        void notAtAllIfItIsLargerThanAnyEngine() {
            RequestStateMachine large =
                    world.course(ForwardWorld.planOfSize(new RequestSize(90_000, 10)));
            Step.End end = end(large.next(0));
            assertTrue(end.retryAfterMs().isEmpty(), "it need not come back");
        }
    }

    /** Servers answer with a failure of theirs. */
    @Nested
    class FailedAnswers {
        @Test
        void ofIdempotentRequestsAreTriedElsewhereOnce() {
            RequestStateMachine course = world.course(Repeatability.IDEMPOTENT, 2);
            course.next(0);
            assertTrue(course.onErrorAnswer(50).isPresent());
            assertTrue(course.onErrorAnswer(100).isEmpty());
        }

        @Test
        void ofMutatingRequestsAreTheAnswer() {
            RequestStateMachine course = world.course(Repeatability.MUTATING, 2);
            course.next(0);
            assertTrue(course.onErrorAnswer(50).isEmpty());
        }
    }

    /**
     * A manager's query runs into its timeout: the server had run it, its answer was lost on the
     * way, and nothing said so.
     */
    @Nested
    class AnswerThatDoesNotCome {
        private final RequestStateMachine course = world.course(Repeatability.IDEMPOTENT, 2);

        @Test
        void isWaitedForForPartOfTheGoal() {
            course.next(0);
            assertTrue(course.hedgeDelayMs().getAsLong() < ForwardWorld.GOAL_MS);
        }

        @Test
        void isAskedForElsewhereOnce() {
            Step.Send first = send(course.next(0));
            Step.Send second = send(course.onSlowAnswer(3_000).orElseThrow());
            assertNotEquals(first.server(), second.server());
            assertTrue(course.hedgeDelayMs().isEmpty());
        }

        @Test
        void isNotAskedForElsewhereWhileAllServersAreBusy() {
            course.next(0);
            world.servers.forEach(s -> world.loads.recordServerReport(s.incarnation(), 96, 2_900));
            assertTrue(course.onSlowAnswer(3_000).isEmpty());
            assertEquals(1, course.sendCount());
        }

        @Test
        void ofAMutatingRequestIsWaitedForToTheEnd() {
            RequestStateMachine mutating = world.course(Repeatability.MUTATING, 2);
            mutating.next(0);
            assertTrue(mutating.hedgeDelayMs().isEmpty());
            assertTrue(mutating.onSlowAnswer(3_000).isEmpty());
            assertEquals(1, mutating.sendCount());
        }
    }
}
