package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.quarantine.Quarantine;
import org.masticweir.quarantine.SendRule;

/** Tests requests with content that has ended servers. */
class QuarantinedRequestTest {
    private final ForwardFixture fixture = new ForwardFixture().domain("a", 3).domain("b", 3);

    private static Step.Send asSend(Step step) {
        return assertInstanceOf(Step.Send.class, step);
    }

    private static Step.End asEnd(Step step) {
        return assertInstanceOf(Step.End.class, step);
    }

    private static final long REMAINING_QUARANTINE_MS = 60_000;

    private SendRule rule = SendRule.ANY_SERVER;

    private RequestStateMachine requestUnderRule() {
        ContentPolicy gate =
                new ContentPolicy() {
                    @Override
                    public SendRule rule(long nowMs) {
                        return rule;
                    }

                    @Override
                    public OptionalLong remainingQuarantineMs(long nowMs) {
                        return OptionalLong.of(REMAINING_QUARANTINE_MS);
                    }

                    @Override
                    public String describeQuarantined(long nowMs) {
                        return "part p";
                    }
                };
        return fixture.stateMachine(ForwardFixture.parameters(Repeatability.RESUMABLE, 5), gate);
    }

    @Test
    void isRefusedAtOnceWithRetryAfter() {
        rule = SendRule.REJECT;
        Step.End refused = asEnd(requestUnderRule().next(0));
        assertEquals(ErrorCode.QUARANTINED, refused.code());
        assertEquals(Verdict.NOT_RUN, refused.verdict());
        assertEquals(OptionalLong.of(REMAINING_QUARANTINE_MS), refused.retryAfterMs());
        assertEquals("servers ended under this content, part p", refused.reason());
    }

    /** A request that a server may have started must not be reported as not run. */
    @Test
    void mayHaveRunAfterSend() {
        RequestStateMachine machine = requestUnderRule();
        BackendServer first = asSend(machine.next(0)).server();
        rule = SendRule.REJECT;
        Step.End ended = asEnd(machine.onSendLost(first, 10));
        assertEquals(ErrorCode.ENGINE_LOST, ended.code());
        assertEquals(Verdict.MAY_HAVE_RUN, ended.verdict());
        assertEquals(OptionalLong.empty(), ended.retryAfterMs());
    }

    @Test
    void waitsForTrialNoLongerThanForServer() {
        rule = SendRule.WAIT;
        RequestStateMachine machine = requestUnderRule();
        assertInstanceOf(Step.Wait.class, machine.next(0));
        assertEquals(ErrorCode.OVERLOADED, asEnd(machine.next(ForwardFixture.GOAL_MS / 2)).code());
    }

    /** Guards against a caller that returns while the trial is still running. */
    @Test
    void isToldToReturnAfterTheTrial() {
        rule = SendRule.WAIT;
        Step.End refused = asEnd(requestUnderRule().next(ForwardFixture.GOAL_MS / 2));
        assertEquals(Verdict.NOT_RUN, refused.verdict());
        assertTrue(refused.retryAfterMs().orElseThrow() >= Quarantine.TRIAL_MS);
    }

    /** Guards against a request that is refused at once because its first send took long. */
    @Test
    void waitsForTrialAfterALongSend() {
        RequestStateMachine machine = requestUnderRule();
        BackendServer first = asSend(machine.next(0)).server();
        rule = SendRule.WAIT;
        assertInstanceOf(Step.Wait.class, machine.onSendLost(first, ForwardFixture.GOAL_MS));
        Step.End ended = asEnd(machine.next(ForwardFixture.GOAL_MS * 3 / 2));
        assertEquals(ErrorCode.ENGINE_LOST, ended.code());
        assertEquals(Verdict.MAY_HAVE_RUN, ended.verdict());
    }

    /** Guards against a stream that waits for the trials of others until its deadline. */
    @Test
    void doesNotWaitUntilItsDeadlineWithAPartlyDeliveredAnswer() {
        RequestStateMachine machine = requestUnderRule();
        BackendServer first = asSend(machine.next(0)).server();
        machine.onEvent(1);
        rule = SendRule.WAIT;
        assertInstanceOf(Step.Wait.class, machine.onSendLost(first, 1_000));
        assertInstanceOf(Step.Wait.class, machine.next(1_000 + ForwardFixture.GOAL_MS - 1));
        assertEquals(
                ErrorCode.ENGINE_LOST, asEnd(machine.next(1_000 + ForwardFixture.GOAL_MS)).code());
    }

    /** If the content ends another server, the requests at that server are lost too. */
    @Test
    void goesToLeastLoadedServer() {
        fixture.servers.stream()
                .filter(s -> !s.id().value().equals("b-2"))
                .forEach(s -> fixture.loads.recordSend(s.incarnation(), new RequestSize(0, 100)));
        rule = SendRule.LEAST_LOADED;
        assertEquals("b-2", asSend(requestUnderRule().next(0)).server().id().value());
    }
}
