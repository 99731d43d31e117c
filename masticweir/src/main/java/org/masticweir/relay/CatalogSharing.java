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
import org.masticweir.concurrent.ControlThread;
import org.masticweir.id.RouterId;
import org.masticweir.metrics.MetricName;
import org.masticweir.metrics.WindowedReservoir;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.peer.Reply;
import org.masticweir.relay.RelayMessages.CatalogAsk;
import org.masticweir.relay.RelayMessages.CatalogOffer;
import org.masticweir.time.Clock;

/** How routers give each other newer catalogs; owned by the control thread. */
final class CatalogSharing {
    private static final Logger LOG = LogManager.getLogger(CatalogSharing.class);

    /** Time for a peer's answer, in ms. */
    private static final long ASK_MS = 800;

    /** Wait for a version that peers hold after which a line says so, in ms. */
    private static final long LATE_MS = 2_000;

    private static final long WINDOW_MS = 60_000;

    private final PeerSender links;
    private final Deployment deployment;
    private final Executor control;
    private final Counter offers;
    private final Counter offeredChars;
    private final Counter unanswered;
    private final Histogram awaitedMs;
    private Consumer<RouterId> onNewer = peer -> {};
    private boolean asking;
    private long saidLate;

    CatalogSharing(
            PeerSender links,
            Deployment deployment,
            Executor control,
            Clock clock,
            MetricRegistry metrics) {
        this.links = checkNotNull(links, "links");
        this.deployment = checkNotNull(deployment, "deployment");
        this.control = checkNotNull(control, "control");
        offers = metrics.counter(MetricName.of("catalog_offers_total"));
        offeredChars = metrics.counter(MetricName.of("catalog_offered_chars_total"));
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

    /** Asks a peer for the version that it has said it holds, if that is newer. */
    void heardOf(RouterId peer, long version) {
        deployment.heardOf(version);
        if (asking || version <= deployment.catalogVersion()) {
            return;
        }
        asking = true;
        links.ask(peer, new CatalogAsk(deployment.catalogVersion()), ASK_MS)
                .whenComplete(
                        (m, e) ->
                                ControlThread.execute(
                                        control,
                                        () -> offered(peer, Optional.ofNullable(m)),
                                        "config"));
    }

    private void offered(RouterId peer, Optional<PeerMessage> offer) {
        asking = false;
        if (offer.isEmpty()) {
            unanswered.inc();
            LOG.info("config: {} did not give its newer version", peer);
            return;
        }
        String text = ((CatalogOffer) offer.get()).text();
        long waitedMs = deployment.catalogAwaitedMs();
        if (!text.isEmpty() && deployment.catalogText(text, peer.value())) {
            awaitedMs.update(waitedMs);
            onNewer.accept(peer);
        }
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
    void offer(CatalogAsk ask, Reply reply) {
        String text =
                deployment
                        .catalogText()
                        .filter(c -> c.version() > ask.newerThan())
                        .map(Deployment.CatalogText::text)
                        .orElse("");
        offers.inc();
        offeredChars.inc(text.length());
        reply.send(new CatalogOffer(text));
    }
}
