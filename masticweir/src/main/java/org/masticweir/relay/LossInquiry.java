package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.quarantine.Loss;
import org.masticweir.quarantine.RequestContent;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.relay.ServerProbe.Result;
import org.masticweir.time.Clock;

/**
 * Decides whether the loss of a server is attributed to the contents that it ran; owned by the
 * traffic thread.
 *
 * <p>The loss is attributed to contents only if the server has certainly ended. There are three
 * such cases: the server broke the connection and then refuses new connections, another incarnation
 * has its address, or its entry lapses.
 *
 * <p>There is one inquiry for each incarnation. All runs that had just begun there may have caused
 * the loss, not only the run whose connection broke first.
 */
final class LossInquiry {
    private static final Logger LOG = LogManager.getLogger(LossInquiry.class);

    /**
     * Time for which the entry of a silent server is watched, in ms: more than three heartbeats.
     */
    private static final long WATCH_MS = 10_000;

    /** Limit on the number of silent servers whose entries are watched. */
    private static final int MAX_SILENT_SERVERS = 1_024;

    /**
     * Time for which inconclusive probes after a broken connection are repeated, in ms. A process
     * that is ending may still accept connections, and then break them.
     */
    private static final long REPEAT_WINDOW_MS = 250;

    /** Time between two such probes, in ms. */
    private static final long REPEAT_DELAY_MS = 25;

    private final SharedQuarantine quarantine;
    private final Probe probe;
    private final Timer timer;
    private final Function<ServerIncarnation, ImmutableList<StartedRun>> startedRuns;
    private final Clock clock;
    private final Map<ServerIncarnation, Inquiry> inquiries = new HashMap<>();
    private final Map<ServerIncarnation, SilentServer> silentServers = new HashMap<>();

    /** Finds out whether a server ended; see {@link ServerProbe}. */
    interface Probe {
        void probe(BackendServer server, Optional<Catalog> catalog, Consumer<Result> callback);
    }

    /** Runs steps on the traffic thread after a delay. */
    interface Timer {
        void runAfter(long delayMs, Runnable step);
    }

    /** An inquiry, with one loss for each content that the server had started to run. */
    private static final class Inquiry {
        private final Map<RequestContent, Loss> losses = new LinkedHashMap<>();

        /** Contents whose requests wait for the result. */
        private final Set<RequestContent> waitingContents = new LinkedHashSet<>();

        private final List<RequestContent> trials = new ArrayList<>();
        private final long startedMs;
        private boolean isConnectionBroken;

        Inquiry(long startedMs) {
            this.startedMs = startedMs;
        }
    }

    /**
     * A server that became silent, with one loss for each content that the server had started to
     * run.
     */
    private static final class SilentServer {
        private final Map<RequestContent, Loss> losses = new HashMap<>();
        private long watchedUntilMs;
    }

    /**
     * Creates an inquiry without losses.
     *
     * @param startedRuns returns the runs of this router that have just begun at a server
     */
    LossInquiry(
            SharedQuarantine quarantine,
            Probe probe,
            Function<ServerIncarnation, ImmutableList<StartedRun>> startedRuns,
            Timer timer,
            Clock clock) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.probe = checkNotNull(probe, "probe");
        this.startedRuns = checkNotNull(startedRuns, "startedRuns");
        this.timer = checkNotNull(timer, "timer");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Handles the loss of {@code server} soon after it started {@code run}.
     *
     * @param isConnectionBroken whether the server broke the connection, which shows that it was
     *     reachable a moment ago
     */
    void handleLoss(
            StartedRun run,
            BackendServer server,
            boolean isConnectionBroken,
            Optional<Catalog> catalog) {
        ServerIncarnation incarnation = server.incarnation();
        boolean isRunning = inquiries.containsKey(incarnation);
        Inquiry inquiry = inquiries.computeIfAbsent(incarnation, i -> new Inquiry(clock.nowMs()));
        addRun(inquiry, incarnation, run);
        startedRuns.apply(incarnation).forEach(r -> addRun(inquiry, incarnation, r));
        if (isConnectionBroken) {
            // The request waits for the inquiry. After a broken connection the probe takes
            // milliseconds; the probe of a silent server would delay the request for longer.
            inquiry.isConnectionBroken = true;
            delayRequests(inquiry, run.content());
        }
        if (!isRunning) {
            probe(server, catalog);
        }
    }

    private void probe(BackendServer server, Optional<Catalog> catalog) {
        probe.probe(
                server,
                catalog,
                result -> {
                    if (isRepeated(inquiries.get(server.incarnation()), result)) {
                        timer.runAfter(REPEAT_DELAY_MS, () -> probe(server, catalog));
                    } else {
                        handleProbeResult(server.incarnation(), result);
                    }
                });
    }

    /**
     * Returns whether the server is probed again. Without this, the end of a server whose process
     * still accepts connections while it ends would be known only when its entry lapses, and more
     * requests would be sent until then.
     */
    private boolean isRepeated(Inquiry inquiry, Result result) {
        return result == Result.UNKNOWN
                && inquiry.isConnectionBroken
                && clock.nowMs() - inquiry.startedMs < REPEAT_WINDOW_MS;
    }

    private void addRun(Inquiry inquiry, ServerIncarnation incarnation, StartedRun run) {
        long now = clock.nowMs();
        Loss previous = inquiry.losses.get(run.content());
        if (previous == null || previous.sentMs() < run.sentMs()) {
            inquiry.losses.put(run.content(), new Loss(incarnation, run.sentMs(), now));
        }
    }

    /**
     * Delays the requests with {@code content} until the result is known. A trial of the content
     * goes on until then, so that no other router begins the next one before.
     */
    private void delayRequests(Inquiry inquiry, RequestContent content) {
        if (inquiry.waitingContents.add(content)) {
            quarantine.beginInquiry(content);
            if (quarantine.beginTrial(() -> content)) {
                inquiry.trials.add(content);
            }
        }
    }

    private void handleProbeResult(ServerIncarnation incarnation, Result result) {
        Inquiry inquiry = inquiries.remove(incarnation);
        boolean hasEnded =
                result == Result.ENDED
                        || (inquiry.isConnectionBroken && result == Result.UNREACHED);
        String sign = inquiry.isConnectionBroken ? "connection broken" : "silent";
        inquiry.losses
                .keySet()
                .forEach(
                        content ->
                                LOG.info(
                                        "quarantine: {} was lost under content {}, {}, {}",
                                        incarnation,
                                        RequestLog.text(content),
                                        sign,
                                        result));
        inquiry.waitingContents.forEach(quarantine::endInquiry);
        if (hasEnded) {
            quarantine.recordLosses(inquiry.losses, incarnation + " ended under it");
        } else if (result == Result.LIVES) {
            quarantine.recordAlive(incarnation);
        } else {
            watchEntry(incarnation, inquiry.losses);
        }
        inquiry.trials.forEach(quarantine::endTrial);
    }

    private void watchEntry(ServerIncarnation incarnation, Map<RequestContent, Loss> losses) {
        if (silentServers.size() < MAX_SILENT_SERVERS || silentServers.containsKey(incarnation)) {
            SilentServer server =
                    silentServers.computeIfAbsent(incarnation, i -> new SilentServer());
            server.losses.putAll(losses);
            server.watchedUntilMs = clock.nowMs() + WATCH_MS;
        }
    }

    /** Handles a new list of servers; silent servers that the list does not contain have ended. */
    void updateListed(Set<ServerIncarnation> listedServers) {
        long now = clock.nowMs();
        Iterator<Map.Entry<ServerIncarnation, SilentServer>> iterator =
                silentServers.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<ServerIncarnation, SilentServer> entry = iterator.next();
            SilentServer server = entry.getValue();
            if (now >= server.watchedUntilMs) {
                iterator.remove();
            } else if (!listedServers.contains(entry.getKey())) {
                iterator.remove();
                String cause = entry.getKey() + "'s entry lapsed while it ran the content";
                quarantine.recordLosses(server.losses, cause);
            }
        }
    }
}
