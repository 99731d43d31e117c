package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ascii;
import java.util.Optional;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.TeamName;
import org.masticweir.error.ErrorCode;
import org.masticweir.metrics.BoundedLabels;
import org.masticweir.metrics.MetricName;
import org.masticweir.metrics.WindowedReservoir;
import org.masticweir.time.Clock;

/**
 * Counts the outcomes of requests by class, team, server, failure domain and cause; thread-safe.
 *
 * <p>A class is a route of the catalog. The number of classes, teams and servers with their own
 * time series is limited, because they are added and removed while the process runs.
 */
final class RelayMetrics {
    private static final long WINDOW_MS = 60_000;

    /**
     * Limit on the number of classes, of teams and of servers with their own time series; a series
     * takes some hundred bytes.
     */
    private static final int MAX_LABELS = 64;

    private static final String NO_TEAM = "none";

    private final MetricRegistry registry;
    private final Clock clock;
    private final BoundedLabels classLabels = BoundedLabels.of(MAX_LABELS);
    private final BoundedLabels teamLabels = BoundedLabels.of(MAX_LABELS);
    private final BoundedLabels serverLabels = BoundedLabels.of(MAX_LABELS);

    private RelayMetrics(MetricRegistry registry, Clock clock) {
        this.registry = checkNotNull(registry, "registry");
        this.clock = checkNotNull(clock, "clock");
    }

    static RelayMetrics of(MetricRegistry registry, Clock clock) {
        return new RelayMetrics(registry, clock);
    }

    /** Outcome of one send. */
    enum SendEnd {
        ANSWERED,
        REFUSED,
        BROKE_OFF,
        SILENT,
        NOT_REACHED,
        /** This router cancelled the send because its content was quarantined. */
        STOPPED
    }

    /** Returns the metrics of one request. */
    RequestMetrics request(String route, Optional<TeamName> team) {
        return new RequestMetrics(
                classLabels.shownAs(route),
                teamLabels.shownAs(team.map(TeamName::value).orElse(NO_TEAM)));
    }

    /** Counts a request that was refused before its route was known or before it was admitted. */
    void countEarlyRefusal(ErrorCode code) {
        count("requests_refused_unread_total", "outcome", lowerCaseName(code));
    }

    /**
     * Records the age of what the denial of an unknown route or key rests on, in ms.
     *
     * @param isDenied whether the request was denied; it was refused for now otherwise
     */
    void recordDenialEvidence(boolean isDenied, long ageMs) {
        histogram("denial_evidence_age_ms", "denied", isDenied ? "yes" : "no").update(ageMs);
    }

    /**
     * Counts a send to {@code server}; {@code sendCount} is the number of sends of the request,
     * including this send.
     */
    void countSend(BackendServer server, int sendCount) {
        String again = sendCount > 1 ? "yes" : "no";
        count("sends_total", "domain", server.domain().value(), "again", again);
    }

    /** Counts a send whose connection goes through another router. */
    void countTunnelledSend() {
        count("sends_tunnelled_total");
    }

    /** Counts the end of a send to {@code server}. */
    void countSendEnd(BackendServer server, SendEnd end) {
        String serverLabel = serverLabels.shownAs(server.id().value());
        count("sends_ended_total", "server", serverLabel, "cause", lowerCaseName(end));
    }

    /** Counts a request whose caller's connection ended before its answer was complete. */
    void countCut(CutReason reason) {
        count("answers_cut_total", "reason", reason.label());
    }

    /**
     * Records that a stream resumed at {@code server} after the loss of another send; {@code ms} is
     * the time since the last event.
     */
    void recordResume(BackendServer server, long ms) {
        histogram("resume_ms", "domain", server.domain().value()).update(ms);
    }

    /** Metrics of one request, labelled with its class and team. */
    final class RequestMetrics {
        private final String route;
        private final String team;

        private RequestMetrics(String route, String team) {
            this.route = route;
            this.team = team;
        }

        void recordFirstEvent(long ms) {
            histogram("first_event_ms", "class", route).update(ms);
        }

        void recordAnswer(long ms) {
            histogram("answer_ms", "class", route).update(ms);
            countEnd("answered");
        }

        void countFailure(ErrorCode code) {
            countEnd(lowerCaseName(code));
        }

        /** Counts an error answer that is not passed on because its status would be a promise. */
        void countWithheldAnswer(int status) {
            count("answers_withheld_total", "class", route, "status", Integer.toString(status));
        }

        void countCallerDisconnect() {
            countEnd("caller_left");
        }

        private void countEnd(String outcome) {
            count("requests_ended_total", "class", route, "outcome", outcome);
            count("team_requests_ended_total", "team", team, "outcome", outcome);
        }
    }

    private void count(String family, String... labels) {
        registry.counter(MetricName.of(family, labels)).inc();
    }

    private Histogram histogram(String family, String... labels) {
        return registry.histogram(
                MetricName.of(family, labels),
                () -> new Histogram(WindowedReservoir.of(clock, WINDOW_MS)));
    }

    private static String lowerCaseName(Enum<?> value) {
        return Ascii.toLowerCase(value.name());
    }
}
