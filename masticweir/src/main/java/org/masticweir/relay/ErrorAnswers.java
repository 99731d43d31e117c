package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.RequestStateMachine;
import org.masticweir.forward.Step;
import org.masticweir.http.HttpHead;

/** Decides what follows an error answer to one request; runs on the traffic thread. */
final class ErrorAnswers {
    private static final int FIRST_SERVER_ERROR = 500;

    private final PlatformProtocol protocol;
    private final RequestStateMachine machine;
    private final RequestLog log;
    private final RelayMetrics.RequestMetrics metrics;

    ErrorAnswers(
            PlatformProtocol protocol,
            RequestStateMachine machine,
            RequestLog log,
            RelayMetrics.RequestMetrics metrics) {
        this.protocol = checkNotNull(protocol, "protocol");
        this.machine = checkNotNull(machine, "machine");
        this.log = checkNotNull(log, "log");
        this.metrics = checkNotNull(metrics, "metrics");
    }

    /**
     * Returns the step that replaces an answer of {@code server}; empty if the answer is passed on.
     *
     * <p>If the caller would take the status as the promise that the request has not run, the
     * answer to a request that must not run twice is replaced by an error that promises nothing.
     */
    Optional<Step> stepAfter(HttpHead answer, BackendServer server, long sentMs, long nowMs) {
        if (protocol.promisesNotRun(answer.status())) {
            Optional<Step.End> end = machine.onUnprovenRefusal();
            if (end.isPresent()) {
                metrics.countWithheldAnswer(answer.status());
                log.logWithheldAnswer(server, answer.status(), sentMs);
                return Optional.of(end.get());
            }
        }
        return answer.status() >= FIRST_SERVER_ERROR
                ? machine.onErrorAnswer(nowMs)
                : Optional.empty();
    }
}
