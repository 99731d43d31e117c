package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.ServerLife;
import org.masticweir.forward.ServerUse;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkDirection;
import org.masticweir.peer.LinkListener;
import org.masticweir.peer.PeerLinks;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.Reply;
import org.masticweir.relay.RelayMessages.CatalogAsk;
import org.masticweir.relay.RelayMessages.CatalogOffer;
import org.masticweir.relay.RelayMessages.FailureNews;
import org.masticweir.relay.RelayMessages.Introduction;
import org.masticweir.relay.RelayMessages.Pulse;
import org.masticweir.relay.RelayMessages.RouterAt;
import org.masticweir.relay.RelayMessages.ServerNews;
import org.masticweir.relay.RelayMessages.UseNews;

/**
 * What routers tell each other; owned by the control thread.
 *
 * <p>Failure that it answers: the store turns some routers away and serves the others, for longer
 * than a change may take. Those that hear it tell the rest of newer catalogs and of servers that
 * leave. A pulse a second also shows links that have gone silent.
 */
final class PeerExchange {
    private static final Logger LOG = LogManager.getLogger(PeerExchange.class);

    /** Time between two pulses, in ms: half of the time in which a change must be in force. */
    private static final long PULSE_MS = 1_000;

    /** Time for a peer's answer, in ms. */
    private static final long ASK_MS = 800;

    private final PeerLinks links;
    private final RouterAt self;
    private final Deployment deployment;
    private final ScheduledExecutorService control;
    private final BooleanSupplier hearsStore;
    private final PeerDirectory directory;
    private final UseListener uses;
    private final Map<RouterId, InetSocketAddress> peers = new HashMap<>();
    private boolean asking;

    /** Hears what peers have at engines; called on the control thread. */
    interface UseListener {
        void use(RouterId peer, ServerLife engine, ServerUse use);

        void failure(ServerLife server, boolean gone);

        void forget(RouterId peer);

        /** Tells the peer what this router has at each engine. */
        void tellAll(RouterId peer);
    }

    PeerExchange(
            PeerLinks links,
            RouterAt self,
            Deployment deployment,
            ScheduledExecutorService control,
            BooleanSupplier hearsStore,
            PeerDirectory directory,
            UseListener uses) {
        this.links = checkNotNull(links, "links");
        this.self = checkNotNull(self, "self");
        this.deployment = checkNotNull(deployment, "deployment");
        this.control = checkNotNull(control, "control");
        this.hearsStore = checkNotNull(hearsStore, "hearsStore");
        this.directory = checkNotNull(directory, "directory");
        this.uses = checkNotNull(uses, "uses");
    }

    /** Registers the handlers; call before the links start. */
    void start() {
        links.on(Introduction.class, (from, m, reply) -> onControl(() -> introduced(from, m)));
        links.on(Pulse.class, (from, m, reply) -> onControl(() -> pulse(from, m, reply)));
        links.on(CatalogAsk.class, (from, m, reply) -> onControl(() -> offer(m, reply)));
        links.on(
                ServerNews.class,
                (from, m, reply) -> onControl(() -> deployment.peerWords(m.words(), from.value())));
        links.on(
                UseNews.class,
                (from, m, reply) -> onControl(() -> uses.use(from, m.engine(), m.use())));
        links.on(
                FailureNews.class,
                (from, m, reply) -> onControl(() -> uses.failure(m.server(), m.gone())));
        links.listen(new Links());
        control.scheduleWithFixedDelay(this::pulseAll, PULSE_MS, PULSE_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes note of a router; the first message to it opens the link. */
    void learn(RouterId id, InetSocketAddress address) {
        if (id.equals(self.id()) || address.equals(peers.get(id))) {
            return;
        }
        peers.put(id, address);
        directory.add(id);
        LOG.info("peers: {} is at {}", id, address);
        links.learn(id, address);
        links.send(id, introduction());
    }

    /** Tells all peers that the catalog has changed. */
    void catalogChanged() {
        pulseAll();
    }

    /** Tells all peers what the store said of servers. */
    void serversChanged(List<ServerWordNews> words) {
        if (!words.isEmpty()) {
            sendToAll(new ServerNews(words));
        }
    }

    private void sendToAll(PeerMessage message) {
        peers.keySet().forEach(p -> links.send(p, message));
    }

    private Introduction introduction() {
        List<RouterAt> known = new ArrayList<>();
        known.add(self);
        peers.forEach((id, address) -> known.add(new RouterAt(id, address)));
        return new Introduction(known);
    }

    private void introduced(RouterId from, Introduction m) {
        m.routers().forEach(r -> learn(r.id(), r.address()));
    }

    private long version() {
        return deployment.catalogText().map(Deployment.CatalogText::version).orElse(0L);
    }

    private Pulse ownPulse() {
        return new Pulse(version(), hearsStore.getAsBoolean());
    }

    private void pulseAll() {
        for (RouterId peer : peers.keySet()) {
            links.ask(peer, ownPulse(), ASK_MS)
                    .thenAccept(m -> onControl(() -> heard(peer, (Pulse) m)))
                    .exceptionally(
                            e -> {
                                LOG.debug("peers: no answer of {}, {}", peer, e.getMessage());
                                return null;
                            });
        }
    }

    private void pulse(RouterId from, Pulse theirs, Reply reply) {
        heard(from, theirs);
        reply.send(ownPulse());
    }

    private void heard(RouterId from, Pulse theirs) {
        if (theirs.catalogVersion() > version()) {
            ask(from);
        } else if (theirs.hearsStore()) {
            deployment.confirmed();
        }
    }

    private void ask(RouterId from) {
        if (asking) {
            return;
        }
        asking = true;
        links.ask(from, new CatalogAsk(version()), ASK_MS)
                .whenComplete((m, e) -> onControl(() -> offered(from, Optional.ofNullable(m))));
    }

    private void offered(RouterId from, Optional<PeerMessage> offer) {
        asking = false;
        if (offer.isEmpty()) {
            LOG.info("config: {} did not give its newer version", from);
            return;
        }
        String text = ((CatalogOffer) offer.get()).text();
        if (!text.isEmpty() && deployment.catalogText(text, from.value())) {
            pulseAll();
        }
    }

    private void offer(CatalogAsk ask, Reply reply) {
        String text =
                deployment
                        .catalogText()
                        .filter(c -> c.version() > ask.newerThan())
                        .map(Deployment.CatalogText::text)
                        .orElse("");
        reply.send(new CatalogOffer(text));
    }

    private void onControl(Runnable step) {
        try {
            control.execute(step);
        } catch (RejectedExecutionException e) {
            LOG.debug("peers: a message came after the router had stopped");
        }
    }

    /** Greets peers whose link has come up, and forgets the load of those that are lost. */
    private final class Links implements LinkListener {
        @Override
        public void linkUp(Hello peer, LinkDirection direction) {
            if (direction != LinkDirection.OUTGOING) {
                return;
            }
            onControl(
                    () -> {
                        LOG.info("peers: link to {} is up", peer.router());
                        links.send(peer.router(), introduction());
                        links.send(peer.router(), new ServerNews(deployment.allServers()));
                        uses.tellAll(peer.router());
                    });
        }

        @Override
        public void linkDown(RouterId peer, LinkDirection direction) {
            onControl(
                    () -> {
                        LOG.info("peers: {} link with {} is down", direction, peer);
                        if (direction == LinkDirection.INCOMING) {
                            uses.forget(peer);
                        }
                    });
        }
    }
}
