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

/** Tests server selection when servers announce a pause. */
class PausingServersTest {
    private static final long PAUSE_MS = 3_000;

    private final ForwardFixture fixture = new ForwardFixture().domain("a", 2);

    private void announcePause(BackendServer server, long ms) {
        fixture.notices.recordPause(server.incarnation(), ms, 0);
    }

    private static BackendServer selectedServer(Step step) {
        return assertInstanceOf(Step.Send.class, step).server();
    }

    @Test
    void otherServersAreUsedEvenIfBusy() {
        announcePause(fixture.servers.get(0), PAUSE_MS);
        fixture.loads.recordServerReport(fixture.servers.get(1).incarnation(), 96, 0);
        assertEquals(
                fixture.servers.get(1),
                selectedServer(fixture.stateMachine(Repeatability.MUTATING, 1).next(0)));
    }

    @Test
    void requestWaitsForEndOfShortPause() {
        fixture.servers.forEach(s -> announcePause(s, 100));
        RequestStateMachine machine = fixture.stateMachine(Repeatability.MUTATING, 1);
        assertInstanceOf(Step.Wait.class, machine.next(0));
        assertInstanceOf(Step.Send.class, machine.next(100));
    }

    @Test
    void requestIsRefusedAtOnceIfAllPauseForLong() {
        fixture.servers.forEach(s -> announcePause(s, PAUSE_MS));
        Step.End end =
                assertInstanceOf(
                        Step.End.class, fixture.stateMachine(Repeatability.MUTATING, 1).next(0));
        assertEquals(Verdict.NOT_RUN, end.verdict());
        assertEquals(503, end.code().httpStatus());
        assertTrue(end.retryAfterMs().getAsLong() >= PAUSE_MS, "no server accepts it earlier");
    }

    @Test
    void requestIsRefusedAtOnceIfSomePauseAndOthersLeave() {
        announcePause(fixture.servers.get(0), PAUSE_MS);
        fixture.notices.recordLeaving(fixture.servers.get(1).incarnation(), 0);
        assertInstanceOf(Step.End.class, fixture.stateMachine(Repeatability.MUTATING, 1).next(0));
    }

    @Test
    void streamResumesElsewhereIfCopyHolderPauses() {
        fixture.domain("b", 1);
        RequestStateMachine machine = fixture.stateMachine(Repeatability.RESUMABLE, 3);
        Step.Send first = assertInstanceOf(Step.Send.class, machine.next(0));
        BackendServer holder = first.copyHolder().orElseThrow();
        machine.onEvent(1);
        announcePause(holder, PAUSE_MS);
        assertNotEquals(holder, selectedServer(machine.onSendLost(first.server(), 10)));
    }

    @Test
    void copyIsNotPlacedOnPausingServer() {
        fixture.domain("b", 1);
        announcePause(fixture.byId("b-1"), PAUSE_MS);
        Optional<BackendServer> holder =
                fixture.selector.selectCopyHolder(
                        ImmutableList.copyOf(fixture.servers),
                        fixture.byId("a-1"),
                        ForwardFixture.PROMPT,
                        ForwardFixture.ENGINE,
                        0);
        assertEquals(Optional.empty(), holder);
    }

    @Test
    void pausingServerIsNotQueriedForCachedPrompt() {
        announcePause(fixture.servers.get(0), PAUSE_MS);
        Step.QueryPromptCaches ask =
                assertInstanceOf(
                        Step.QueryPromptCaches.class,
                        fixture.stateMachine(ForwardFixture.parametersOfReturningCaller(4))
                                .next(0));
        assertEquals(ImmutableList.of(fixture.servers.get(1)), ask.engines());
    }

    /**
     * A pausing engine can't be probed. The silence timer of a report at this engine restarts, as
     * after an engine's report.
     */
    @Test
    void silenceTimerRestartsWithoutProbe() {
        Step.Send send =
                new Step.Send(
                        fixture.servers.get(0), Optional.empty(), false, OptionalLong.empty());
        SilenceTimer silence =
                SilenceTimer.of(
                        send,
                        ForwardFixture.parameters(Repeatability.RESUMABLE, 5),
                        fixture.loads,
                        SilenceTimeouts.create(),
                        0);
        long dueMs = silence.deadlineMs();
        assertTrue(silence.needsAction(fixture.health, dueMs));
        silence.restart(dueMs);
        assertEquals(2 * dueMs, silence.deadlineMs());
    }
}
