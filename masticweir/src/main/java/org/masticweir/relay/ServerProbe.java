package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceSpec;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpOutcome;
import org.masticweir.path.ServerCaller;
import org.masticweir.permits.SharedLimits;
import org.masticweir.time.Clock;

/**
 * Determines whether a server ended or only a connection to it broke; owned by the traffic thread.
 *
 * <p>A broken connection does not show that the server ended: a reset, a corrupt answer or a lost
 * packet breaks it too. A server that is alive answers the probe at once. Concurrent probes of the
 * same incarnation share their calls.
 */
final class ServerProbe {
    private static final Logger LOG = LogManager.getLogger(ServerProbe.class);

    /**
     * Timeout of a probe with all its calls, in ms: one round trip and the response time of a busy
     * server. Requests wait for the result.
     */
    private static final long TIMEOUT_MS = 300;

    /**
     * Limit on the calls of one probe: the first call may use a pooled connection that is broken,
     * too.
     */
    private static final int MAX_CALLS = 2;

    private final ServerCaller serverCaller;
    private final PlatformProtocol protocol;
    private final SharedLimits limits;
    private final AnswerMetadataRecorder metadataRecorder;
    private final Clock clock;
    private final Map<ServerIncarnation, List<Consumer<Result>>> pendingCallbacks = new HashMap<>();

    /** Result of a probe. */
    enum Result {
        ENDED,
        LIVES,
        /** The server does not accept connections. */
        UNREACHED,
        /** The probe was not conclusive. */
        UNKNOWN,
        /** The server answers, but its answer exceeds a limit or does not end. */
        UNREADABLE,
        /** The server pauses, or has nothing that can be called. */
        NOT_PROBED
    }

    ServerProbe(
            ServerCaller serverCaller,
            PlatformProtocol protocol,
            SharedLimits limits,
            AnswerMetadataRecorder metadataRecorder,
            Clock clock) {
        this.serverCaller = checkNotNull(serverCaller, "serverCaller");
        this.protocol = checkNotNull(protocol, "protocol");
        this.limits = checkNotNull(limits, "limits");
        this.metadataRecorder = checkNotNull(metadataRecorder, "metadataRecorder");
        this.clock = checkNotNull(clock, "clock");
    }

    /** Calls {@code callback} once with the result of a probe of {@code server}. */
    void probe(BackendServer server, Optional<Catalog> catalog, Consumer<Result> callback) {
        List<Consumer<Result>> waitingCallbacks = pendingCallbacks.get(server.incarnation());
        if (waitingCallbacks != null) {
            waitingCallbacks.add(callback);
            return;
        }
        Optional<ServiceSpec> spec = catalog.flatMap(c -> c.service(server.service()));
        Optional<HttpCall> call = spec.flatMap(s -> callTo(server, s));
        if (call.isEmpty() || metadataRecorder.isPausing(server.incarnation())) {
            callback.accept(Result.NOT_PROBED);
            return;
        }
        List<Consumer<Result>> callbacks = new ArrayList<>(List.of(callback));
        pendingCallbacks.put(server.incarnation(), callbacks);
        call(server, call.get(), spec.get().engine().isPresent(), 1, clock.nowMs() + TIMEOUT_MS);
    }

    private void call(
            BackendServer server,
            HttpCall call,
            boolean isEngine,
            int callNumber,
            long deadlineMs) {
        limits.recordProbe(server.incarnation());
        long timeoutMs = Math.max(1, deadlineMs - clock.nowMs());
        serverCaller
                .call(server, call, timeoutMs)
                .thenAccept(o -> onOutcome(server, call, isEngine, callNumber, deadlineMs, o));
    }

    /**
     * Calls again, or reports the result. A failure of this process is reported as inconclusive:
     * requests wait for the result, and later probes of the incarnation share it.
     */
    private void onOutcome(
            BackendServer server,
            HttpCall call,
            boolean isEngine,
            int callNumber,
            long deadlineMs,
            HttpOutcome outcome) {
        Result result = Result.UNKNOWN;
        try {
            metadataRecorder.recordCall(server.incarnation(), outcome);
            if (isRepeated(outcome, callNumber, deadlineMs)) {
                call(server, call, isEngine, callNumber + 1, deadlineMs);
                return;
            }
            result = toResult(server, isEngine, outcome);
        } catch (RuntimeException e) {
            LOG.error("relay: probe of {} failed with an internal error", server.id(), e);
        }
        Result reported = result;
        pendingCallbacks.remove(server.incarnation()).forEach(c -> c.accept(reported));
    }

    /** Returns whether to call again: only a connection broke, and time is left. */
    private boolean isRepeated(HttpOutcome outcome, int callNumber, long deadlineMs) {
        return outcome instanceof HttpOutcome.MayHaveBeenSent
                && !outcome.showsAnsweringPeer()
                && callNumber < MAX_CALLS
                && clock.nowMs() < deadlineMs;
    }

    private Optional<HttpCall> callTo(BackendServer server, ServiceSpec spec) {
        if (spec.engine().isPresent()) {
            return Optional.of(protocol.engineProbeCall(server));
        }
        return spec.healthPath().isEmpty()
                ? Optional.empty()
                : Optional.of(protocol.healthProbeCall(server, spec.healthPath()));
    }

    private Result toResult(BackendServer server, boolean isEngine, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered) {
            boolean isOtherServer = protocol.isWrongServerStatus(answered.answer().status());
            boolean isOtherIncarnation =
                    isEngine
                            && EngineStatusProbe.parseReport(protocol, outcome)
                                    .filter(r -> !r.isFrom(server.incarnation()))
                                    .isPresent();
            return isOtherServer || isOtherIncarnation ? Result.ENDED : Result.LIVES;
        }
        if (outcome.showsAnsweringPeer()) {
            return Result.UNREADABLE;
        }
        boolean isNotReached = outcome instanceof HttpOutcome.NeverSent && !outcome.isWithheld();
        return isNotReached ? Result.UNREACHED : Result.UNKNOWN;
    }
}
