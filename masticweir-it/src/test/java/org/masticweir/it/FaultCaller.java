package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.time.Clock;

/**
 * A caller of a generation that comes back through the next router when its connection is lost.
 *
 * <p>It comes back with the last event that it has, or submits the same key again when it has none
 * or nobody knows the request any more. Of a connection that is silent for long it keeps hold, as
 * the router behind it may wake, and reads the answer from its start elsewhere. One thread uses it.
 */
final class FaultCaller {
    /** Longest that a call may take from its first submission to its last word. */
    static final long BOUND_MS = 25_000;

    /** Words after which a caller goes to another router, having been given no end. */
    private static final ImmutableSet<String> GO_ELSEWHERE =
            ImmutableSet.of("SUPERSEDED", "SHUTTING_DOWN", "NO_CONFIGURATION");

    private static final long PATIENCE_MS = 2_500;
    private static final long POLL_MS = 50;
    private static final long BETWEEN_TRIES_MS = 100;
    private static final Clock CLOCK = Clock.system();

    private final FaultFleet fleet;
    private final FaultPlan.Work work;
    private final CallRequest request;
    private final boolean sole;
    private final long startedAtMs = CLOCK.nowMs();
    private final List<Connection> connections = new ArrayList<>();
    private int router;

    /**
     * Creates the caller of {@code request}.
     *
     * @param sole whether nobody else submits the key, so that the first submission may say so
     */
    FaultCaller(
            FaultFleet fleet, FaultPlan.Work work, CallRequest request, int router, boolean sole) {
        this.fleet = checkNotNull(fleet, "fleet");
        this.work = checkNotNull(work, "work");
        this.request = checkNotNull(request, "request");
        this.router = router;
        this.sole = sole;
    }

    /** One connection under way or ended. */
    private record Connection(
            String router,
            boolean submitted,
            int from,
            AtomicInteger seen,
            CompletableFuture<CallRecord> done) {
        Optional<CallPart> part() {
            return done.isDone()
                    ? Optional.of(CallPart.of(router, submitted, from, done.join()))
                    : Optional.empty();
        }
    }

    /** Makes the call; returns whether it had a last word within the bound. */
    boolean run() {
        Connection now = submit();
        while (CLOCK.nowMs() - startedAtMs < BOUND_MS) {
            Optional<CallPart> part = await(now);
            if (part.isPresent() && isLastWord(part.get())) {
                return true;
            }
            Await.elapse(BETWEEN_TRIES_MS);
            router = (router + 1) % fleet.routers().size();
            now = part.map(this::afterEnd).orElseGet(() -> read(""));
        }
        return false;
    }

    /** Returns what came on all connections so far, of a call that ended at {@code endedAtMs}. */
    CallTrace trace(boolean ended, long endedAtMs) {
        ImmutableList.Builder<CallPart> parts = ImmutableList.builder();
        ImmutableList.Builder<String> unended = ImmutableList.builder();
        for (Connection connection : connections) {
            connection
                    .part()
                    .ifPresentOrElse(
                            parts::add,
                            () -> unended.add(connection.router() + " " + connection.seen()));
        }
        return new CallTrace(
                work, request, parts.build(), ended, unended.build(), startedAtMs, endedAtMs);
    }

    /** Returns once every connection has ended, those too that the caller has left behind. */
    void awaitAllEnded(long boundMs) {
        long dueMs = CLOCK.nowMs() + boundMs;
        while (CLOCK.nowMs() < dueMs && connections.stream().anyMatch(c -> !c.done().isDone())) {
            Await.elapse(POLL_MS);
        }
    }

    private boolean isLastWord(CallPart part) {
        if (part.broken()) {
            return false;
        }
        boolean unknown = !part.submitted() && part.code().equals("NOT_FOUND");
        return !GO_ELSEWHERE.contains(part.code()) && !(unknown && request.idempotent());
    }

    private Connection afterEnd(CallPart part) {
        if (part.code().equals("NOT_FOUND") && request.idempotent()) {
            return submit();
        }
        if (!part.tokens().isEmpty()) {
            return read(part.lastEventId());
        }
        return part.submitted() || part.from() == 0 ? submit() : read(lastEventId());
    }

    /** Returns the last event that came on any connection which asked for the latest answer. */
    private String lastEventId() {
        for (int i = connections.size() - 1; i >= 0; i--) {
            Optional<CallPart> part = connections.get(i).part();
            if (part.isPresent() && !part.get().tokens().isEmpty()) {
                return part.get().lastEventId();
            }
        }
        return "";
    }

    private Connection submit() {
        FleetRouter to = fleet.routers().get(router);
        AtomicInteger seen = new AtomicInteger();
        boolean first = sole && connections.isEmpty();
        CompletableFuture<CallRecord> done =
                first
                        ? fleet.caller().submitFirst(to.callers(), request, seen::set)
                        : fleet.caller().submit(to.callers(), request, seen::set);
        return add(new Connection(to.id(), true, 0, seen, done));
    }

    private Connection read(String lastEventId) {
        FleetRouter to = fleet.routers().get(router);
        int from =
                lastEventId.isEmpty()
                        ? 0
                        : 1 + Integer.parseInt(lastEventId.substring(lastEventId.indexOf(':') + 1));
        AtomicInteger seen = new AtomicInteger();
        return add(
                new Connection(
                        to.id(),
                        false,
                        from,
                        seen,
                        fleet.caller().readAgain(to.callers(), request, lastEventId, seen::set)));
    }

    private Connection add(Connection connection) {
        connections.add(connection);
        return connection;
    }

    /** Returns the connection's end; empty when it was silent for too long. */
    private static Optional<CallPart> await(Connection connection) {
        long heardAtMs = CLOCK.nowMs();
        int seen = connection.seen().get();
        while (CLOCK.nowMs() - heardAtMs < PATIENCE_MS) {
            try {
                connection.done().get(POLL_MS, MILLISECONDS);
                return connection.part();
            } catch (TimeoutException e) {
                if (connection.seen().get() != seen) {
                    seen = connection.seen().get();
                    heardAtMs = CLOCK.nowMs();
                }
            } catch (InterruptedException | java.util.concurrent.ExecutionException e) {
                throw new AssertionError("call of a connection", e);
            }
        }
        return Optional.empty();
    }
}
