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
import org.masticweir.catalog.ServerBook;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.EngineId;
import org.masticweir.relay.RelayMessages.ServerUpdates;
import org.masticweir.relay.RelayMessages.ServersRequest;
import org.masticweir.store.FeedOutcome;
import org.masticweir.time.Clock;

/**
 * What this router believes of its deployment, from the store and from peers; owned by the control
 * thread.
 *
 * <p>The newest version of the catalog and the newest word on each server win, whoever brings them;
 * nothing ever goes back to an older one.
 */
final class DeploymentState {
    private static final Logger LOG = LogManager.getLogger(DeploymentState.class);

    /**
     * Age of the last word on the catalog up to which a router denies what it does not know, in ms:
     * longer than the store's waits and shorter than the time a change may take on a router that is
     * cut off.
     */
    static final long FRESH_MS = 6_000;

    private final DeploymentFormat form;
    private final Clock clock;
    private final UnreadableRows unreadableRows;
    private final ServerBook book = ServerBook.create();
    private final Consumer<RelayView> publish;
    private Optional<CatalogText> catalogText = Optional.empty();
    private Optional<Catalog> catalog = Optional.empty();
    private long lastConfirmedMs = Long.MIN_VALUE / 2;
    private final AwaitedCatalog awaited = new AwaitedCatalog();
    private final UpdateProgress progress = new UpdateProgress();
    private long removalsPendingUntilMs = Long.MIN_VALUE / 2;
    private boolean wasFresh;

    /**
     * What words of a peer were here.
     *
     * @param isComplete whether no word before them is missing
     * @param hasChanges whether they changed what is believed
     */
    record UpdateResult(boolean isComplete, boolean hasChanges) {}

    /** The catalog as it stands in the store. */
    record CatalogText(long version, String text) {}

    DeploymentState(
            DeploymentFormat form,
            Clock clock,
            UnreadableRows unreadable,
            Consumer<RelayView> publish) {
        this.form = checkNotNull(form, "form");
        this.clock = checkNotNull(clock, "clock");
        this.unreadableRows = checkNotNull(unreadable, "unreadable");
        this.publish = checkNotNull(publish, "publish");
    }

    /** Takes rows of the catalog's table; returns whether a newer version came. */
    boolean applyCatalogRows(FeedOutcome.Rows rows) {
        recordConfirmation();
        boolean newer = false;
        for (FeedOutcome.Change change : rows.changes()) {
            if (change.key().equals(form.catalogRow()) && !change.removed()) {
                newer |= catalogText(change.value().orElse(""), "store");
            }
        }
        publishIfFreshnessChanged();
        return newer;
    }

    /**
     * Takes the catalog's text; returns whether it is newer than what was known.
     *
     * @param source who brought it, for the log
     */
    boolean catalogText(String text, String source) {
        Catalog parsed;
        try {
            parsed = form.catalog(text);
        } catch (IllegalArgumentException e) {
            LOG.error("config: a version from {} is not understood, {}", source, e.getMessage());
            return false;
        }
        if (catalog.isPresent() && parsed.version() <= catalog.get().version()) {
            return false;
        }
        LOG.info(
                "config: version {} from {} is in force, after {}, awaited for {} ms, {} characters",
                parsed.version(),
                source,
                catalogVersion(),
                awaited.waitedMs(catalogVersion(), clock.nowMs()),
                text.length());
        catalog = Optional.of(parsed);
        catalogText = Optional.of(new CatalogText(parsed.version(), text));
        publishView();
        return true;
    }

    /** Takes note that a peer holds {@code version} of the catalog. */
    void recordVersion(long version) {
        awaited.recordReport(version, clock.nowMs());
        publishIfFreshnessChanged();
    }

    /** Returns for how long a version that peers hold has been awaited, in ms; 0 if none is. */
    long catalogAwaitedMs() {
        return awaited.waitedMs(catalogVersion(), clock.nowMs());
    }

    /** Returns the newest version of the catalog that peers have named; 0 if none. */
    long awaitedVersion() {
        return awaited.version();
    }

    /** Returns the version of the catalog that is in force; 0 before the first. */
    long catalogVersion() {
        return catalog.map(Catalog::version).orElse(0L);
    }

    /** Someone who hears the store has no newer catalog. */
    void recordConfirmation() {
        lastConfirmedMs = clock.nowMs();
    }

    /**
     * Takes rows of the servers' table; returns what peers are told, if anything was news.
     *
     * @param since the revision after which these are all changes; empty if they are all rows
     */
    Optional<ServerUpdates> applyServerRows(
            FeedOutcome.Rows rows, OptionalLong since, long removalDueMs) {
        List<ServerUpdate> updates = new ArrayList<>();
        long now = clock.nowMs();
        removalsPendingUntilMs = Math.max(removalsPendingUntilMs, removalDueMs);
        List<EngineId> listed = new ArrayList<>();
        boolean changed = false;
        long newest = UpdateProgress.START;
        for (FeedOutcome.Change change : rows.changes()) {
            newest = Math.max(newest, change.revision());
            Optional<EngineId> id = idOf(change);
            if (id.isEmpty()) {
                continue;
            }
            if (change.removed()) {
                remove(id.get(), change.revision(), removalDueMs, updates);
                continue;
            }
            Optional<BackendServer> server = parseServer(id.get(), change);
            if (server.isPresent()) {
                listed.add(id.get());
                put(server.get(), change.revision(), updates);
            } else {
                // What the row said before is replaced. A server that lives writes it again soon.
                remove(id.get(), change.revision(), now, updates);
            }
        }
        if (since.isEmpty()) {
            changed = book.retain(listed, rows.revision(), now, removalDueMs);
            newest = rows.revision();
        }
        long before = progress.newest();
        progress.recordReading(rows.revision(), newest);
        logUpdates(updates, "store");
        if (changed || !updates.isEmpty()) {
            publishView();
        }
        return since.isEmpty() || updates.isEmpty()
                ? Optional.empty()
                : Optional.of(updatesAfter(before));
    }

    /** Takes words of a peer; returns what they were here. */
    UpdateResult applyPeerUpdates(ServerUpdates message, String peer) {
        List<ServerUpdate> updates = new ArrayList<>();
        long dueMs = clock.nowMs() + message.removalDelayMs();
        removalsPendingUntilMs = Math.max(removalsPendingUntilMs, dueMs);
        List<EngineId> listed = new ArrayList<>();
        long newest = message.after();
        boolean changed = false;
        for (ServerUpdate update : message.updates()) {
            newest = Math.max(newest, update.revision());
            if (update.server().isPresent()) {
                listed.add(update.id());
                put(update.server().get(), update.revision(), updates);
            } else {
                remove(update.id(), update.revision(), dueMs, updates);
            }
        }
        if (message.isFullList()) {
            changed = book.retain(listed, message.completeTo(), clock.nowMs(), dueMs);
        }
        boolean complete = progress.recordUpdates(message.after(), message.completeTo(), newest);
        logUpdates(updates, peer);
        if (changed || !updates.isEmpty()) {
            publishView();
        }
        return new UpdateResult(complete, changed || !updates.isEmpty());
    }

    /**
     * Takes note that a peer knows no word after {@code newest} up to {@code completeTo}; returns
     * whether none up to there is missing here.
     */
    boolean recordPeerProgress(long newest, long completeTo) {
        return progress.recordUpdates(newest, completeTo, UpdateProgress.START);
    }

    /** Returns the revision of the newest word on a server. */
    long newestUpdate() {
        return progress.newest();
    }

    /** Returns the revision up to which all words on servers are known. */
    long completeTo() {
        return progress.completeTo();
    }

    /** Returns all words on servers after {@code revision}, or all servers there are. */
    ServerUpdates updatesAfter(long revision) {
        long delayMs = Math.max(0, removalsPendingUntilMs - clock.nowMs());
        Optional<ImmutableList<ServerUpdate>> after =
                revision == UpdateProgress.START
                        ? Optional.empty()
                        : book.wordsAfter(revision).map(DeploymentState::toUpdates);
        return after.map(u -> new ServerUpdates(revision, progress.completeTo(), delayMs, u))
                .orElseGet(
                        () ->
                                new ServerUpdates(
                                        UpdateProgress.START,
                                        progress.completeTo(),
                                        delayMs,
                                        presentServers()));
    }

    /** Returns what a peer lacks that knows all words up to what {@code ask} says. */
    ServerUpdates replyTo(ServersRequest request) {
        ServerUpdates after = updatesAfter(request.completeTo());
        if (after.isFullList() && request.digest() == book.digest()) {
            return new ServerUpdates(
                    request.completeTo(),
                    after.completeTo(),
                    after.removalDelayMs(),
                    ImmutableList.of());
        }
        return after;
    }

    /** Returns the question for words that are missing here. */
    ServersRequest updatesRequest() {
        return new ServersRequest(progress.completeTo(), book.digest());
    }

    private static ImmutableList<ServerUpdate> toUpdates(List<ServerBook.Word> words) {
        return words.stream()
                .map(w -> new ServerUpdate(w.id(), w.revision(), w.server()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Carries out what has become due. */
    void tick() {
        if (book.tick(clock.nowMs())) {
            LOG.info("instances: entries that lapsed did not come back, {} left", serverCount());
            publishView();
        }
        publishIfFreshnessChanged();
    }

    Optional<CatalogText> catalogText() {
        return catalogText;
    }

    /** Those whose removal is doubted are left out: who lacks them doubts the removal as well. */
    private List<ServerUpdate> presentServers() {
        List<ServerUpdate> all = new ArrayList<>();
        for (ServerBook.Word word : book.words()) {
            word.server().ifPresent(s -> all.add(ServerUpdate.present(s, word.revision())));
        }
        return all;
    }

    /** Returns whether a router can serve: a catalog and servers are known. */
    boolean isReady() {
        return catalog.isPresent() && !book.servers().isEmpty();
    }

    int serverCount() {
        return book.servers().size();
    }

    private void put(BackendServer server, long revision, List<ServerUpdate> updates) {
        if (book.put(server, revision)) {
            updates.add(ServerUpdate.present(server, revision));
        }
    }

    /** A removal that is not due yet is no news; peers that ask are told of it with its doubt. */
    private void remove(EngineId id, long revision, long dueMs, List<ServerUpdate> updates) {
        if (book.remove(id, revision, clock.nowMs(), dueMs)) {
            updates.add(ServerUpdate.removed(id, revision));
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
     * Returns the server that a row names, if it names one to use.
     *
     * <p>Failure guarded against: another writer's row, with a field missing, of another type or
     * beyond its range, takes requests to an address where no server is, or ends the following of
     * the table.
     */
    private Optional<BackendServer> parseServer(EngineId id, FeedOutcome.Change change) {
        try {
            checkArgument(change.value().isPresent(), "it holds no text");
            BackendServer server = form.server(id, change.value().get());
            boolean hadStartTime =
                    book.lifeOf(id).filter(ServerIncarnation::isStartKnown).isPresent();
            checkArgument(
                    server.incarnation().isStartKnown() || !hadStartTime,
                    "no start time, though it had one before");
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

    /** Who knows of a newer catalog denies nothing by the one it has. */
    private boolean isCatalogFresh() {
        long now = clock.nowMs();
        return now - lastConfirmedMs <= FRESH_MS
                && !awaited.isAwaited(catalogVersion(), now, FRESH_MS);
    }

    private void publishIfFreshnessChanged() {
        if (isCatalogFresh() != wasFresh) {
            publishView();
        }
    }

    private void publishView() {
        wasFresh = isCatalogFresh();
        publish.accept(RelayView.of(catalog, book.servers(), wasFresh));
    }
}
