package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.quarantine.SendRule;

/** Tests whether a request can leave a silent server, which may go on a moment later. */
class RelocationTest {
    private static final long NOW_MS = 1_000;

    private final ForwardFixture fixture = new ForwardFixture().domain("a", 3).domain("b", 3);
    private SendRule rule = SendRule.ANY_SERVER;
    private RequestStateMachine machine;
    private BackendServer silent;

    private void send(Repeatability repeatability, int attempts) {
        ContentPolicy policy =
                new ContentPolicy() {
                    @Override
                    public SendRule rule(long nowMs) {
                        return rule;
                    }

                    @Override
                    public OptionalLong remainingQuarantineMs(long nowMs) {
                        return OptionalLong.empty();
                    }
                };
        machine = fixture.stateMachine(ForwardFixture.parameters(repeatability, attempts), policy);
        silent = assertInstanceOf(Step.Send.class, machine.next(0)).server();
        machine.onEvent(3);
    }

    private Relocation relocation() {
        machine.onSilence(silent, NOW_MS);
        return machine.relocation(silent, NOW_MS);
    }

    /** A silent server with an alternative must be left as early as before. */
    @Test
    void isPossibleIfAnotherServerIsFree() {
        send(Repeatability.RESUMABLE, 5);
        assertEquals(Relocation.possible(), relocation());
        assertInstanceOf(Step.Send.class, machine.onSendLost(silent, NOW_MS));
    }

    @Test
    void isImpossibleInTheLastSend() {
        send(Repeatability.RESUMABLE, 1);
        assertEquals(Relocation.impossible(), relocation());
    }

    /** A request that must not run twice would have to end. */
    @Test
    void isImpossibleIfTheRequestMustNotRunTwice() {
        send(Repeatability.MUTATING, 5);
        assertEquals(Relocation.impossible(), relocation());
    }

    @Test
    void isImpossibleAtTheDeadline() {
        send(Repeatability.RESUMABLE, 5);
        assertEquals(Relocation.impossible(), machine.relocation(silent, 25_000));
    }

    @Test
    void isImpossibleInQuarantine() {
        send(Repeatability.RESUMABLE, 5);
        rule = SendRule.REJECT;
        assertEquals(Relocation.impossible(), relocation());
    }

    @Test
    void isImpossibleDuringTheTrialOfAnother() {
        send(Repeatability.RESUMABLE, 5);
        rule = SendRule.WAIT;
        assertEquals(Relocation.impossible(), relocation());
    }

    @Test
    void isImpossibleWithoutAnotherServer() {
        send(Repeatability.RESUMABLE, 5);
        fixture.servers.removeIf(s -> !s.equals(silent));
        assertEquals(Relocation.impossible(), relocation());
    }

    /** The silent server itself must not count as the other one, after its exclusion lapsed. */
    @Test
    void doesNotCountTheSilentServer() {
        send(Repeatability.RESUMABLE, 5);
        fixture.servers.removeIf(s -> !s.equals(silent));
        assertEquals(Relocation.impossible(), machine.relocation(silent, NOW_MS));
    }

    @Test
    void needsARetryPermitBeyondTheBudget() {
        send(Repeatability.RESUMABLE, 5);
        while (fixture.retryBudgets.tryRetry(ForwardFixture.SERVICE, NOW_MS)) {
            // Exhausts the retries that the router's own requests allow.
        }
        Step permit = relocation().neededPermit().orElseThrow();
        assertInstanceOf(Step.AcquireRetryPermit.class, permit);
        machine.onRelocationPermit(permit, true, NOW_MS);
        assertEquals(Relocation.possible(), relocation());
        assertInstanceOf(Step.Send.class, machine.onSendLost(silent, NOW_MS));
    }

    @Test
    void isImpossibleWithoutRetryBudgetAndPermits() {
        send(Repeatability.RESUMABLE, 5);
        while (fixture.retryBudgets.tryRetry(ForwardFixture.SERVICE, NOW_MS)) {
            // Exhausts the retries that the router's own requests allow.
        }
        fixture.retryBudgets.suspendPermits(ForwardFixture.SERVICE, NOW_MS + 1);
        assertEquals(Relocation.impossible(), relocation());
    }

    /** Asking often must not use up the budget that other requests need. */
    @Test
    void countsNoRetry() {
        send(Repeatability.RESUMABLE, 5);
        for (int i = 0; i < 1_000; i++) {
            relocation();
        }
        assertEquals(1, machine.sendCount());
        assertTrue(fixture.retryBudgets.tryRetry(ForwardFixture.SERVICE, NOW_MS));
    }

    /** A domain whose servers fall silent together holds no other server to go on at. */
    @Test
    void isImpossibleIfTheOthersOfTheDomainAreSuspectToo() {
        fixture.servers.removeIf(s -> s.domain().value().equals("b"));
        send(Repeatability.RESUMABLE, 5);
        BackendServer other =
                fixture.servers.stream().filter(s -> !s.equals(silent)).findFirst().orElseThrow();
        fixture.health.recordLoss(other, NOW_MS);
        assertEquals(Relocation.impossible(), relocation());
        assertTrue(fixture.servers.stream().allMatch(s -> fixture.health.isDown(s, NOW_MS)));
    }
}
