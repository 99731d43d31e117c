package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.forward.ServerNotices;
import org.masticweir.http.HttpAnswer;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpHeaders;
import org.masticweir.http.HttpOutcome;
import org.masticweir.metrics.MetricName;
import org.masticweir.permits.SharedLimits;
import org.masticweir.time.Clock;

/**
 * Takes what servers say of themselves in the heads of their answers, with a log line and a count
 * for what is new; owned by the traffic thread.
 */
final class AnswerMetadataRecorder {
    private static final Logger LOG = LogManager.getLogger(AnswerMetadataRecorder.class);

    private final ServerNotices notices;
    private final SharedLimits limits;
    private final PlatformProtocol dialect;
    private final Clock clock;
    private final Counter leaving;
    private final Counter pauses;

    AnswerMetadataRecorder(
            ServerNotices notices,
            SharedLimits limits,
            PlatformProtocol dialect,
            Clock clock,
            MetricRegistry metrics) {
        this.notices = checkNotNull(notices, "notices");
        this.limits = checkNotNull(limits, "limits");
        this.dialect = checkNotNull(dialect, "dialect");
        this.clock = checkNotNull(clock, "clock");
        leaving = metrics.counter(MetricName.of("servers_said_leaving_total"));
        pauses = metrics.counter(MetricName.of("server_pauses_total"));
    }

    /**
     * A server answered a request.
     *
     * @param request the request it answered, for the log
     * @param sentMs when that request left
     */
    void heard(ServerIncarnation server, AnswerMetadata word, String request, long sentMs) {
        limits.handleAnswer(server, word.limit(), request, sentMs);
        take(server, word, request);
    }

    /** A server was called for its state, or for what it keeps. */
    void called(ServerIncarnation server, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered) {
            HttpAnswer answer = answered.answer();
            HttpHead head = new HttpHead(answer.status(), HttpHeaders.copyOf(answer.headers()));
            AnswerMetadata word = dialect.parseAnswerMetadata(head);
            if (!word.isWrongServer()) {
                take(server, word, "a call for its state");
            }
        }
    }

    /** Returns whether a server wants no calls now. */
    boolean isPausing(ServerIncarnation server) {
        return notices.remainingPauseMs(server, clock.nowMs()) > 0;
    }

    private void take(ServerIncarnation server, AnswerMetadata word, String request) {
        if (word.isLeaving() && notices.recordLeaving(server, clock.nowMs())) {
            leaving.inc();
            LOG.info("notices: {} leaves, answer to {}", server, request);
        }
        word.pauseMs().ifPresent(ms -> pause(server, ms, request));
    }

    private void pause(ServerIncarnation server, long ms, String request) {
        if (notices.recordPause(server, ms, clock.nowMs())) {
            pauses.inc();
            LOG.info("notices: {} takes nothing for {} ms, answer to {}", server, ms, request);
        }
    }
}
