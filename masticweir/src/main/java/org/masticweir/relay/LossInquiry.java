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
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.Loss;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.relay.ServerProbe.Result;
import org.masticweir.time.Clock;

/**
 * Finds out whether a lost send speaks against its content; owned by the traffic thread.
 *
 * <p>It does only if its server is shown to have ended: it takes no connection right after it broke
 * one, another life has its address, or its entry lapses.
 */
final class LossInquiry {
    private static final Logger LOG = LogManager.getLogger(LossInquiry.class);

    /** How long the entry of a silent server is watched, in ms: three heartbeats and more. */
    private static final long WATCH_MS = 10_000;

    /** Servers at which losses wait for an entry to lapse. */
    private static final int MAX_SILENT_SERVERS = 1_024;

    private final SharedQuarantine quarantine;
    private final ServerProbe probe;
    private final Clock clock;
    private final Map<ServerIncarnation, SilentServer> silentServers = new HashMap<>();

    /** A server that fell silent, and the losses of the contents that it had begun to run. */
    private static final class SilentServer {
        private final Map<ContentId, Loss> losses = new HashMap<>();
        private long untilMs;
    }

    LossInquiry(SharedQuarantine quarantine, ServerProbe probe, Clock clock) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.probe = checkNotNull(probe, "probe");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * {@code server} was lost while it began to run a request that was sent at {@code sentMs}.
     *
     * @param broke whether it broke the connection, so that it was reached a moment ago
     */
    void handleLoss(
            ContentId content,
            BackendServer server,
            long sentMs,
            boolean broke,
            Optional<Catalog> catalog) {
        Loss loss = new Loss(server.incarnation(), sentMs, clock.nowMs());
        if (broke) {
            // The answer comes within milliseconds; a silent server would hold the request up.
            quarantine.beginInquiry(content);
        }
        probe.probe(server, catalog, result -> handleProbeResult(content, loss, broke, result));
    }

    private void handleProbeResult(ContentId content, Loss loss, boolean broke, Result result) {
        ServerIncarnation incarnation = loss.incarnation();
        boolean hasEnded = result == Result.ENDED || (broke && result == Result.UNREACHED);
        LOG.info(
                "quarantine: {} was lost under content {}, {}, {}",
                incarnation,
                content,
                broke ? "connection broken" : "silent",
                result);
        if (broke) {
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

    private void watchEntry(ContentId content, Loss loss) {
        ServerIncarnation incarnation = loss.incarnation();
        if (silentServers.size() < MAX_SILENT_SERVERS || silentServers.containsKey(incarnation)) {
            SilentServer server =
                    silentServers.computeIfAbsent(incarnation, i -> new SilentServer());
            server.losses.put(content, loss);
            server.untilMs = clock.nowMs() + WATCH_MS;
        }
    }

    /** The list of servers has changed; those that fell silent and are not in it have ended. */
    void updateListed(Set<ServerIncarnation> present) {
        long now = clock.nowMs();
        Iterator<Map.Entry<ServerIncarnation, SilentServer>> each =
                silentServers.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<ServerIncarnation, SilentServer> entry = each.next();
            SilentServer server = entry.getValue();
            if (now >= server.untilMs) {
                each.remove();
            } else if (!present.contains(entry.getKey())) {
                each.remove();
                String cause = entry.getKey() + " lapsed under it";
                server.losses.forEach(
                        (content, loss) -> quarantine.recordLoss(content, loss, cause));
            }
        }
    }
}
