package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.masticweir.time.ManualScheduler;

/** Shutdown of a router under random requests, with shutdown requests that are received late. */
class ShutdownSchedulePropertyTest {
    private static final long GRACE_MS = 8_000;

    /** Time after the shutdown request until which the platform tolerates an interrupted stream. */
    private static final long TOLERATED_MS = 3_000;

    /**
     * Longest delay until the router receives the shutdown request, in ms; part of the time of a
     * startup.
     */
    private static final int MAX_DELAY_MS = 2_000;

    /**
     * A request.
     *
     * @param expectedMs expected duration, as of a similar stream; ignored if it has a timeout
     * @param takesMs duration; limited to the timeout
     */
    record Arrival(long atMs, boolean stream, long timeoutMs, long expectedMs, long takesMs) {
        long endsMs() {
            return atMs + (stream ? takesMs : Math.min(takesMs, timeoutMs));
        }
    }

    @Provide
    Arbitrary<Arrival> arrivals() {
        return Combinators.combine(
                        Arbitraries.longs().between(0, GRACE_MS),
                        Arbitraries.of(true, false),
                        Arbitraries.longs().between(1, 5_000),
                        Arbitraries.longs().between(1, 8_000),
                        Arbitraries.longs().between(1, 25_000))
                .as(Arrival::new);
    }

    /**
     * One router from the shutdown request to its end; time is relative to the shutdown request.
     */
    private static final class Simulation {
        private final ManualScheduler control = new ManualScheduler();
        private final DrainingAdmission admission = new DrainingAdmission();
        private final Set<Arrival> inFlight = new HashSet<>();
        private final List<Arrival> interruptedRequests = new ArrayList<>();
        private final RelayShutdown shutdown =
                new RelayShutdown(
                        admission, () -> {}, this::endRequests, control, control.clock(), GRACE_MS);
        private CompletableFuture<Void> shutdownFuture = new CompletableFuture<>();
        private long doneAtMs = Long.MAX_VALUE;

        void run(List<Arrival> arrivals, long requestedMs) {
            arrivals.forEach(a -> control.at(a.atMs(), () -> handleArrival(a)));
            control.at(requestedMs, this::startShutdown);
            control.runTo(GRACE_MS);
        }

        private void startShutdown() {
            shutdownFuture = shutdown.start(0);
            shutdownFuture.thenRun(() -> doneAtMs = control.clock().nowMs());
        }

        private void handleArrival(Arrival arrival) {
            long now = control.clock().nowMs();
            boolean taken =
                    arrival.stream()
                            ? admission.admitsStream(OptionalLong.of(arrival.expectedMs()), now)
                            : admission.admits(arrival.timeoutMs(), now);
            if (taken && !shutdownFuture.isDone()) {
                admission.requestStarted();
                inFlight.add(arrival);
                control.at(Math.max(now, arrival.endsMs()), () -> end(arrival));
            }
        }

        private void end(Arrival arrival) {
            if (inFlight.remove(arrival)) {
                admission.requestEnded();
            }
        }

        private void endRequests() {
            interruptedRequests.addAll(inFlight);
            List.copyOf(inFlight).forEach(this::end);
        }
    }

    @Property(tries = 500)
    void endOfTheProcessInterruptsNoRequest(
            @ForAll List<@From("arrivals") Arrival> arrivals,
            @ForAll @IntRange(max = MAX_DELAY_MS) int requestedMs) {
        Simulation simulation = new Simulation();
        simulation.run(arrivals, requestedMs);
        assertTrue(simulation.doneAtMs < GRACE_MS, "done at " + simulation.doneAtMs);
        assertEquals(Set.of(), simulation.inFlight);
    }

    /** A stream that arrived early may be interrupted. No other request is interrupted. */
    @Property(tries = 500)
    void onlyEarlyStreamsAreInterrupted(
            @ForAll List<@From("arrivals") Arrival> arrivals,
            @ForAll @IntRange(max = MAX_DELAY_MS) int requestedMs) {
        Simulation simulation = new Simulation();
        simulation.run(arrivals, requestedMs);
        for (Arrival interrupted : simulation.interruptedRequests) {
            assertTrue(interrupted.stream(), interrupted + " had a timeout");
            assertTrue(interrupted.atMs() <= TOLERATED_MS, interrupted + " arrived late");
        }
    }

    /** A booking was interrupted in the millisecond in which its timeout would have expired. */
    @Test
    void requestWhoseTimeoutMeetsTheEndIsRefused() {
        Simulation simulation = new Simulation();
        simulation.run(List.of(new Arrival(7_297, false, 203, 1, 203)), 0);
        assertEquals(List.of(), simulation.interruptedRequests);
    }
}
