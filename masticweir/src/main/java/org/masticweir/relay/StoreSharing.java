package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.feed.ReadingRole;
import org.masticweir.feed.ReadingShare;
import org.masticweir.feed.StoreContact;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.peer.Reply;
import org.masticweir.relay.RelayMessages.ServerUpdates;
import org.masticweir.relay.RelayMessages.ServersRequest;
import org.masticweir.relay.RelayMessages.StoreStatus;
import org.masticweir.store.Revision;
import org.masticweir.time.Clock;

/**
 * Distributes changes of the store among routers; owned by the control thread.
 *
 * <p>The routers that read the store notify their own domain of newer catalogs and of server
 * updates, and also the gateways of the other domains, which forward new changes to their own
 * domain. A domain therefore receives changes even while the store refuses all its readers. Each
 * periodic status message reports how much of the store's content its sender has received; a router
 * requests the content that it has not received.
 */
final class StoreSharing {
    private static final Logger LOG = LogManager.getLogger(StoreSharing.class);

    /**
     * Time between two rounds of status messages, in ms: half of the time in which a change must be
     * in force.
     */
    static final long STATUS_INTERVAL_MS = 1_000;

    /** Timeout of a request to a peer, in ms. */
    private static final long REQUEST_TIMEOUT_MS = 800;

    /** Readers of the own domain that are polled more often than the other routers. */
    private static final int POLLED_READERS = 2;

    /** Share of the bound on changes after which these readers are polled again. */
    private static final double READER_POLL_SHARE = 0.15;

    /** Longest time that a poll and its reply take in general, in ms. */
    private static final long REPLY_MS = 100;

    private final PeerSender links;
    private final KnownRouters routers;
    private final DeploymentState deployment;
    private final CatalogSharing catalogSharing;
    private final StoreReading storeReading;
    private final Consumer<Revision> updatesListener;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final long readerPollMs;

    /** Routers of the own domain that have last reported to be in contact with the store. */
    private final Set<RouterId> readers = new LinkedHashSet<>();

    private long round;
    private boolean isRequestInFlight;

    /**
     * Creates an instance that sends nothing before {@link #start}.
     *
     * @param updatesListener receives the revision up to which all server updates have been
     *     received, as confirmed by a router in contact with the store
     * @param readerPollMs time between two polls of the readers of the own domain
     */
    StoreSharing(
            PeerSender links,
            KnownRouters routers,
            DeploymentState deployment,
            CatalogSharing catalogSharing,
            StoreReading storeReading,
            Consumer<Revision> updatesListener,
            ScheduledExecutorService control,
            Clock clock,
            long readerPollMs) {
        this.links = checkNotNull(links, "links");
        this.routers = checkNotNull(routers, "routers");
        this.deployment = checkNotNull(deployment, "deployment");
        this.catalogSharing = checkNotNull(catalogSharing, "catalogSharing");
        this.storeReading = checkNotNull(storeReading, "storeReading");
        this.updatesListener = checkNotNull(updatesListener, "updatesListener");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.readerPollMs = readerPollMs;
        catalogSharing.onNewerVersion(this::onCatalogReceived);
    }

    /**
     * Returns the time between two polls of the readers of the own domain, in ms.
     *
     * @param changeBoundMs time after which a change must be in force everywhere
     */
    static long readerPollMs(long changeBoundMs) {
        return Math.min(STATUS_INTERVAL_MS, Math.round(changeBoundMs * READER_POLL_SHARE));
    }

    /**
     * Returns how old the knowledge of a reader may be, in ms, so that the routers which poll it
     * still know of the catalog within the bound.
     */
    static long readerAgeMs(long changeBoundMs) {
        return changeBoundMs - readerPollMs(changeBoundMs) - REPLY_MS;
    }

    /** Starts the periodic messages to peers. */
    void start() {
        scheduleEvery(STATUS_INTERVAL_MS, this::pollPeers);
        scheduleEvery(ReadingShare.WORD_MS, this::reportToOwnDomain);
        scheduleEvery(readerPollMs, this::pollReaders);
    }

    private void scheduleEvery(long ms, Runnable step) {
        control.scheduleWithFixedDelay(step, ms, ms, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends the status to a peer whose link has come up: the peer may have missed changes for a
     * long time.
     */
    void onLinkUp(RouterId peer) {
        if (routers.storeRecipients().contains(peer)) {
            links.send(peer, ownStatus());
        }
    }

    /** Notifies peers of a catalog received from the store. */
    void onCatalogChange() {
        catalogSharing.recordCatalog();
        send(routers.storeRecipients(), ownStatus());
    }

    /** Notifies the own domain of a catalog received from another domain. */
    private void onCatalogReceived(RouterId by) {
        if (!routers.isInOwnDomain(by)) {
            send(routers.ownDomain(), ownStatus());
        }
    }

    /** Sends server updates from the store to peers. */
    void onServerUpdates(Optional<ServerUpdates> updates) {
        updates.ifPresent(u -> send(routers.storeRecipients(), u));
    }

    private void send(Collection<RouterId> recipients, PeerMessage message) {
        recipients.forEach(peer -> links.send(peer, message));
    }

    private StoreStatus ownStatus() {
        return new StoreStatus(
                deployment.catalogVersion(),
                storeReading.contact(),
                deployment.newestUpdate(),
                deployment.completeTo(),
                deployment.evidence().ageMs(clock.nowMs()));
    }

    /**
     * Reports to the own domain, more often than by the periodic status, that this router reads the
     * store: without these messages, substitutes would start to read.
     */
    void reportToOwnDomain() {
        if (storeReading.role().reads()) {
            send(routers.ownDomain(), ownStatus());
        }
    }

    /** Exchanges status messages with the routers that are polled in this round. */
    void pollPeers() {
        routers.pollTargets(round++).forEach(this::poll);
    }

    /**
     * Polls the readers of the own domain, so that this router's knowledge of the catalog is hardly
     * older than theirs. The first reader knows soonest by itself.
     */
    void pollReaders() {
        if (storeReading.role() != ReadingRole.FIRST) {
            readers.stream().limit(POLLED_READERS).toList().forEach(this::poll);
        }
    }

    private void poll(RouterId peer) {
        long askedMs = clock.nowMs();
        links.ask(peer, ownStatus(), REQUEST_TIMEOUT_MS)
                .whenComplete(
                        (m, e) ->
                                runOnControl(
                                        () -> {
                                            if (m != null) {
                                                recordReply(peer, (StoreStatus) m, askedMs);
                                            } else {
                                                recordSilence(peer, e);
                                            }
                                        }));
    }

    /**
     * Records the reply to a status. The reply was sent after the status, so the age in it counts
     * from then on; a message without that mark may have waited on its link for any time.
     */
    private void recordReply(RouterId from, StoreStatus status, long askedMs) {
        recordStatus(from, status);
        status.catalogAgeMs()
                .ifPresent(
                        a -> deployment.recordConfirmation(status.catalogVersion(), askedMs - a));
    }

    private void recordSilence(RouterId peer, Throwable error) {
        readers.remove(peer);
        LOG.debug("peers: no reply from {}, {}", peer, error.getMessage());
    }

    /** Handles a peer's status, and replies with this router's. */
    void handleStatus(RouterId from, StoreStatus status, Reply reply) {
        recordStatus(from, status);
        reply.send(ownStatus());
    }

    private void recordStatus(RouterId from, StoreStatus status) {
        boolean isStoreAnswering = status.contact() == StoreContact.HEARD;
        if (routers.isInOwnDomain(from)) {
            storeReading.recordContact(from, status.contact());
            if (isStoreAnswering) {
                readers.add(from);
            } else {
                readers.remove(from);
            }
        }
        if (status.catalogVersion() > deployment.catalogVersion()) {
            catalogSharing.handleVersion(from, status.catalogVersion());
        }
        if (!deployment.recordPeerProgress(status.newestUpdate(), status.completeTo())) {
            requestUpdates(from);
        } else if (isStoreAnswering) {
            updatesListener.accept(deployment.completeTo());
        }
    }

    /** Handles server updates from a peer. */
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
        if (isRequestInFlight || !storeReading.dependsOnPeers()) {
            return;
        }
        isRequestInFlight = true;
        links.ask(from, deployment.updatesRequest(), REQUEST_TIMEOUT_MS)
                .whenComplete(
                        (m, e) ->
                                runOnControl(
                                        () -> {
                                            isRequestInFlight = false;
                                            handleReply(from, Optional.ofNullable(m));
                                        }));
    }

    private void handleReply(RouterId from, Optional<PeerMessage> reply) {
        if (reply.isEmpty()) {
            LOG.info("instances: {} did not reply with the missing updates", from);
            return;
        }
        deployment.applyPeerUpdates((ServerUpdates) reply.get(), from.value());
    }

    /** Replies with the server updates that the peer lacks. */
    void handleRequest(ServersRequest request, Reply reply) {
        reply.send(deployment.replyTo(request));
    }

    private void runOnControl(Runnable step) {
        ControlThread.execute(control, step, "peers");
    }
}
