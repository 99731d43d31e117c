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
import org.masticweir.permits.SharedRooms;
import org.masticweir.time.Clock;

/**
 * Records the states that servers announce in the headers of their answers, and logs and counts
 * each new announcement; owned by the traffic thread.
 */
final class AnswerMetadataRecorder {
    private static final Logger LOG = LogManager.getLogger(AnswerMetadataRecorder.class);

    private final ServerNotices notices;
    private final SharedLimits limits;
    private final SharedRooms rooms;
    private final PlatformProtocol protocol;
    private final Clock clock;
    private final Counter leavingCounter;
    private final Counter pauseCounter;

    AnswerMetadataRecorder(
            ServerNotices notices,
            SharedLimits limits,
            SharedRooms rooms,
            PlatformProtocol protocol,
            Clock clock,
            MetricRegistry metrics) {
        this.notices = checkNotNull(notices, "notices");
        this.limits = checkNotNull(limits, "limits");
        this.rooms = checkNotNull(rooms, "rooms");
        this.protocol = checkNotNull(protocol, "protocol");
        this.clock = checkNotNull(clock, "clock");
        leavingCounter = metrics.counter(MetricName.of("servers_said_leaving_total"));
        pauseCounter = metrics.counter(MetricName.of("server_pauses_total"));
    }

    /**
     * Records the metadata of an answer to a request.
     *
     * @param request id of the request, for the log
     * @param sentMs when the request was sent
     */
    void recordAnswer(
            ServerIncarnation server, AnswerMetadata metadata, String request, long sentMs) {
        limits.handleAnswer(server, metadata.limit(), request, sentMs);
        rooms.handleAnswer(server, metadata.rejections(), sentMs);
        recordAnnouncements(server, metadata, request);
    }

    /** Records the outcome of a call that queries a server's state or its cached prompts. */
    void recordCall(ServerIncarnation server, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered) {
            HttpAnswer answer = answered.answer();
            HttpHead head = new HttpHead(answer.status(), HttpHeaders.copyOf(answer.headers()));
            AnswerMetadata metadata = protocol.parseAnswerMetadata(head);
            if (!metadata.isWrongServer()) {
                recordAnnouncements(server, metadata, "a call for its state");
            }
        }
    }

    /** Returns whether a server has announced a pause that has not ended. */
    boolean isPausing(ServerIncarnation server) {
        return notices.remainingPauseMs(server, clock.nowMs()) > 0;
    }

    private void recordAnnouncements(
            ServerIncarnation server, AnswerMetadata metadata, String request) {
        if (metadata.isLeaving() && notices.recordLeaving(server, clock.nowMs())) {
            leavingCounter.inc();
            LOG.info("notices: {} leaves, answer to {}", server, request);
        }
        metadata.pauseMs().ifPresent(ms -> recordPause(server, ms, request));
    }

    private void recordPause(ServerIncarnation server, long ms, String request) {
        if (notices.recordPause(server, ms, clock.nowMs())) {
            pauseCounter.inc();
            LOG.info("notices: {} takes nothing for {} ms, answer to {}", server, ms, request);
        }
    }
}
