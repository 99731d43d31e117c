package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;

/** What held when a request began to wait, and no longer holds when it is sent. */
class CourseWaitTest {
    private final ForwardWorld world = new ForwardWorld().domain("a", 3).domain("b", 3);

    private static Step.Send send(Step step) {
        return assertInstanceOf(Step.Send.class, step);
    }

    private void useUpOwnRepeats(long nowMs) {
        boolean left = true;
        while (left) {
            left = world.repeats.tryRetry(ForwardWorld.SERVICE, nowMs);
        }
    }

    /** Returns a stream that was lost, and asks for a permit to be sent again. */
    private RequestStateMachine asking(long nowMs) {
        RequestStateMachine course = world.course(Repeatability.RESUMABLE, 60);
        BackendServer first = send(course.next(nowMs)).server();
        course.onEvent(3);
        useUpOwnRepeats(nowMs);
        assertInstanceOf(Step.AcquireRetryPermit.class, course.onSendLost(first, nowMs));
        return course;
    }

    /** Repeats go beyond the allowance: permits of one window are used in a later one. */
    @Test
    void permitIsAskedForAgainAfterAWaitForAServer() {
        RequestStateMachine course = asking(100);
        ImmutableList<BackendServer> all = ImmutableList.copyOf(world.servers);
        world.servers.clear();
        assertInstanceOf(Step.Wait.class, course.onRetryDecision(true, 200));
        world.servers.addAll(all);
        assertInstanceOf(Step.AcquireRetryPermit.class, course.next(200 + HeldPermits.VALID_MS));
    }

    @Test
    void permitIsUsedAfterAShortWaitForAServer() {
        RequestStateMachine course = asking(100);
        ImmutableList<BackendServer> all = ImmutableList.copyOf(world.servers);
        world.servers.clear();
        assertInstanceOf(Step.Wait.class, course.onRetryDecision(true, 200));
        world.servers.addAll(all);
        send(course.next(200 + HeldPermits.VALID_MS - 1));
    }

    /** Requests reach a server long after it said that it leaves: it had been connected to. */
    @Test
    void serverThatLeavesWhileItIsConnectedToGetsNothing() {
        RequestStateMachine course = world.course(Repeatability.MUTATING, 60);
        BackendServer chosen = send(course.next(0)).server();
        assertTrue(course.mayStillSend(chosen, 1));
        world.servers.remove(chosen);
        assertFalse(course.mayStillSend(chosen, 1));
    }
}
