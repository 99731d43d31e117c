package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.masticweir.time.ManualScheduler;

/** Shutdown of a router within its grace period. */
class RelayShutdownTest {
    private static final long GRACE_MS = 8_000;

    /** Streams can be interrupted in the last sixth of the grace period, but not earlier. */
    private static final long LAST_SIXTH_MS = GRACE_MS - GRACE_MS / 6;

    private final ManualScheduler control = new ManualScheduler();
    private final DrainingAdmission admission = new DrainingAdmission();
    private long idleClosedAtMs;
    private long endedAtMs;
    private long answerDelayMs;
    private int inFlightAtTheEnd;
    private final RelayShutdown shutdown =
            new RelayShutdown(
                    admission,
                    this::closeIdle,
                    this::endRequests,
                    control,
                    control.clock(),
                    GRACE_MS);

    private void closeIdle() {
        idleClosedAtMs = control.clock().nowMs();
    }

    private void endRequests() {
        endedAtMs = control.clock().nowMs();
        if (answerDelayMs > 0) {
            control.at(endedAtMs + answerDelayMs, admission::requestEnded);
        }
    }

    @Test
    void completesAfterTheBalancerReactsIfNoRequestIsInFlight() {
        CompletableFuture<Void> done = shutdown.start(0);
        control.runTo(DrainingAdmission.BALANCER_DETECTION_MS - 1);
        assertFalse(done.isDone());
        control.runTo(DrainingAdmission.BALANCER_DETECTION_MS);
        assertTrue(done.isDone());
        assertFalse(admission.admits(1, DrainingAdmission.BALANCER_DETECTION_MS));
    }

    @Test
    void waitsForRequestsInFlight() {
        admission.requestStarted();
        CompletableFuture<Void> done = shutdown.start(0);
        control.runTo(5_000);
        assertFalse(done.isDone());
        admission.requestEnded();
        control.runTo(5_100);
        assertTrue(done.isDone());
        control.runTo(GRACE_MS);
        assertEquals(0, endedAtMs);
    }

    /**
     * Callers were refused on connections that they had kept open, although other routers could
     * have served them.
     */
    @Test
    void closesIdleConnectionsOnceTheBalancerSendsNewOnesElsewhere() {
        shutdown.start(0);
        control.runTo(DrainingAdmission.BALANCER_DETECTION_MS);
        assertTrue(idleClosedAtMs >= 2_000, "at " + idleClosedAtMs);
        assertTrue(idleClosedAtMs < DrainingAdmission.STREAM_ADMISSION_MS, "at " + idleClosedAtMs);
    }

    /** The process ended with a request in flight, and its caller's connection broke. */
    @Test
    void endsRequestsWithAnAnswerBeforeTheProcessEnds() {
        admission.requestStarted();
        CompletableFuture<Void> done = shutdown.start(0);
        control.runTo(GRACE_MS);
        assertTrue(done.isDone());
        assertTrue(endedAtMs >= LAST_SIXTH_MS, "at " + endedAtMs);
        assertFalse(admission.admits(1, endedAtMs));
    }

    /** The process ended before a busy thread could write the answers of the last requests. */
    @Test
    void waitsForAnswersOnALateThread() {
        answerDelayMs = 250;
        admission.requestStarted();
        CompletableFuture<Void> done = shutdown.start(0);
        done.thenRun(() -> inFlightAtTheEnd = admission.inFlightCount());
        control.runTo(GRACE_MS);
        assertTrue(done.isDone());
        assertEquals(0, inFlightAtTheEnd);
    }

    @Test
    void refusesRequestsThatMayEndLater() {
        admission.requestStarted();
        shutdown.start(0);
        long endsMs = admission.remainingMs(0);
        assertTrue(admission.admits(endsMs - 4_000 - 1, 4_000));
        assertFalse(admission.admits(endsMs - 4_000, 4_000));
        control.runTo(GRACE_MS);
        assertEquals(endsMs, endedAtMs);
    }

    /**
     * A router that received the shutdown request during its start counted the grace period from
     * the end of the start. It was killed with requests in flight that it expected to finish.
     */
    @Test
    void gracePeriodBeginsAtTheShutdownRequest() {
        admission.requestStarted();
        control.runTo(DrainingAdmission.STREAM_ADMISSION_MS);
        CompletableFuture<Void> done = shutdown.start(0);
        assertFalse(
                admission.admitsStream(OptionalLong.of(1), DrainingAdmission.STREAM_ADMISSION_MS));
        control.runTo(GRACE_MS);
        assertTrue(done.isDone());
        assertTrue(endedAtMs < GRACE_MS, "at " + endedAtMs);
    }
}
