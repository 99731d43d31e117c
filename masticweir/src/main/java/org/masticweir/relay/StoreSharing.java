package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.feed.ReadingShare;
import org.masticweir.feed.StoreContact;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.peer.Reply;
import org.masticweir.relay.RelayMessages.Pulse;
import org.masticweir.relay.RelayMessages.ServerNews;
import org.masticweir.relay.RelayMessages.ServersAsk;

/**
 * What routers tell each other of the store; owned by the control thread.
 *
 * <p>Those that read it tell their domain of newer catalogs and of servers, and the relays of the
 * other domains, which tell theirs what is news there. So a domain hears of a change also while the
 * store turns all its readers away. Each pulse says how far its sender knows the store; who lies
 * behind asks for what it lacks.
 */
final class StoreSharing {
    private static final Logger LOG = LogManager.getLogger(StoreSharing.class);

    /** Time between two pulses, in ms: half of the time in which a change must be in force. */
    static final long PULSE_MS = 1_000;

    /** Time for a peer's answer, in ms. */
    private static final long ASK_MS = 800;

    private final PeerSender links;
    private final KnownRouters routers;
    private final Deployment deployment;
    private final CatalogSharing catalogs;
    private final StoreReading reading;
    private final LongConsumer toldUpTo;
    private final ScheduledExecutorService control;
    private long turn;
    private boolean askingServers;

    /**
     * Creates a sharing that tells nobody before {@link #start}.
     *
     * @param toldUpTo hears up to which revision all words on servers are known from a reader
     */
    StoreSharing(
            PeerSender links,
            KnownRouters routers,
            Deployment deployment,
            CatalogSharing catalogs,
            StoreReading reading,
            LongConsumer toldUpTo,
            ScheduledExecutorService control) {
        this.links = checkNotNull(links, "links");
        this.routers = checkNotNull(routers, "routers");
        this.deployment = checkNotNull(deployment, "deployment");
        this.catalogs = checkNotNull(catalogs, "catalogs");
        this.reading = checkNotNull(reading, "reading");
        this.toldUpTo = checkNotNull(toldUpTo, "toldUpTo");
        this.control = checkNotNull(control, "control");
        catalogs.onNewer(this::catalogTold);
    }

    /** Begins to tell peers what this router knows. */
    void start() {
        every(PULSE_MS, this::askAll);
        every(ReadingShare.WORD_MS, this::tellHome);
    }

    private void every(long ms, Runnable step) {
        control.scheduleWithFixedDelay(step, ms, ms, TimeUnit.MILLISECONDS);
    }

    /** Greets a peer whose link has come up: it may have been away for long. */
    void linkUp(RouterId peer) {
        if (routers.told().contains(peer)) {
            links.send(peer, ownPulse());
        }
    }

    /** Tells that the catalog has changed by the store's word. */
    void catalogChanged() {
        catalogs.changed();
        send(routers.told(), ownPulse());
    }

    /** Tells that the catalog has changed by a peer's word. */
    private void catalogTold(RouterId by) {
        if (!routers.isHome(by)) {
            send(routers.home(), ownPulse());
        }
    }

    /** Tells what the store said of servers. */
    void serversChanged(Optional<ServerNews> news) {
        news.ifPresent(n -> send(routers.told(), n));
    }

    private void send(Collection<RouterId> to, PeerMessage message) {
        to.forEach(peer -> links.send(peer, message));
    }

    private Pulse ownPulse() {
        return new Pulse(
                deployment.catalogVersion(),
                reading.contact(),
                deployment.newestWord(),
                deployment.completeTo());
    }

    /** Says more often than the pulse that this router reads: others stand in without it. */
    void tellHome() {
        if (reading.role().reads()) {
            send(routers.home(), ownPulse());
        }
    }

    /** Says to the routers whose turn it is what this one knows, and asks what they know. */
    void askAll() {
        Pulse own = ownPulse();
        for (RouterId peer : routers.asked(turn++)) {
            links.ask(peer, own, ASK_MS)
                    .thenAccept(m -> onControl(() -> heard(peer, (Pulse) m)))
                    .exceptionally(
                            e -> {
                                LOG.debug("peers: no answer of {}, {}", peer, e.getMessage());
                                return null;
                            });
        }
    }

    /** Takes a peer's pulse and answers with this router's. */
    void pulse(RouterId from, Pulse theirs, Reply reply) {
        heard(from, theirs);
        reply.send(ownPulse());
    }

    private void heard(RouterId from, Pulse theirs) {
        if (routers.isHome(from)) {
            reading.heard(from, theirs.contact());
        }
        boolean hearsStore = theirs.contact() == StoreContact.HEARD;
        if (theirs.catalogVersion() > deployment.catalogVersion()) {
            catalogs.heardOf(from, theirs.catalogVersion());
        } else if (hearsStore) {
            deployment.confirmed();
        }
        if (!deployment.peerKnows(theirs.newestWord(), theirs.completeTo())) {
            askServers(from);
        } else if (hearsStore) {
            toldUpTo.accept(deployment.completeTo());
        }
    }

    /** Takes a peer's words on servers. */
    void words(RouterId from, ServerNews news) {
        Deployment.Told told = deployment.peerWords(news, from.value());
        if (!told.complete()) {
            askServers(from);
        }
        if (told.news() && !routers.isHome(from)) {
            send(routers.home(), news);
        }
    }

    private void askServers(RouterId from) {
        if (askingServers || !reading.needsPeers()) {
            return;
        }
        askingServers = true;
        links.ask(from, deployment.ask(), ASK_MS)
                .whenComplete(
                        (m, e) ->
                                onControl(
                                        () -> {
                                            askingServers = false;
                                            answered(from, Optional.ofNullable(m));
                                        }));
    }

    private void answered(RouterId from, Optional<PeerMessage> answer) {
        if (answer.isEmpty()) {
            LOG.info("instances: {} did not give the words that are missing", from);
            return;
        }
        deployment.peerWords((ServerNews) answer.get(), from.value());
    }

    /** Gives a peer what it lacks of the words on servers. */
    void answer(ServersAsk ask, Reply reply) {
        reply.send(deployment.answer(ask));
    }

    private void onControl(Runnable step) {
        ControlThread.execute(control, step, "peers");
    }
}
