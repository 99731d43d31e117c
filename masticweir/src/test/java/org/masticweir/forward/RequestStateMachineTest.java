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
import org.masticweir.path.ConnectFailure;

/** Tests the next step after each kind of failure. */
class RequestStateMachineTest {
    private final ForwardFixture fixture = new ForwardFixture().domain("a", 3).domain("b", 3);

    private static Step.Send asSend(Step step) {
        return assertInstanceOf(Step.Send.class, step);
    }

    private static Step.End asEnd(Step step) {
        return assertInstanceOf(Step.End.class, step);
    }

    /**
     * An aborted send must count as not run. Otherwise the answer reports that a booking may have
     * been made, although no data was sent.
     */
    @Test
    void abortedSendCountsAsNotRun() {
        RequestStateMachine machine = fixture.stateMachine(Repeatability.MUTATING, 60);
        asSend(machine.next(0));
        assertEquals(Verdict.MAY_HAVE_RUN, machine.endAtDeadline().verdict());
        machine.onSendAborted(0);
        assertEquals(Verdict.NOT_RUN, machine.endAtDeadline().verdict());
        assertEquals(0, machine.sendCount());
    }

    /**
     * Failed connects must not consume the retry budget. In a partitioned domain, all connects to
     * other domains fail. If failed connects exhausted the budget, a partly delivered report would
     * be abandoned although engines are free.
     */
    @Nested
    class RetryBudgetUse {
        /** Number of failed connects, far more than the available retries. */
        private static final int FAILED_CONNECTS = 300;

        /** Number of remaining retry permits. */
        private int permits = 15;

        /** Decides on a step that requests a retry permit; returns any other step unchanged. */
        private Step decide(RequestStateMachine machine, Step step, long nowMs) {
            if (!(step instanceof Step.AcquireRetryPermit)) {
                return step;
            }
            boolean granted = permits > 0;
            permits -= granted ? 1 : 0;
            return machine.onRetryDecision(granted, nowMs);
        }

        private RequestStateMachine retriedOnce(long nowMs) {
            RequestStateMachine machine = fixture.stateMachine(Repeatability.RESUMABLE, 60);
            BackendServer first = asSend(machine.next(nowMs)).server();
            machine.onEvent(3);
            Step again = decide(machine, machine.onSendLost(first, nowMs), nowMs);
            assertInstanceOf(Step.Send.class, again);
            return machine;
        }

        private void exhaustBudget() {
            while (permits > 0) {
                retriedOnce(0).close();
                fixture.updateListedServers(0);
                fixture.servers.forEach(s -> fixture.health.recordAnswer(s.incarnation(), 0));
            }
            while (fixture.retryBudgets.tryRetry(ForwardFixture.SERVICE, 0)) {
                // Exhausts the retries that the router's own requests allow.
            }
        }

        @Test
        void isNotConsumedByFailedConnects() {
            RequestStateMachine cutOff = fixture.stateMachine(Repeatability.RESUMABLE, 60);
            Step step = cutOff.onSendLost(asSend(cutOff.next(0)).server(), 0);
            step = decide(cutOff, step, 0);
            for (int i = 1; i <= FAILED_CONNECTS; i++) {
                long now = i;
                Step after =
                        cutOff.onConnectFailed(
                                asSend(step).server(), ConnectFailure.SERVER_UNREACHABLE, now);
                fixture.servers.forEach(s -> fixture.health.recordAnswer(s.incarnation(), now));
                step = decide(cutOff, after instanceof Step.Wait ? cutOff.next(i) : after, i);
            }
            assertInstanceOf(Step.Send.class, step);
            retriedOnce(100);
        }

        @Test
        void isAwaitedByPartlyDeliveredStream() {
            RequestStateMachine machine = fixture.stateMachine(Repeatability.RESUMABLE, 60);
            BackendServer first = asSend(machine.next(0)).server();
            machine.onEvent(3);
            exhaustBudget();
            assertInstanceOf(Step.Wait.class, decide(machine, machine.onSendLost(first, 100), 100));
            assertInstanceOf(Step.Wait.class, decide(machine, machine.next(9_900), 9_900));
            permits = 1;
            assertInstanceOf(Step.Send.class, decide(machine, machine.next(10_100), 10_100));
        }

        @Test
        void isAwaitedByStreamUntilFirstEventGoal() {
            RequestStateMachine machine = fixture.stateMachine(Repeatability.RESUMABLE, 60);
            BackendServer first = asSend(machine.next(0)).server();
            exhaustBudget();
            assertInstanceOf(Step.Wait.class, decide(machine, machine.onSendLost(first, 100), 100));
            long lateMs = ForwardFixture.GOAL_MS;
            Step.End end = asEnd(decide(machine, machine.next(lateMs), lateMs));
            assertEquals("no retry budget", end.reason());
        }

        @Test
        void isNotAwaitedByLookup() {
            RequestStateMachine machine = fixture.stateMachine(Repeatability.IDEMPOTENT, 3);
            BackendServer first = asSend(machine.next(0)).server();
            exhaustBudget();
            Step.End end = asEnd(decide(machine, machine.onSendLost(first, 100), 100));
            assertEquals("no retry budget", end.reason());
        }
    }

    /** Requests that must not run twice. */
    @Nested
    class MutatingRequest {
        private final RequestStateMachine machine = fixture.stateMachine(Repeatability.MUTATING, 3);

        /**
         * A closed connection does not show whether the request ran. If the request were sent to a
         * second server, both servers could run it, and a family would get a letter twice.
         */
        @Test
        void isNotRetriedOnceItMayHaveRun() {
            BackendServer first = asSend(machine.next(0)).server();
            Step.End end = asEnd(machine.onSendLost(first, 100));
            assertEquals(Verdict.MAY_HAVE_RUN, end.verdict());
            assertEquals(502, end.code().httpStatus(), "503 would report that it has not run");
        }

        @Test
        void isRetriedElsewhereAfterRefusal() {
            BackendServer first = asSend(machine.next(0)).server();
            assertNotEquals(first, asSend(machine.onRefused(5)).server());
        }

        @Test
        void endsAsNotRunIfAllSendsWereRefused() {
            machine.next(0);
            machine.onRefused(1);
            machine.onRefused(2);
            Step.End end = asEnd(machine.onRefused(3));
            assertEquals(Verdict.NOT_RUN, end.verdict());
            assertEquals(503, end.code().httpStatus());
            assertTrue(end.retryAfterMs().isPresent());
        }

        @Test
        void mayHaveRunWhileInFlight() {
            machine.next(0);
            assertEquals(ErrorCode.DEADLINE_EXCEEDED, machine.endAtDeadline().code());
        }
    }

    /** Streams that may resume at another server. */
    @Nested
    class ResumableStream {
        private final RequestStateMachine machine =
                fixture.stateMachine(Repeatability.RESUMABLE, 5);

        /**
         * A report whose engine is lost must not wait a second for a repeated prefill at another
         * engine, although a third engine holds a copy of the run.
         */
        @Test
        void resumesAtCopyHolderAfterLastEvent() {
            Step.Send first = asSend(machine.next(0));
            machine.onEvent(41);
            Step.Send next = asSend(machine.onSendLost(first.server(), 2_000));
            assertEquals(first.copyHolder().orElseThrow(), next.server());
            assertTrue(next.fromCopy());
            assertEquals(OptionalLong.of(41), next.lastEventId());
        }

        @Test
        void hasCopyInAnotherDomain() {
            Step.Send first = asSend(machine.next(0));
            assertNotEquals(first.server().domain(), first.copyHolder().orElseThrow().domain());
        }

        @Test
        void doesNotUseCopyBeforeFirstEvent() {
            Step.Send first = asSend(machine.next(0));
            assertFalse(asSend(machine.onSendLost(first.server(), 500)).fromCopy());
        }

        @Test
        void restartsIfHolderHasNoCopy() {
            Step.Send first = asSend(machine.next(0));
            machine.onEvent(3);
            asSend(machine.onSendLost(first.server(), 1_000));
            Step.Send anew = asSend(machine.onRefused(1_010));
            assertFalse(anew.fromCopy());
            assertEquals(OptionalLong.of(3), anew.lastEventId());
        }

        /** A send to the wrong server does not count towards the route's limit of sends. */
        @Test
        void doesNotCountSendsToWrongServers() {
            Step step = machine.next(0);
            for (int i = 0; i < 5; i++) {
                step = machine.onWrongServer(asSend(step).server(), true, i);
            }
            asSend(step);
            assertEquals(1, machine.sendCount());
        }

        /**
         * A report must not end incomplete while both engines of the domain run. Both had stalled
         * for a moment, so no untried engine was left.
         */
        @Test
        void returnsToTriedEngineIfNoOtherIsLeft() {
            ForwardFixture small = new ForwardFixture().domain("a", 1).domain("b", 1);
            RequestStateMachine alone = small.stateMachine(Repeatability.RESUMABLE, 5);
            BackendServer first = asSend(alone.next(0)).server();
            alone.onEvent(1);
            BackendServer second = asSend(alone.onSendLost(first, 1_000)).server();
            alone.onEvent(2);
            assertInstanceOf(Step.Wait.class, alone.onSendLost(second, 1_100));
            Step.Send third = asSend(alone.next(1_100 + ServerHealth.FIRST_DOWN_MS));
            assertEquals(first, third.server());
            assertEquals(OptionalLong.of(2), third.lastEventId());
        }

        @Test
        void waitsForServerIfPartlyDelivered() {
            Step.Send first = asSend(machine.next(0));
            machine.onEvent(7);
            fixture.servers.clear();
            assertInstanceOf(Step.Wait.class, machine.onSendLost(first.server(), 1_000));
        }
    }

    /**
     * After a power loss of all routers, the callers of a dozen reports retry at once with the id
     * of the last received event. Without prompt cache queries, each report goes to any engine,
     * which repeats the whole prefill although the first engine still has the prompt cached. Each
     * repeated prefill costs a second of an engine's time.
     */
    @Nested
    class ReturningCaller {
        private final RequestStateMachine machine =
                fixture.stateMachine(ForwardFixture.parametersOfReturningCaller(41));

        private ImmutableList<BackendServer> queriedEngines() {
            return assertInstanceOf(Step.QueryPromptCaches.class, machine.next(0)).engines();
        }

        @Test
        void queriesEnginesOfOwnDomainFirst() {
            ImmutableList<BackendServer> asked = queriedEngines();
            assertEquals(fixture.servers.size(), asked.size());
            assertTrue(asked.stream().limit(3).allMatch(s -> s.domain().value().equals("a")));
        }

        @Test
        void goesToEngineWithCachedPrompt() {
            BackendServer keeper = fixture.byId("b-3");
            assertTrue(queriedEngines().contains(keeper));
            Step.Send send = asSend(machine.onPromptCacheResult(Optional.of(keeper), 10));
            assertEquals(keeper, send.server());
            assertEquals(OptionalLong.of(41), send.lastEventId());
            assertFalse(send.fromCopy(), "a cached prompt is not a copy of the run");
        }

        @Test
        void goesElsewhereIfCachingEngineWasLost() {
            BackendServer keeper = fixture.byId("b-3");
            queriedEngines();
            fixture.health.recordFailure(keeper, 5);
            assertNotEquals(
                    keeper, asSend(machine.onPromptCacheResult(Optional.of(keeper), 10)).server());
        }

        @Test
        void goesElsewhereIfCachingEngineRefused() {
            queriedEngines();
            BackendServer keeper = fixture.byId("b-3");
            machine.onPromptCacheResult(Optional.of(keeper), 10);
            assertNotEquals(keeper, asSend(machine.onRefused(20)).server());
        }

        @Test
        void goesToBestEngineIfPromptIsNotCached() {
            queriedEngines();
            assertEquals(
                    "a",
                    asSend(machine.onPromptCacheResult(Optional.empty(), 10))
                            .server()
                            .domain()
                            .value());
        }

        @Test
        void doesNotQueryEnginesThatAreDown() {
            fixture.servers.forEach(s -> fixture.health.recordFailure(s, 0));
            assertInstanceOf(Step.Wait.class, machine.next(1));
        }

        @Test
        void limitsQueriedEngines() {
            fixture.domain("c", 40);
            assertEquals(ServerSelector.MAX_QUERIED_ENGINES, queriedEngines().size());
        }
    }

    /** No server can accept the request. */
    @Nested
    class WithoutServers {
        @Test
        void isRefusedAtOnceIfServiceHasNoServer() {
            fixture.servers.clear();
            Step.End end = asEnd(fixture.stateMachine(Repeatability.IDEMPOTENT, 2).next(0));
            assertEquals(Verdict.NOT_RUN, end.verdict());
        }

        @Test
        void waitsForEighthOfGoalWhileAllAreDown() {
            fixture.servers.forEach(s -> fixture.health.recordFailure(s, 0));
            RequestStateMachine machine = fixture.stateMachine(Repeatability.IDEMPOTENT, 2);
            assertInstanceOf(Step.Wait.class, machine.next(0));
            fixture.servers.forEach(s -> fixture.health.recordFailure(s, 600));
            asEnd(machine.next(ForwardFixture.GOAL_MS / 8 + 1));
        }
    }

    /**
     * When many reports arrive and the engines' memory is full, a free slot must not go to the next
     * request that checks: the longest waiting request would be refused while later ones run.
     */
    @Nested
    class WaitForEngine {
        private final RequestStateMachine firstRequest =
                fixture.stateMachine(Repeatability.RESUMABLE, 5);
        private final RequestStateMachine secondRequest =
                fixture.stateMachine(Repeatability.RESUMABLE, 5);

        private void fillMemory() {
            fixture.servers.forEach(s -> fixture.loads.addCopyTokens(s.incarnation(), 80_000));
        }

        private void freeMemory(String engine) {
            fixture.loads.addCopyTokens(fixture.byId(engine).incarnation(), -80_000);
        }

        @Test
        void isInOrderOfArrival() {
            fillMemory();
            assertInstanceOf(Step.Wait.class, firstRequest.next(0));
            assertInstanceOf(Step.Wait.class, secondRequest.next(10));
            freeMemory("a-1");
            assertInstanceOf(Step.Wait.class, secondRequest.next(20));
            asSend(firstRequest.next(30));
            asSend(secondRequest.next(40));
        }

        @Test
        void precedesLaterArrivalEvenIfCapacityIsFree() {
            fillMemory();
            firstRequest.next(0);
            freeMemory("a-1");
            assertInstanceOf(Step.Wait.class, secondRequest.next(10));
            asSend(firstRequest.next(20));
        }

        @Test
        void skipsClosedRequest() {
            fillMemory();
            firstRequest.next(0);
            secondRequest.next(10);
            firstRequest.close();
            freeMemory("a-1");
            asSend(secondRequest.next(20));
        }

        /** An expired queue entry must not block a service forever. */
        @Test
        void skipsExpiredEntry() {
            fillMemory();
            firstRequest.next(0);
            RequestStateMachine late = fixture.stateMachine(Repeatability.RESUMABLE, 5);
            freeMemory("a-1");
            asSend(late.next(ForwardFixture.GOAL_MS / 2 + 1));
        }

        @Test
        void lastsHalfOfGoal() {
            fillMemory();
            assertInstanceOf(Step.Wait.class, firstRequest.next(0));
            assertInstanceOf(Step.Wait.class, firstRequest.next(ForwardFixture.GOAL_MS / 2 - 1));
            Step.End end = asEnd(firstRequest.next(ForwardFixture.GOAL_MS / 2));
            assertEquals(Verdict.NOT_RUN, end.verdict());
        }

        @Test
        void isRefusedIfQueueIsFull() {
            fillMemory();
            for (int i = 0; i < WaitQueue.MIN_CAPACITY; i++) {
                assertInstanceOf(
                        Step.Wait.class, fixture.stateMachine(Repeatability.RESUMABLE, 5).next(i));
            }
            Step.End end = asEnd(firstRequest.next(10));
            assertEquals("too many wait", end.reason());
            assertTrue(end.retryAfterMs().isPresent());
        }

        @Test
        void isRefusedIfLargerThanAnyEngine() {
            RequestStateMachine large =
                    fixture.stateMachine(
                            ForwardFixture.parametersOfSize(new RequestSize(90_000, 10)));
            Step.End end = asEnd(large.next(0));
            assertTrue(end.retryAfterMs().isEmpty(), "a retry can't help");
        }
    }

    /** Servers answer with an application error. */
    @Nested
    class ErrorAnswers {
        @Test
        void ofIdempotentRequestsAreRetriedOnce() {
            RequestStateMachine machine = fixture.stateMachine(Repeatability.IDEMPOTENT, 2);
            machine.next(0);
            assertTrue(machine.onErrorAnswer(50).isPresent());
            assertTrue(machine.onErrorAnswer(100).isEmpty());
        }

        @Test
        void ofMutatingRequestsAreNotRetried() {
            RequestStateMachine machine = fixture.stateMachine(Repeatability.MUTATING, 2);
            machine.next(0);
            assertTrue(machine.onErrorAnswer(50).isEmpty());
        }
    }

    /** A query must not time out because its answer was lost without a connection error. */
    @Nested
    class MissingAnswer {
        private final RequestStateMachine machine =
                fixture.stateMachine(Repeatability.IDEMPOTENT, 2);

        @Test
        void isAwaitedForFractionOfGoal() {
            machine.next(0);
            assertTrue(machine.hedgeDelayMs().getAsLong() < ForwardFixture.GOAL_MS);
        }

        @Test
        void isHedgedOnce() {
            Step.Send first = asSend(machine.next(0));
            Step.Send second = asSend(machine.onSlowAnswer(3_000).orElseThrow());
            assertNotEquals(first.server(), second.server());
            assertTrue(machine.hedgeDelayMs().isEmpty());
        }

        @Test
        void isNotHedgedWhileAllServersAreBusy() {
            machine.next(0);
            fixture.servers.forEach(
                    s -> fixture.loads.recordServerReport(s.incarnation(), 96, 2_900));
            assertTrue(machine.onSlowAnswer(3_000).isEmpty());
            assertEquals(1, machine.sendCount());
        }

        @Test
        void ofMutatingRequestIsNotHedged() {
            RequestStateMachine mutating = fixture.stateMachine(Repeatability.MUTATING, 2);
            mutating.next(0);
            assertTrue(mutating.hedgeDelayMs().isEmpty());
            assertTrue(mutating.onSlowAnswer(3_000).isEmpty());
            assertEquals(1, mutating.sendCount());
        }
    }
}
