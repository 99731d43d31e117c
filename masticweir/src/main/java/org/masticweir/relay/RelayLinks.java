package org.masticweir.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.masticweir.metrics.MetricName;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkSettings;
import org.masticweir.peer.MessageRegistry;
import org.masticweir.peer.PeerLinks;
import org.masticweir.time.Clock;

/** Opens the links of a router to its peers. */
final class RelayLinks {
    private static final int MAX_QUEUED_BYTES = 4 << 20;
    private static final int LINK_CONNECT_TIMEOUT_MS = 500;
    private static final int LINK_BACKOFF_MIN_MS = 50;

    /**
     * Longest delay before a reconnection of a lost link, in ms: a router that has restarted must
     * be reconnected soon.
     */
    private static final int LINK_BACKOFF_MAX_MS = 500;

    private static final int LINK_SILENCE_TIMEOUT_MS = 2_000;

    private RelayLinks() {}

    static PeerLinks open(RelaySettings settings, Clock clock) {
        long incarnation = clock.wallMs();
        LinkSettings link =
                new LinkSettings(
                        settings.peers(),
                        LINK_CONNECT_TIMEOUT_MS,
                        MAX_QUEUED_BYTES,
                        LINK_BACKOFF_MIN_MS,
                        LINK_BACKOFF_MAX_MS,
                        LINK_SILENCE_TIMEOUT_MS,
                        incarnation);
        return PeerLinks.open(
                link,
                Hello.of(settings.router(), incarnation, settings.domain()),
                MessageRegistry.of(RelayMessages.codecs()),
                clock);
    }

    /** Returns the counter of the links to other routers that are up. */
    static Counter upLinkCounter(MetricRegistry metrics) {
        return metrics.counter(MetricName.of("peer_links_up"));
    }
}
