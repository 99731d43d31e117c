package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.EntryOrigin;
import org.masticweir.catalog.ServerBook;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.EngineId;
import org.masticweir.relay.RelayMessages.ServerUpdates;
import org.masticweir.relay.RelayMessages.ServersRequest;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.Revision;
import org.masticweir.time.Clock;

/**
 * This router's view of its deployment, from the store and from peers; owned by the control thread.
 *
 * <p>The newest version of the catalog and the newest update of each server apply, from the store
 * or from a peer. An older version or update never replaces a newer one.
 */
final class DeploymentState {
    private static final Logger LOG = LogManager.getLogger(DeploymentState.class);

    private final DeploymentFormat format;
    private final Clock clock;
    private final UnreadableRows unreadableRows;
    private final long changeBoundMs;
    private final ServerBook serverBook = ServerBook.create();
    private final Consumer<RelayView> viewListener;
    private Optional<CatalogText> catalogText = Optional.empty();
    private Optional<Catalog> catalog = Optional.empty();
    private long confirmedMs = CatalogEvidence.NEVER_MS;
    private boolean isNewestUnreadable;
    private final AwaitedCatalog awaitedCatalog = new AwaitedCatalog();
    private final UpdateProgress updateProgress = new UpdateProgress();

    /** Until when servers that a whole list lacks are doubted to be gone. */
    private long unlistedDoubtedUntilMs = Long.MIN_VALUE / 2;

    private volatile CatalogEvidence evidence;

    /**
     * Result of applying updates from a peer.
     *
     * @param isComplete whether this router has also received all earlier updates
     * @param hasChanges whether the view of the deployment changed
     */
    record UpdateResult(boolean isComplete, boolean hasChanges) {}

    /** The text of a catalog as stored, with its version. */
    record CatalogText(long version, String text) {}

    /**
     * Creates the state of a router that knows nothing yet.
     *
     * @param changeBoundMs time after which a change must be in force everywhere
     */
    DeploymentState(
            DeploymentFormat format,
            Clock clock,
            UnreadableRows unreadableRows,
            long changeBoundMs,
            Consumer<RelayView> viewListener) {
        this.format = checkNotNull(format, "format");
        this.clock = checkNotNull(clock, "clock");
        this.unreadableRows = checkNotNull(unreadableRows, "unreadableRows");
        this.changeBoundMs = changeBoundMs;
        this.viewListener = checkNotNull(viewListener, "viewListener");
        evidence = CatalogEvidence.none(changeBoundMs);
    }

    /**
     * Applies rows of the catalog's table; returns whether a newer version came into force.
     *
     * @param asOfMs a time at which the store held nothing newer than these rows
     */
    boolean applyCatalogRows(FeedOutcome.Rows rows, long asOfMs) {
        boolean newer = false;
        for (FeedOutcome.Change change : rows.changes()) {
            if (change.key().equals(format.catalogRow()) && !change.removed()) {
                CatalogUpdate update = applyCatalogText(change.value().orElse(""), "store");
                isNewestUnreadable = update == CatalogUpdate.UNREADABLE;
                newer |= update == CatalogUpdate.IN_FORCE;
            }
        }
        if (isNewestUnreadable) {
            confirmedMs = CatalogEvidence.NEVER_MS;
            updateEvidence();
        } else {
            recordConfirmation(catalogVersion(), asOfMs);
        }
        return newer;
    }

    /** Result of applying the text of a catalog. */
    enum CatalogUpdate {
        IN_FORCE,
        NOT_NEWER,
        UNREADABLE
    }

    /**
     * Applies the text of a catalog if it is newer than the version in force.
     *
     * @param source sender of the text, for the log
     */
    CatalogUpdate applyCatalogText(String text, String source) {
        Catalog parsed;
        try {
            parsed = format.catalog(text);
        } catch (IllegalArgumentException e) {
            unreadableRows.reportCatalog(source, e.getMessage());
            return CatalogUpdate.UNREADABLE;
        }
        if (catalog.isPresent() && parsed.version() <= catalog.get().version()) {
            return CatalogUpdate.NOT_NEWER;
        }
        LOG.info(
                "config: version {} from {} is in force, after {}, awaited for {} ms, {} characters",
                parsed.version(),
                source,
                catalogVersion(),
                awaitedCatalog.waitedMs(catalogVersion(), clock.nowMs()),
                text.length());
        catalog = Optional.of(parsed);
        catalogText = Optional.of(new CatalogText(parsed.version(), text));
        confirmedMs = awaitedCatalog.confirmedMs(parsed.version());
        publishView();
        updateEvidence();
        return CatalogUpdate.IN_FORCE;
    }

    /** Records that a peer holds {@code version} of the catalog. */
    void recordReportedVersion(long version) {
        awaitedCatalog.recordReport(version, clock.nowMs());
        updateEvidence();
    }

    /**
     * Returns the time since a peer first reported a newer version, in ms; 0 if no newer version is
     * awaited.
     */
    long catalogAwaitedMs() {
        return awaitedCatalog.waitedMs(catalogVersion(), clock.nowMs());
    }

    /** Returns the newest version of the catalog reported by peers; 0 if none. */
    long awaitedVersion() {
        return awaitedCatalog.version();
    }

    /** Returns the version of the catalog that is in force; 0 before the first. */
    long catalogVersion() {
        return catalog.map(Catalog::version).orElse(0L);
    }

    /**
     * Records that the store held no version newer than {@code version} at {@code asOfMs}, by its
     * own answer or by the report of a peer.
     */
    void recordConfirmation(long version, long asOfMs) {
        if (version == catalogVersion()) {
            confirmedMs = Math.max(confirmedMs, asOfMs);
            updateEvidence();
        } else {
            awaitedCatalog.recordConfirmation(version, asOfMs);
        }
    }

    /** Returns what this router knows of the catalog in force; may be called from any thread. */
    CatalogEvidence evidence() {
        return evidence;
    }

    private void updateEvidence() {
        evidence =
                new CatalogEvidence(
                        catalogVersion(),
                        confirmedMs,
                        awaitedCatalog.version(),
                        awaitedCatalog.lastReportMs(),
                        changeBoundMs);
    }

    /**
     * Applies rows of the servers' table; returns the updates to send to peers, if anything
     * changed.
     *
     * @param since the revision after which the rows are all changes; empty if they are a full
     *     reading of the table
     */
    Optional<ServerUpdates> applyServerRows(
            FeedOutcome.Rows rows, Optional<Revision> since, long removalDueMs) {
        List<ServerUpdate> updates = new ArrayList<>();
        long now = clock.nowMs();
        unlistedDoubtedUntilMs = Math.max(unlistedDoubtedUntilMs, removalDueMs);
        List<EngineId> listed = new ArrayList<>();
        boolean changed = false;
        Revision newest = UpdateProgress.BEFORE_FIRST_UPDATE;
        for (FeedOutcome.Change change : rows.changes()) {
            newest = Revision.max(newest, change.revision());
            Optional<EngineId> id = idOf(change);
            if (id.isEmpty()) {
                continue;
            }
            if (change.removed()) {
                removeServer(id.get(), change.revision(), removalDueMs, updates);
                continue;
            }
            Optional<BackendServer> server = parseServer(id.get(), change);
            if (server.isPresent()) {
                listed.add(id.get());
                EntryOrigin origin = EntryOrigin.of(since, change.revision());
                putServer(server.get(), change.revision(), origin, updates);
            } else {
                // The row replaces the earlier entry. A running server soon writes its entry again.
                removeServer(id.get(), change.revision(), now, updates);
            }
        }
        if (since.isEmpty()) {
            changed = serverBook.retain(listed, rows.revision(), now, removalDueMs);
            newest = rows.revision();
        }
        Revision previousNewest = updateProgress.newestUpdate();
        updateProgress.recordReading(rows.revision(), newest);
        logUpdates(updates, "store");
        if (changed || !updates.isEmpty()) {
            publishView();
        }
        return since.isEmpty() || updates.isEmpty()
                ? Optional.empty()
                : Optional.of(updatesAfter(previousNewest).including(updates));
    }

    /** Applies updates from a peer. */
    UpdateResult applyPeerUpdates(ServerUpdates message, String peer) {
        if (message.completeTo().era() < completeTo().era()) {
            LOG.info(
                    "instances: {} updates up to {} from {} are of an earlier era, {} is known",
                    message.updates().size(),
                    message.completeTo(),
                    peer,
                    completeTo());
            return new UpdateResult(true, false);
        }
        List<ServerUpdate> updates = new ArrayList<>();
        long now = clock.nowMs();
        unlistedDoubtedUntilMs = Math.max(unlistedDoubtedUntilMs, now + message.removalDelayMs());
        List<EngineId> listed = new ArrayList<>();
        Revision newest = message.afterRevision();
        boolean changed = false;
        for (ServerUpdate update : message.updates()) {
            newest = Revision.max(newest, update.revision());
            if (update.server().isPresent()) {
                listed.add(update.id());
                EntryOrigin origin = message.originOf(update);
                putServer(update.server().get(), update.revision(), origin, updates);
            } else {
                long ownDueMs = now + update.removalDelayMs().orElse(message.removalDelayMs());
                removeServer(update.id(), update.revision(), ownDueMs, updates);
            }
        }
        if (message.isFullList()) {
            long dueMs = now + message.removalDelayMs();
            changed = serverBook.retain(listed, message.completeTo(), now, dueMs);
        }
        boolean complete =
                updateProgress.recordUpdates(message.afterRevision(), message.completeTo(), newest);
        logUpdates(updates, peer);
        if (changed || !updates.isEmpty()) {
            publishView();
        }
        return new UpdateResult(complete, changed || !updates.isEmpty());
    }

    /**
     * Records that a peer has received no update after {@code newest} up to {@code completeTo};
     * returns whether this router has all updates up to there.
     */
    boolean recordPeerProgress(Revision newest, Revision completeTo) {
        return updateProgress.recordUpdates(newest, completeTo, UpdateProgress.BEFORE_FIRST_UPDATE);
    }

    /** Returns the revision of the newest server update. */
    Revision newestUpdate() {
        return updateProgress.newestUpdate();
    }

    /** Returns the revision up to which all server updates have been received. */
    Revision completeTo() {
        return updateProgress.completeTo();
    }

    /**
     * Returns all server updates after {@code revision}; all present servers if some of those
     * updates are no longer stored.
     */
    ServerUpdates updatesAfter(Revision revision) {
        Optional<ImmutableList<ServerBook.Word>> words =
                revision.equals(UpdateProgress.BEFORE_FIRST_UPDATE)
                        ? Optional.empty()
                        : serverBook.wordsAfter(revision);
        return words.map(w -> new ServerUpdates(revision, completeTo(), delayMs(w), toUpdates(w)))
                .orElseGet(
                        () ->
                                new ServerUpdates(
                                        UpdateProgress.BEFORE_FIRST_UPDATE,
                                        completeTo(),
                                        Math.max(0, unlistedDoubtedUntilMs - clock.nowMs()),
                                        presentServers()));
    }

    /** Returns the time until the last of the pending removals takes effect, in ms. */
    private long delayMs(List<ServerBook.Word> words) {
        return words.stream().mapToLong(this::delayMs).max().orElse(0);
    }

    private long delayMs(ServerBook.Word word) {
        long now = clock.nowMs();
        return word.dueMs() > now ? word.dueMs() - now : 0;
    }

    /** Returns the updates that the sender of {@code request} has not received. */
    ServerUpdates replyTo(ServersRequest request) {
        ServerUpdates newerUpdates = updatesAfter(request.completeTo());
        if (newerUpdates.isFullList() && request.digest() == serverBook.digest()) {
            return new ServerUpdates(
                    request.completeTo(),
                    newerUpdates.completeTo(),
                    newerUpdates.removalDelayMs(),
                    ImmutableList.of());
        }
        return newerUpdates;
    }

    /** Returns a request for the updates that this router has not received. */
    ServersRequest updatesRequest() {
        return new ServersRequest(updateProgress.completeTo(), serverBook.digest());
    }

    private ImmutableList<ServerUpdate> toUpdates(List<ServerBook.Word> words) {
        return words.stream().map(this::toUpdate).collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the update that reports {@code word}. Each removal has its own delay: a removal that
     * only this router doubts must not delay those that others report.
     */
    private ServerUpdate toUpdate(ServerBook.Word word) {
        return word.server()
                .map(s -> ServerUpdate.present(s, word.revision()))
                .orElseGet(
                        () ->
                                ServerUpdate.removed(
                                        word.id(),
                                        word.revision(),
                                        OptionalLong.of(delayMs(word))));
    }

    /** Applies removals that are due. */
    void tick() {
        if (serverBook.tick(clock.nowMs())) {
            LOG.info("instances: pending removals applied, {} servers left", serverCount());
            publishView();
        }
    }

    Optional<CatalogText> catalogText() {
        return catalogText;
    }

    /**
     * Returns updates for all servers except those whose removal is pending. The receiver removes
     * unlisted servers after the same delay.
     */
    private List<ServerUpdate> presentServers() {
        List<ServerUpdate> all = new ArrayList<>();
        for (ServerBook.Word word : serverBook.words()) {
            word.server().ifPresent(s -> all.add(ServerUpdate.present(s, word.revision())));
        }
        return all;
    }

    /** Returns whether a catalog and at least one server have been received. */
    boolean isReady() {
        return catalog.isPresent() && !serverBook.servers().isEmpty();
    }

    int serverCount() {
        return serverBook.servers().size();
    }

    private void putServer(
            BackendServer server,
            Revision revision,
            EntryOrigin origin,
            List<ServerUpdate> updates) {
        if (serverBook.put(server, revision, origin)) {
            updates.add(ServerUpdate.present(server, revision));
        }
    }

    /**
     * Removes a server at {@code dueMs}; adds an update for peers only if the removal is due now.
     * Peers that request updates receive a pending removal with its remaining delay.
     */
    private void removeServer(
            EngineId id, Revision revision, long dueMs, List<ServerUpdate> updates) {
        if (serverBook.remove(id, revision, clock.nowMs(), dueMs)) {
            updates.add(ServerUpdate.removed(id, revision, OptionalLong.of(0)));
        }
    }

    private Optional<EngineId> idOf(FeedOutcome.Change change) {
        try {
            return Optional.of(EngineId.of(change.key().key()));
        } catch (IllegalArgumentException e) {
            unreadableRows.report(change.key(), change.revision(), e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Returns the server that a row describes; empty if the row is invalid.
     *
     * <p>Prevents an invalid row from another writer (a missing field, a wrong type, a value out of
     * range) from routing requests to an address without a server, or from ending the reading of
     * the table.
     */
    private Optional<BackendServer> parseServer(EngineId id, FeedOutcome.Change change) {
        try {
            checkArgument(change.value().isPresent(), "the row has no text");
            BackendServer server = format.server(id, change.value().get());
            boolean hadStartTime =
                    serverBook.lifeOf(id).filter(ServerIncarnation::isStartKnown).isPresent();
            checkArgument(
                    server.incarnation().isStartKnown() || !hadStartTime,
                    "no start time, but an earlier entry had one");
            return Optional.of(server);
        } catch (IllegalArgumentException e) {
            unreadableRows.report(change.key(), change.revision(), e.getMessage());
            return Optional.empty();
        }
    }

    private static void logUpdates(List<ServerUpdate> updates, String source) {
        for (ServerUpdate update : updates) {
            LOG.info(
                    "instances: {} {}, revision {} from {}",
                    update.id(),
                    update.describe(),
                    update.revision(),
                    source);
        }
    }

    private void publishView() {
        viewListener.accept(RelayView.of(catalog, serverBook.servers()));
    }
}
