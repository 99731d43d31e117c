package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;

/** Refusals of servers that do not state that the request has not run. */
class UnprovenRefusalTest {
    private final ForwardFixture fixture = new ForwardFixture().domain("a", 3).domain("b", 3);

    private static Step.Send asSend(Step step) {
        return assertInstanceOf(Step.Send.class, step);
    }

    private static Step.End asEnd(Step step) {
        return assertInstanceOf(Step.End.class, step);
    }

    /**
     * Guards against the promise that a booking was not made, after a server that may have made it
     * failed.
     */
    @Test
    void refusalThatProvesNothingEndsWhatMustNotRunTwice() {
        RequestStateMachine booking = fixture.stateMachine(Repeatability.MUTATING, 60);
        asSend(booking.next(0));
        Step.End end = booking.onUnprovenRefusal().orElseThrow();
        assertEquals(ErrorCode.ENGINE_LOST, end.code());
        assertEquals(Verdict.MAY_HAVE_RUN, end.verdict());
        RequestStateMachine lookup = fixture.stateMachine(Repeatability.IDEMPOTENT, 60);
        asSend(lookup.next(0));
        assertEquals(Optional.empty(), lookup.onUnprovenRefusal());
    }

    /** Guards against a second run after another server at the address may have run a booking. */
    @Test
    void wrongServerThatProvesNothingEndsWhatMustNotRunTwice() {
        RequestStateMachine booking = fixture.stateMachine(Repeatability.MUTATING, 60);
        BackendServer gone = asSend(booking.next(0)).server();
        Step.End end = asEnd(booking.onWrongServer(gone, false, 0));
        assertEquals(ErrorCode.ENGINE_LOST, end.code());
        assertEquals(Verdict.MAY_HAVE_RUN, end.verdict());
        RequestStateMachine lookup = fixture.stateMachine(Repeatability.IDEMPOTENT, 60);
        BackendServer left = asSend(lookup.next(0)).server();
        assertNotEquals(left, asSend(lookup.onWrongServer(left, false, 0)).server());
        assertEquals(2, lookup.sendCount());
    }
}
