package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;

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
}
