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
import org.masticweir.relay.ServerProbe.Fate;
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
    private static final long LAPSE_MS = 10_000;

    /** Servers at which losses wait for an entry to lapse. */
    private static final int MOST_SILENT = 1_024;

    private final SharedQuarantine quarantine;
    private final ServerProbe check;
    private final Clock clock;
    private final Map<ServerIncarnation, SilentServer> silent = new HashMap<>();

    /** A server that fell silent, and the losses of the contents that it had begun to run. */
    private static final class SilentServer {
        private final Map<ContentId, Loss> losses = new HashMap<>();
        private long untilMs;
    }

    LossInquiry(SharedQuarantine quarantine, ServerProbe check, Clock clock) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.check = checkNotNull(check, "check");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * {@code server} was lost while it began to run a request that was sent at {@code sentMs}.
     *
     * @param broke whether it broke the connection, so that it was reached a moment ago
     */
    void lost(
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
        check.ask(server, catalog, fate -> found(content, loss, broke, fate));
    }

    private void found(ContentId content, Loss loss, boolean broke, Fate fate) {
        ServerIncarnation life = loss.incarnation();
        boolean hasEnded = fate == Fate.ENDED || (broke && fate == Fate.UNREACHED);
        LOG.info(
                "quarantine: {} was lost under content {}, {}, {}",
                life,
                content,
                broke ? "connection broken" : "silent",
                fate);
        if (broke) {
            quarantine.endInquiry(content);
        }
        if (hasEnded) {
            quarantine.recordLoss(content, loss, life + " ended under it");
        } else if (fate == Fate.LIVES) {
            quarantine.recordAlive(life);
        } else {
            awaitLapse(content, loss);
        }
    }

    private void awaitLapse(ContentId content, Loss loss) {
        ServerIncarnation life = loss.incarnation();
        if (silent.size() < MOST_SILENT || silent.containsKey(life)) {
            SilentServer server = silent.computeIfAbsent(life, l -> new SilentServer());
            server.losses.put(content, loss);
            server.untilMs = clock.nowMs() + LAPSE_MS;
        }
    }

    /** The list of servers has changed; those that fell silent and are not in it have ended. */
    void updateListed(Set<ServerIncarnation> present) {
        long now = clock.nowMs();
        Iterator<Map.Entry<ServerIncarnation, SilentServer>> each = silent.entrySet().iterator();
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
