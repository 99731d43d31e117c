package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.error.Verdict;
import org.masticweir.permits.AnnouncedLimit;

/** Tests server selection among servers with a rate limit. */
class LimitedServersTest {
    private final ForwardFixture fixture = new ForwardFixture().domain("a", 2);

    private void announceLimit(List<BackendServer> servers) {
        servers.forEach(
                s -> fixture.limits.recordAnswer(s.incarnation(), AnnouncedLimit.of(5), 0, 0));
    }

    private static Step.AcquirePermit asAcquirePermit(Step step) {
        return assertInstanceOf(Step.AcquirePermit.class, step);
    }

    @Test
    void areUsedAfterUnlimitedServers() {
        announceLimit(fixture.servers.subList(0, 1));
        for (int i = 0; i < 20; i++) {
            Step step = fixture.stateMachine(Repeatability.MUTATING, 1).next(0);
            assertEquals(fixture.servers.get(1), assertInstanceOf(Step.Send.class, step).server());
        }
    }

    @Test
    void areSentARequestOnlyWithAPermit() {
        announceLimit(fixture.servers);
        RequestStateMachine machine = fixture.stateMachine(Repeatability.MUTATING, 1);
        BackendServer server = asAcquirePermit(machine.next(0)).server();
        Step.Send send =
                assertInstanceOf(Step.Send.class, machine.onPermitDecision(server, true, 5));
        assertEquals(server, send.server());
    }

    @Test
    void areSkippedIfPermitIsDenied() {
        announceLimit(fixture.servers);
        RequestStateMachine machine = fixture.stateMachine(Repeatability.RESUMABLE, 3);
        BackendServer first = asAcquirePermit(machine.next(0)).server();
        block(first, 400);
        BackendServer second = asAcquirePermit(machine.onPermitDecision(first, false, 5)).server();
        assertNotEquals(first, second);
    }

    /** A booking must be refused at once if no server can accept the booking in time. */
    @Test
    void areAllBlockedTooLongAndRequestIsRefusedAtOnce() {
        announceLimit(fixture.servers);
        RequestStateMachine machine = fixture.stateMachine(Repeatability.MUTATING, 1);
        fixture.servers.forEach(s -> block(s, 3_000));
        Step.End end = assertInstanceOf(Step.End.class, machine.next(0));
        assertEquals(Verdict.NOT_RUN, end.verdict());
        assertEquals(503, end.code().httpStatus());
        assertTrue(end.retryAfterMs().getAsLong() >= 3_000, "no permit is available earlier");
    }

    @Test
    void areAwaitedIfPermitIsAvailableInTime() {
        announceLimit(fixture.servers);
        RequestStateMachine machine = fixture.stateMachine(Repeatability.MUTATING, 1);
        fixture.servers.forEach(s -> block(s, 100));
        assertInstanceOf(Step.Wait.class, machine.next(0));
        asAcquirePermit(machine.next(100));
    }

    /** Partly delivered reports get permits before new reports, and new reports before retries. */
    @Test
    void serveStartedRequestsFirst() {
        announceLimit(fixture.servers);
        RequestStateMachine machine = fixture.stateMachine(Repeatability.RESUMABLE, 3);
        Step.AcquirePermit fresh = asAcquirePermit(machine.next(0));
        assertInstanceOf(Step.Send.class, machine.onPermitDecision(fresh.server(), true, 5));
        Step.AcquirePermit again = asAcquirePermit(machine.onRefused(10));
        assertInstanceOf(Step.Send.class, machine.onPermitDecision(again.server(), true, 15));
        machine.onEvent(1);
        Step.AcquirePermit begun = asAcquirePermit(machine.onSendLost(again.server(), 20));
        assertTrue(begun.urgency() < fresh.urgency());
        assertTrue(fresh.urgency() < again.urgency());
    }

    private void block(BackendServer server, long untilMs) {
        fixture.limits.blockUntil(server.incarnation(), untilMs);
    }
}
