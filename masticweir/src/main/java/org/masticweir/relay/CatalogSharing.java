package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.id.RouterId;
import org.masticweir.metrics.MetricName;
import org.masticweir.metrics.WindowedReservoir;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.peer.Reply;
import org.masticweir.relay.RelayMessages.CatalogReply;
import org.masticweir.relay.RelayMessages.CatalogRequest;
import org.masticweir.time.Clock;

/**
 * Requests newer catalogs from peers and answers the requests of peers; owned by the control
 * thread.
 */
final class CatalogSharing {
    private static final Logger LOG = LogManager.getLogger(CatalogSharing.class);

    /** Version in a request for the full text. */
    private static final long NO_VERSION = 0;

    /** Time for which a reported version may be missing before a warning is logged, in ms. */
    private static final long LATE_THRESHOLD_MS = 2_000;

    private static final long WINDOW_MS = 60_000;

    private final DeploymentState deployment;
    private final Clock clock;
    private final HedgedPeerRequest requests;
    private final CatalogReplies catalogReplies = new CatalogReplies();
    private final Counter repliesSent;
    private final Counter bytesSent;
    private final Counter unansweredRequests;
    private final Histogram waitTimesMs;
    private Consumer<RouterId> onNewerVersion = peer -> {};
    private boolean needsFullText;

    /**
     * Newest version whose text was received and could not be read. This version is not requested
     * again.
     */
    private long rejectedVersion;

    private long loggedLateVersion;

    CatalogSharing(
            PeerSender links,
            DeploymentState deployment,
            Executor control,
            Clock clock,
            MetricRegistry metrics) {
        this.deployment = checkNotNull(deployment, "deployment");
        this.clock = checkNotNull(clock, "clock");
        requests = new HedgedPeerRequest(links, control, clock);
        repliesSent = metrics.counter(MetricName.of("catalog_offers_total"));
        bytesSent = metrics.counter(MetricName.of("catalog_offered_bytes_total"));
        unansweredRequests = metrics.counter(MetricName.of("catalog_asks_unanswered_total"));
        waitTimesMs =
                metrics.histogram(
                        MetricName.of("catalog_awaited_ms"),
                        () -> new Histogram(WindowedReservoir.of(clock, WINDOW_MS)));
    }

    /**
     * Sets the listener that is called with the sender of each newer version received from a peer.
     */
    void onNewerVersion(Consumer<RouterId> listener) {
        onNewerVersion = checkNotNull(listener, "listener");
    }

    /** Stores the catalog in force, to answer requests of peers. */
    void recordCatalog() {
        deployment.catalogText().ifPresent(catalogReplies::add);
    }

    /**
     * Requests catalog {@code version} from {@code peer}, which reported that version, if it is
     * newer than the catalog in force.
     */
    void handleVersion(RouterId peer, long version) {
        deployment.recordReportedVersion(version);
        if (version > Math.max(deployment.catalogVersion(), rejectedVersion)) {
            long heldVersion = needsFullText ? NO_VERSION : deployment.catalogVersion();
            String base = currentText();
            long askedMs = clock.nowMs();
            requests.request(
                    peer,
                    new CatalogRequest(heldVersion, true),
                    reply -> handleReply(peer, version, base, askedMs, reply));
        }
    }

    private void handleReply(
            RouterId peer, long version, String base, long askedMs, Optional<PeerMessage> reply) {
        if (reply.isEmpty()) {
            unansweredRequests.inc();
            LOG.info("config: {} did not give its newer version", peer);
            return;
        }
        CatalogReply catalog = (CatalogReply) reply.get();
        long waitedMs = deployment.catalogAwaitedMs();
        Optional<String> text = textOf(peer, base, catalog);
        if (text.isEmpty()) {
            return;
        }
        DeploymentState.CatalogUpdate update =
                deployment.applyCatalogText(text.get(), peer.value());
        if (update == DeploymentState.CatalogUpdate.IN_FORCE) {
            waitTimesMs.update(waitedMs);
            long newVersion = deployment.catalogVersion();
            catalog.ageMs().ifPresent(a -> deployment.recordConfirmation(newVersion, askedMs - a));
            recordCatalog();
            onNewerVersion.accept(peer);
            handleVersion(peer, deployment.awaitedVersion());
        } else if (update == DeploymentState.CatalogUpdate.UNREADABLE) {
            rejectedVersion = version;
        }
    }

    /**
     * Returns the catalog in a reply; empty if the peer has no newer catalog, or if the edit in the
     * reply does not apply to {@code base}.
     *
     * @param base the text in force when the request was sent
     */
    private Optional<String> textOf(RouterId peer, String base, CatalogReply reply) {
        if (reply.edit().isEmpty()) {
            return Optional.of(reply.text()).filter(text -> !text.isEmpty());
        }
        Optional<String> text = Optional.empty();
        try {
            text = reply.edit().get().unpack().applyTo(base);
        } catch (IllegalArgumentException e) {
            LOG.error("config: the version of {} is not understood, {}", peer, e.getMessage());
        }
        needsFullText = text.isEmpty();
        if (needsFullText) {
            LOG.info("config: the edit of {} fits another text, the whole is asked for", peer);
        }
        return text;
    }

    private String currentText() {
        return deployment.catalogText().map(DeploymentState.CatalogText::text).orElse("");
    }

    /** Logs a warning once for each version that is late. */
    void tick() {
        long version = deployment.awaitedVersion();
        if (deployment.catalogAwaitedMs() < LATE_THRESHOLD_MS || version == loggedLateVersion) {
            return;
        }
        loggedLateVersion = version;
        LOG.warn(
                "config: version {} is awaited for {} ms, {} is in force, {} asks unanswered so far",
                version,
                deployment.catalogAwaitedMs(),
                deployment.catalogVersion(),
                unansweredRequests.getCount());
    }

    /**
     * Replies to a peer with the catalog in force if that is newer than the version in the request.
     */
    void handleRequest(CatalogRequest request, Reply reply) {
        OptionalLong ageMs = deployment.evidence().ageMs(clock.nowMs());
        CatalogReply catalog = catalogReplies.replyTo(request).withAge(ageMs);
        repliesSent.inc();
        bytesSent.inc(catalog.length());
        reply.send(catalog);
    }
}
