package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.id.RouterId;

/** Tests conditions that change while a request waits before its send. */
class RequestStateMachineWaitTest {
    private final ForwardFixture fixture = new ForwardFixture().domain("a", 3).domain("b", 3);

    private static Step.Send asSend(Step step) {
        return assertInstanceOf(Step.Send.class, step);
    }

    private void exhaustOwnRetries(long nowMs) {
        boolean left = true;
        while (left) {
            left = fixture.retryBudgets.tryRetry(ForwardFixture.SERVICE, nowMs);
        }
    }

    /**
     * Returns the state machine of a stream that lost its server and has requested a retry permit.
     */
    private RequestStateMachine waitingForRetryPermit(long nowMs) {
        RequestStateMachine machine = fixture.stateMachine(Repeatability.RESUMABLE, 60);
        BackendServer first = asSend(machine.next(nowMs)).server();
        machine.onEvent(3);
        exhaustOwnRetries(nowMs);
        assertInstanceOf(Step.AcquireRetryPermit.class, machine.onSendLost(first, nowMs));
        return machine;
    }

    /**
     * A permit of one window must not be used in a later window: retries would exceed the
     * allowance.
     */
    @Test
    void permitIsRequestedAgainAfterLongWait() {
        RequestStateMachine machine = waitingForRetryPermit(100);
        ImmutableList<BackendServer> all = ImmutableList.copyOf(fixture.servers);
        fixture.servers.clear();
        assertInstanceOf(Step.Wait.class, machine.onRetryDecision(true, 200));
        fixture.servers.addAll(all);
        assertInstanceOf(
                Step.AcquireRetryPermit.class, machine.next(200 + HeldPermits.PERMIT_VALIDITY_MS));
    }

    @Test
    void permitIsUsedAfterShortWait() {
        RequestStateMachine machine = waitingForRetryPermit(100);
        ImmutableList<BackendServer> all = ImmutableList.copyOf(fixture.servers);
        fixture.servers.clear();
        assertInstanceOf(Step.Wait.class, machine.onRetryDecision(true, 200));
        fixture.servers.addAll(all);
        asSend(machine.next(200 + HeldPermits.PERMIT_VALIDITY_MS - 1));
    }

    /**
     * A server that announces during the connect that it is leaving must not receive the request
     * long after the announcement.
     */
    @Test
    void serverThatLeavesDuringConnectGetsNoRequest() {
        RequestStateMachine machine = fixture.stateMachine(Repeatability.MUTATING, 60);
        BackendServer chosen = asSend(machine.next(0)).server();
        assertTrue(machine.mayStillSend(chosen, 1));
        fixture.servers.remove(chosen);
        assertFalse(machine.mayStillSend(chosen, 1));
    }

    /**
     * Guards against refusals at a router that gets the requests of all: the runs that end in time
     * are those of other routers, and their slots are used by nobody else.
     */
    @Test
    void queueIsBoundedByTheRunsOfAllRoutersIfTheDemandIsHere() {
        ServerLoad ofOthers = new ServerLoad(12, 0, 0, 0);
        for (BackendServer engine : fixture.servers) {
            fixture.loads.recordPeerLoad(RouterId.of("r2"), engine.incarnation(), ofOthers);
        }
        for (RequestStateMachine machine : submit(12)) {
            LoadEntry.open(fixture.loads, asSend(machine.next(0)), ForwardFixture.PROMPT);
        }
        submit(24).forEach(m -> assertInstanceOf(Step.Wait.class, m.next(10)));
    }

    /** Guards against a queue that each of several routers fills for the slots of all. */
    @Test
    void queueIsBoundedByThisRoutersPartOfTheDemand() {
        ServerLoad ofOthers = new ServerLoad(12, 2, 16_400, 0);
        for (BackendServer engine : fixture.servers) {
            fixture.loads.recordPeerLoad(RouterId.of("r2"), engine.incarnation(), ofOthers);
        }
        List<RequestStateMachine> waiting = submit(24);
        long refused = waiting.stream().filter(m -> m.next(10) instanceof Step.End).count();
        assertEquals(24 - WaitQueue.MIN_CAPACITY, refused);
    }

    private List<RequestStateMachine> submit(int count) {
        return Stream.generate(() -> fixture.stateMachine(Repeatability.RESUMABLE, 5))
                .limit(count)
                .toList();
    }
}
