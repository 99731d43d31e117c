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

/** Where a request goes when servers limit what they take. */
class LimitedServersTest {
    private final ForwardWorld world = new ForwardWorld().domain("a", 2);

    private void limit(List<BackendServer> servers) {
        servers.forEach(
                s -> world.limits.recordAnswer(s.incarnation(), AnnouncedLimit.of(5), 0, 0));
    }

    private static Step.AcquirePermit permit(Step step) {
        return assertInstanceOf(Step.AcquirePermit.class, step);
    }

    @Test
    void othersGoFirst() {
        limit(world.servers.subList(0, 1));
        for (int i = 0; i < 20; i++) {
            Step step = world.course(Repeatability.MUTATING, 1).next(0);
            assertEquals(world.servers.get(1), assertInstanceOf(Step.Send.class, step).server());
        }
    }

    @Test
    void areSentARequestOnlyWithAPermit() {
        limit(world.servers);
        RequestStateMachine course = world.course(Repeatability.MUTATING, 1);
        BackendServer server = permit(course.next(0)).server();
        Step.Send send =
                assertInstanceOf(Step.Send.class, course.onPermitDecision(server, true, 5));
        assertEquals(server, send.server());
    }

    @Test
    void areLeftForTheNextOneWhenThereIsNoPermit() {
        limit(world.servers);
        RequestStateMachine course = world.course(Repeatability.RESUMABLE, 3);
        BackendServer first = permit(course.next(0)).server();
        close(first, 400);
        BackendServer second = permit(course.onPermitDecision(first, false, 5)).server();
        assertNotEquals(first, second);
    }

    /** A booking that no server can take in time must not wait for its refusal. */
    @Test
    void refuseAtOnceWhatNoneOfThemCanTakeInTime() {
        limit(world.servers);
        RequestStateMachine course = world.course(Repeatability.MUTATING, 1);
        world.servers.forEach(s -> close(s, 3_000));
        Step.End end = assertInstanceOf(Step.End.class, course.next(0));
        assertEquals(Verdict.NOT_RUN, end.verdict());
        assertEquals(503, end.code().httpStatus());
        assertTrue(end.retryAfterMs().getAsLong() >= 3_000, "sooner there is no permit");
    }

    @Test
    void letARequestWaitForAPermitThatComesInTime() {
        limit(world.servers);
        RequestStateMachine course = world.course(Repeatability.MUTATING, 1);
        world.servers.forEach(s -> close(s, 100));
        assertInstanceOf(Step.Wait.class, course.next(0));
        permit(course.next(100));
    }

    /** A report that a caller has half of goes before new ones, and those before repeats. */
    @Test
    void takeWhatHasBegunFirst() {
        limit(world.servers);
        RequestStateMachine course = world.course(Repeatability.RESUMABLE, 3);
        Step.AcquirePermit fresh = permit(course.next(0));
        assertInstanceOf(Step.Send.class, course.onPermitDecision(fresh.server(), true, 5));
        Step.AcquirePermit again = permit(course.onRefused(10));
        assertInstanceOf(Step.Send.class, course.onPermitDecision(again.server(), true, 15));
        course.onEvent(1);
        Step.AcquirePermit begun = permit(course.onSendLost(again.server(), 20));
        assertTrue(begun.urgency() < fresh.urgency());
        assertTrue(fresh.urgency() < again.urgency());
    }

    private void close(BackendServer server, long untilMs) {
        world.limits.blockUntil(server.incarnation(), untilMs);
    }
}
