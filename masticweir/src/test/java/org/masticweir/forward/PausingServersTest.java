package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.error.Verdict;

/** Where a request goes when servers want no requests for a while. */
class PausingServersTest {
    private static final long PAUSE_MS = 3_000;

    private final ForwardWorld world = new ForwardWorld().domain("a", 2);

    private void pause(BackendServer server, long ms) {
        world.notices.recordPause(server.incarnation(), ms, 0);
    }

    private static BackendServer sent(Step step) {
        return assertInstanceOf(Step.Send.class, step).server();
    }

    @Test
    void othersTakeItThoughTheyAreBusy() {
        pause(world.servers.get(0), PAUSE_MS);
        world.loads.recordServerReport(world.servers.get(1).incarnation(), 96, 0);
        assertEquals(world.servers.get(1), sent(world.course(Repeatability.MUTATING, 1).next(0)));
    }

    @Test
    void theyTakeItOnceTheirTimeIsOver() {
        world.servers.forEach(s -> pause(s, 100));
        RequestStateMachine course = world.course(Repeatability.MUTATING, 1);
        assertInstanceOf(Step.Wait.class, course.next(0));
        assertInstanceOf(Step.Send.class, course.next(100));
    }

    @Test
    void itIsRefusedAtOnceWhereAllOfThemPauseForLong() {
        world.servers.forEach(s -> pause(s, PAUSE_MS));
        Step.End end =
                assertInstanceOf(Step.End.class, world.course(Repeatability.MUTATING, 1).next(0));
        assertEquals(Verdict.NOT_RUN, end.verdict());
        assertEquals(503, end.code().httpStatus());
        assertTrue(end.retryAfterMs().getAsLong() >= PAUSE_MS, "sooner none takes it");
    }

    @Test
    void itIsRefusedAtOnceWhereSomePauseAndTheOthersLeave() {
        pause(world.servers.get(0), PAUSE_MS);
        world.notices.recordLeaving(world.servers.get(1).incarnation(), 0);
        assertInstanceOf(Step.End.class, world.course(Repeatability.MUTATING, 1).next(0));
    }

    @Test
    void streamGoesOnElsewhereWhenTheHolderOfItsCopyPauses() {
        world.domain("b", 1);
        RequestStateMachine course = world.course(Repeatability.RESUMABLE, 3);
        Step.Send first = assertInstanceOf(Step.Send.class, course.next(0));
        BackendServer holder = first.copyHolder().orElseThrow();
        course.onEvent(1);
        pause(holder, PAUSE_MS);
        assertNotEquals(holder, sent(course.onSendLost(first.server(), 10)));
    }

    @Test
    void theyHoldNoCopies() {
        world.domain("b", 1);
        pause(world.byId("b-1"), PAUSE_MS);
        Optional<BackendServer> holder =
                world.placement.holder(
                        ImmutableList.copyOf(world.servers),
                        world.byId("a-1"),
                        ForwardWorld.PROMPT,
                        ForwardWorld.ENGINE,
                        0);
        assertEquals(Optional.empty(), holder);
    }

    @Test
    void theyAreNotAskedForKeptPrompts() {
        pause(world.servers.get(0), PAUSE_MS);
        Step.QueryPromptCaches ask =
                assertInstanceOf(
                        Step.QueryPromptCaches.class,
                        world.course(ForwardWorld.planOfReturn(4)).next(0));
        assertEquals(ImmutableList.of(world.servers.get(1)), ask.engines());
    }

    /** A report under way at an engine that can't be asked gets the time that a report gives. */
    @Test
    void theyGetTimeForWhatTheyHaveWithoutBeingAsked() {
        Step.Send send =
                new Step.Send(world.servers.get(0), Optional.empty(), false, OptionalLong.empty());
        SilenceTimer silence =
                SilenceTimer.of(
                        send,
                        ForwardWorld.plan(Repeatability.RESUMABLE, 5),
                        world.loads,
                        SilenceTimeouts.create(),
                        0);
        long dueMs = silence.deadlineMs();
        assertTrue(silence.needsAction(world.health, dueMs));
        silence.restart(dueMs);
        assertEquals(2 * dueMs, silence.deadlineMs());
    }
}
