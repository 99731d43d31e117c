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
import org.masticweir.relay.RelayMessages.ServerUpdates;
import org.masticweir.relay.RelayMessages.ServersRequest;
import org.masticweir.relay.RelayMessages.StoreStatus;

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
    static final long STATUS_INTERVAL_MS = 1_000;

    /** Time for a peer's answer, in ms. */
    private static final long REQUEST_TIMEOUT_MS = 800;

    private final PeerSender links;
    private final KnownRouters routers;
    private final DeploymentState deployment;
    private final CatalogSharing catalogs;
    private final StoreReading reading;
    private final LongConsumer updatesReceived;
    private final ScheduledExecutorService control;
    private long round;
    private boolean requestInFlight;

    /**
     * Creates a sharing that tells nobody before {@link #start}.
     *
     * @param updatesReceived hears up to which revision all words on servers are known from a
     *     reader
     */
    StoreSharing(
            PeerSender links,
            KnownRouters routers,
            DeploymentState deployment,
            CatalogSharing catalogs,
            StoreReading reading,
            LongConsumer updatesReceived,
            ScheduledExecutorService control) {
        this.links = checkNotNull(links, "links");
        this.routers = checkNotNull(routers, "routers");
        this.deployment = checkNotNull(deployment, "deployment");
        this.catalogs = checkNotNull(catalogs, "catalogs");
        this.reading = checkNotNull(reading, "reading");
        this.updatesReceived = checkNotNull(updatesReceived, "updatesReceived");
        this.control = checkNotNull(control, "control");
        catalogs.onNewerVersion(this::catalogReceived);
    }

    /** Begins to tell peers what this router knows. */
    void start() {
        scheduleEvery(STATUS_INTERVAL_MS, this::pollPeers);
        scheduleEvery(ReadingShare.WORD_MS, this::reportToOwnDomain);
    }

    private void scheduleEvery(long ms, Runnable step) {
        control.scheduleWithFixedDelay(step, ms, ms, TimeUnit.MILLISECONDS);
    }

    /** Greets a peer whose link has come up: it may have been away for long. */
    void linkUp(RouterId peer) {
        if (routers.storeRecipients().contains(peer)) {
            links.send(peer, ownStatus());
        }
    }

    /** Tells that the catalog has changed by the store's word. */
    void catalogChanged() {
        catalogs.recordCatalog();
        send(routers.storeRecipients(), ownStatus());
    }

    /** Tells that the catalog has changed by a peer's word. */
    private void catalogReceived(RouterId by) {
        if (!routers.isInOwnDomain(by)) {
            send(routers.ownDomain(), ownStatus());
        }
    }

    /** Tells what the store said of servers. */
    void serversChanged(Optional<ServerUpdates> news) {
        news.ifPresent(n -> send(routers.storeRecipients(), n));
    }

    private void send(Collection<RouterId> recipients, PeerMessage message) {
        recipients.forEach(peer -> links.send(peer, message));
    }

    private StoreStatus ownStatus() {
        return new StoreStatus(
                deployment.catalogVersion(),
                reading.contact(),
                deployment.newestUpdate(),
                deployment.completeTo());
    }

    /** Says more often than the pulse that this router reads: others stand in without it. */
    void reportToOwnDomain() {
        if (reading.role().reads()) {
            send(routers.ownDomain(), ownStatus());
        }
    }

    /** Says to the routers whose turn it is what this one knows, and asks what they know. */
    void pollPeers() {
        StoreStatus status = ownStatus();
        for (RouterId peer : routers.pollTargets(round++)) {
            links.ask(peer, status, REQUEST_TIMEOUT_MS)
                    .thenAccept(m -> onControl(() -> recordStatus(peer, (StoreStatus) m)))
                    .exceptionally(
                            e -> {
                                LOG.debug("peers: no answer of {}, {}", peer, e.getMessage());
                                return null;
                            });
        }
    }

    /** Takes a peer's pulse and answers with this router's. */
    void handleStatus(RouterId from, StoreStatus status, Reply reply) {
        recordStatus(from, status);
        reply.send(ownStatus());
    }

    private void recordStatus(RouterId from, StoreStatus status) {
        if (routers.isInOwnDomain(from)) {
            reading.recordContact(from, status.contact());
        }
        boolean isStoreAnswering = status.contact() == StoreContact.HEARD;
        if (status.catalogVersion() > deployment.catalogVersion()) {
            catalogs.handleVersion(from, status.catalogVersion());
        } else if (isStoreAnswering) {
            deployment.recordConfirmation();
        }
        if (!deployment.recordPeerProgress(status.newestUpdate(), status.completeTo())) {
            requestUpdates(from);
        } else if (isStoreAnswering) {
            updatesReceived.accept(deployment.completeTo());
        }
    }

    /** Takes a peer's words on servers. */
    void handleUpdates(RouterId from, ServerUpdates updates) {
        DeploymentState.UpdateResult result = deployment.applyPeerUpdates(updates, from.value());
        if (!result.isComplete()) {
            requestUpdates(from);
        }
        if (result.hasChanges() && !routers.isInOwnDomain(from)) {
            send(routers.ownDomain(), updates);
        }
    }

    private void requestUpdates(RouterId from) {
        if (requestInFlight || !reading.dependsOnPeers()) {
            return;
        }
        requestInFlight = true;
        links.ask(from, deployment.updatesRequest(), REQUEST_TIMEOUT_MS)
                .whenComplete(
                        (m, e) ->
                                onControl(
                                        () -> {
                                            requestInFlight = false;
                                            handleReply(from, Optional.ofNullable(m));
                                        }));
    }

    private void handleReply(RouterId from, Optional<PeerMessage> answer) {
        if (answer.isEmpty()) {
            LOG.info("instances: {} did not give the words that are missing", from);
            return;
        }
        deployment.applyPeerUpdates((ServerUpdates) answer.get(), from.value());
    }

    /** Gives a peer what it lacks of the words on servers. */
    void handleRequest(ServersRequest request, Reply reply) {
        reply.send(deployment.replyTo(request));
    }

    private void onControl(Runnable step) {
        ControlThread.execute(control, step, "peers");
    }
}
