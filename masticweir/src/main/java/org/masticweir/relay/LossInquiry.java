package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
 * Decides whether the loss of a server is attributed to the content that it ran; owned by the
 * traffic thread.
 *
 * <p>The loss is attributed to the content only if the server has certainly ended. There are three
 * such cases: the server broke the connection and then refuses new connections, another incarnation
 * has its address, or its entry lapses.
 */
final class LossInquiry {
    private static final Logger LOG = LogManager.getLogger(LossInquiry.class);

    /**
     * Time for which the entry of a silent server is watched, in ms: more than three heartbeats.
     */
    private static final long WATCH_MS = 10_000;

    /** Limit on the number of silent servers whose entries are watched. */
    private static final int MAX_SILENT_SERVERS = 1_024;

    private final SharedQuarantine quarantine;
    private final ServerProbe probe;
    private final Clock clock;
    private final Map<ServerIncarnation, SilentServer> silentServers = new HashMap<>();

    /**
     * A server that became silent, with one loss for each content that the server had started to
     * run.
     */
    private static final class SilentServer {
        private final Map<RequestContent, Loss> losses = new HashMap<>();
        private long watchedUntilMs;
    }

    LossInquiry(SharedQuarantine quarantine, ServerProbe probe, Clock clock) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.probe = checkNotNull(probe, "probe");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Handles the loss of {@code server} soon after it started to run a request. The request was
     * sent at {@code sentMs}.
     *
     * @param isConnectionBroken whether the server broke the connection, which shows that it was
     *     reachable a moment ago
     */
    void handleLoss(
            RequestContent content,
            BackendServer server,
            long sentMs,
            boolean isConnectionBroken,
            Optional<Catalog> catalog) {
        Loss loss = new Loss(server.incarnation(), sentMs, clock.nowMs());
        if (isConnectionBroken) {
            // The request waits for the inquiry. After a broken connection the probe takes
            // milliseconds; the probe of a silent server would delay the request for longer.
            quarantine.beginInquiry(content);
        }
        probe.probe(
                server,
                catalog,
                result -> handleProbeResult(content, loss, isConnectionBroken, result));
    }

    private void handleProbeResult(
            RequestContent content, Loss loss, boolean isConnectionBroken, Result result) {
        ServerIncarnation incarnation = loss.life();
        boolean hasEnded =
                result == Result.ENDED || (isConnectionBroken && result == Result.UNREACHED);
        LOG.info(
                "quarantine: {} was lost under content {}, {}, {}",
                incarnation,
                content.whole(),
                isConnectionBroken ? "connection broken" : "silent",
                result);
        if (isConnectionBroken) {
            quarantine.endInquiry(content);
        }
        if (hasEnded) {
            quarantine.recordLoss(content, loss, incarnation + " ended under it");
        } else if (result == Result.LIVES) {
            quarantine.recordAlive(incarnation);
        } else {
            watchEntry(content, loss);
        }
    }

    private void watchEntry(RequestContent content, Loss loss) {
        ServerIncarnation incarnation = loss.life();
        if (silentServers.size() < MAX_SILENT_SERVERS || silentServers.containsKey(incarnation)) {
            SilentServer server =
                    silentServers.computeIfAbsent(incarnation, i -> new SilentServer());
            server.losses.put(content, loss);
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
                server.losses.forEach(
                        (content, loss) -> quarantine.recordLoss(content, loss, cause));
            }
        }
    }
}
