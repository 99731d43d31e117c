package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.quarantine.SendRule;

/** The course of a request whose content has ended servers elsewhere. */
class QuarantinedCourseTest {
    private final ForwardWorld world = new ForwardWorld().domain("a", 3).domain("b", 3);

    private static Step.Send send(Step step) {
        return assertInstanceOf(Step.Send.class, step);
    }

    private static Step.End end(Step step) {
        return assertInstanceOf(Step.End.class, step);
    }

    private static final long HOLD_LEFT_MS = 60_000;

    private SendRule rule = SendRule.ANY_SERVER;

    private RequestStateMachine gated() {
        ContentPolicy gate =
                new ContentPolicy() {
                    @Override
                    public SendRule rule(long nowMs) {
                        return rule;
                    }

                    @Override
                    public OptionalLong holdLeftMs(long nowMs) {
                        return OptionalLong.of(HOLD_LEFT_MS);
                    }
                };
        return world.course(ForwardWorld.plan(Repeatability.RESUMABLE, 5), gate);
    }

    @Test
    void isRefusedAtOnceAndSaysWhenItIsTakenAgain() {
        rule = SendRule.REJECT;
        Step.End refused = end(gated().next(0));
        assertEquals(ErrorCode.QUARANTINED, refused.code());
        assertEquals(Verdict.NOT_RUN, refused.verdict());
        assertEquals(OptionalLong.of(HOLD_LEFT_MS), refused.retryAfterMs());
    }

    /** The answer must not say that a request did not run which a server had begun. */
    @Test
    void isNotCalledNotRunAfterASend() {
        RequestStateMachine course = gated();
        BackendServer first = send(course.next(0)).server();
        rule = SendRule.REJECT;
        Step.End ended = end(course.onSendLost(first, 10));
        assertEquals(ErrorCode.ENGINE_LOST, ended.code());
        assertEquals(Verdict.MAY_HAVE_RUN, ended.verdict());
        assertEquals(OptionalLong.empty(), ended.retryAfterMs());
    }

    @Test
    void waitsForWordOnItNoLongerThanForAServer() {
        rule = SendRule.WAIT;
        RequestStateMachine course = gated();
        assertInstanceOf(Step.Wait.class, course.next(0));
        assertEquals(ErrorCode.OVERLOADED, end(course.next(ForwardWorld.GOAL_MS / 2)).code());
    }

    /** Whatever runs beside it may be lost with it. */
    @Test
    void goesWhereTheLeastRuns() {
        world.servers.stream()
                .filter(s -> !s.id().value().equals("b-2"))
                .forEach(s -> world.loads.recordSend(s.incarnation(), new RequestSize(0, 100)));
        rule = SendRule.LEAST_LOADED;
        assertEquals("b-2", send(gated().next(0)).server().id().value());
    }
}
