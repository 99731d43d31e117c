package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
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

/** How routers give each other newer catalogs; owned by the control thread. */
final class CatalogSharing {
    private static final Logger LOG = LogManager.getLogger(CatalogSharing.class);

    /** What a router names that wants the whole. */
    private static final long NO_VERSION = 0;

    /** Wait for a version that peers hold after which a line says so, in ms. */
    private static final long LATE_MS = 2_000;

    private static final long WINDOW_MS = 60_000;

    private final Deployment deployment;
    private final HedgedPeerRequest asks;
    private final CatalogTexts texts = new CatalogTexts();
    private final Counter offers;
    private final Counter offeredBytes;
    private final Counter unanswered;
    private final Histogram awaitedMs;
    private Consumer<RouterId> onNewer = peer -> {};
    private boolean wantsWhole;

    /** Newest version whose text came and did not become the one in force; it isn't asked for. */
    private long notUnderstood;

    private long saidLate;

    CatalogSharing(
            PeerSender links,
            Deployment deployment,
            Executor control,
            Clock clock,
            MetricRegistry metrics) {
        this.deployment = checkNotNull(deployment, "deployment");
        asks = new HedgedPeerRequest(links, control, clock);
        offers = metrics.counter(MetricName.of("catalog_offers_total"));
        offeredBytes = metrics.counter(MetricName.of("catalog_offered_bytes_total"));
        unanswered = metrics.counter(MetricName.of("catalog_asks_unanswered_total"));
        awaitedMs =
                metrics.histogram(
                        MetricName.of("catalog_awaited_ms"),
                        () -> new Histogram(WindowedReservoir.of(clock, WINDOW_MS)));
    }

    /** Sets what hears of each newer version that a peer has given. */
    void onNewer(Consumer<RouterId> listener) {
        onNewer = checkNotNull(listener, "listener");
    }

    /** Keeps the catalog that has come in force, for peers that ask. */
    void changed() {
        deployment.catalogText().ifPresent(texts::inForce);
    }

    /** Asks a peer for the version that it has said it holds, if that is newer. */
    void heardOf(RouterId peer, long version) {
        deployment.heardOf(version);
        if (version > Math.max(deployment.catalogVersion(), notUnderstood)) {
            long held = wantsWhole ? NO_VERSION : deployment.catalogVersion();
            String base = heldText();
            asks.ask(
                    peer,
                    new CatalogRequest(held, true),
                    reply -> answered(peer, version, base, reply));
        }
    }

    private void answered(RouterId peer, long version, String base, Optional<PeerMessage> reply) {
        if (reply.isEmpty()) {
            unanswered.inc();
            LOG.info("config: {} did not give its newer version", peer);
            return;
        }
        CatalogReply offer = (CatalogReply) reply.get();
        long waitedMs = deployment.catalogAwaitedMs();
        Optional<String> text = textOf(peer, base, offer);
        if (text.isEmpty()) {
            return;
        }
        if (deployment.catalogText(text.get(), peer.value())) {
            awaitedMs.update(waitedMs);
            changed();
            onNewer.accept(peer);
            heardOf(peer, deployment.awaitedVersion());
        } else {
            notUnderstood = version;
        }
    }

    /**
     * Returns the catalog that a peer gives; empty if it has no newer one, or none that fits.
     *
     * @param base the text that was held when the peer was asked
     */
    private Optional<String> textOf(RouterId peer, String base, CatalogReply offer) {
        if (offer.edit().isEmpty()) {
            return Optional.of(offer.text()).filter(text -> !text.isEmpty());
        }
        Optional<String> text = Optional.empty();
        try {
            text = offer.edit().get().unpack().applyTo(base);
        } catch (IllegalArgumentException e) {
            LOG.error("config: the version of {} is not understood, {}", peer, e.getMessage());
        }
        wantsWhole = text.isEmpty();
        if (wantsWhole) {
            LOG.info("config: the edit of {} fits another text, the whole is asked for", peer);
        }
        return text;
    }

    private String heldText() {
        return deployment.catalogText().map(Deployment.CatalogText::text).orElse("");
    }

    /** Says once of each version that it is late. */
    void tick() {
        long version = deployment.awaitedVersion();
        if (deployment.catalogAwaitedMs() < LATE_MS || version == saidLate) {
            return;
        }
        saidLate = version;
        LOG.warn(
                "config: version {} is awaited for {} ms, {} is in force, {} asks unanswered so far",
                version,
                deployment.catalogAwaitedMs(),
                deployment.catalogVersion(),
                unanswered.getCount());
    }

    /** Gives a peer the catalog if it is newer than the peer's. */
    void offer(CatalogRequest ask, Reply reply) {
        CatalogReply offer = texts.offer(ask);
        offers.inc();
        offeredBytes.inc(offer.length());
        reply.send(offer);
    }
}
