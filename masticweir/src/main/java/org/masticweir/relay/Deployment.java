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
import org.masticweir.relay.RelayMessages.ServerNews;
import org.masticweir.relay.RelayMessages.ServersAsk;
import org.masticweir.store.FeedOutcome;
import org.masticweir.time.Clock;

/**
 * What this router believes of its deployment, from the store and from peers; owned by the control
 * thread.
 *
 * <p>The newest version of the catalog and the newest word on each server win, whoever brings them;
 * nothing ever goes back to an older one.
 */
final class Deployment {
    private static final Logger LOG = LogManager.getLogger(Deployment.class);

    /**
     * Age of the last word on the catalog up to which a router denies what it does not know, in ms:
     * longer than the store's waits and shorter than the time a change may take on a router that is
     * cut off.
     */
    static final long SURE_MS = 6_000;

    private final DeploymentFormat form;
    private final Clock clock;
    private final UnreadableRows unreadable;
    private final ServerBook book = ServerBook.create();
    private final Consumer<RelayView> publish;
    private Optional<CatalogText> catalogText = Optional.empty();
    private Optional<Catalog> catalog = Optional.empty();
    private long confirmedMs = Long.MIN_VALUE / 2;
    private final AwaitedCatalog awaited = new AwaitedCatalog();
    private final WordsKnown words = new WordsKnown();
    private long doubtUntilMs = Long.MIN_VALUE / 2;
    private boolean wasSure;

    /**
     * What words of a peer were here.
     *
     * @param complete whether no word before them is missing
     * @param news whether they changed what is believed
     */
    record Told(boolean complete, boolean news) {}

    /** The catalog as it stands in the store. */
    record CatalogText(long version, String text) {}

    Deployment(
            DeploymentFormat form,
            Clock clock,
            UnreadableRows unreadable,
            Consumer<RelayView> publish) {
        this.form = checkNotNull(form, "form");
        this.clock = checkNotNull(clock, "clock");
        this.unreadable = checkNotNull(unreadable, "unreadable");
        this.publish = checkNotNull(publish, "publish");
    }

    /** Takes rows of the catalog's table; returns whether a newer version came. */
    boolean catalogRows(FeedOutcome.Rows rows) {
        confirmed();
        boolean newer = false;
        for (FeedOutcome.Change change : rows.changes()) {
            if (change.key().equals(form.catalogRow()) && !change.removed()) {
                newer |= catalogText(change.value().orElse(""), "store");
            }
        }
        publishIfSurenessChanged();
        return newer;
    }

    /**
     * Takes the catalog's text; returns whether it is newer than what was known.
     *
     * @param source who brought it, for the log
     */
    boolean catalogText(String text, String source) {
        Catalog read;
        try {
            read = form.catalog(text);
        } catch (IllegalArgumentException e) {
            LOG.error("config: a version from {} is not understood, {}", source, e.getMessage());
            return false;
        }
        if (catalog.isPresent() && read.version() <= catalog.get().version()) {
            return false;
        }
        LOG.info(
                "config: version {} from {} is in force, after {}, awaited for {} ms, {} characters",
                read.version(),
                source,
                catalogVersion(),
                awaited.waitedMs(catalogVersion(), clock.nowMs()),
                text.length());
        catalog = Optional.of(read);
        catalogText = Optional.of(new CatalogText(read.version(), text));
        publishView();
        return true;
    }

    /** Takes note that a peer holds {@code version} of the catalog. */
    void heardOf(long version) {
        awaited.heardOf(version, clock.nowMs());
        publishIfSurenessChanged();
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
    void confirmed() {
        confirmedMs = clock.nowMs();
    }

    /**
     * Takes rows of the servers' table; returns what peers are told, if anything was news.
     *
     * @param since the revision after which these are all changes; empty if they are all rows
     */
    Optional<ServerNews> serverRows(FeedOutcome.Rows rows, OptionalLong since, long removalDueMs) {
        List<ServerWordNews> news = new ArrayList<>();
        long now = clock.nowMs();
        doubtUntilMs = Math.max(doubtUntilMs, removalDueMs);
        List<EngineId> listed = new ArrayList<>();
        boolean changed = false;
        long newest = WordsKnown.START;
        for (FeedOutcome.Change change : rows.changes()) {
            newest = Math.max(newest, change.revision());
            Optional<EngineId> id = idOf(change);
            if (id.isEmpty()) {
                continue;
            }
            if (change.removed()) {
                remove(id.get(), change.revision(), removalDueMs, news);
                continue;
            }
            Optional<BackendServer> server = read(id.get(), change);
            if (server.isPresent()) {
                listed.add(id.get());
                put(server.get(), change.revision(), news);
            } else {
                // What the row said before is replaced. A server that lives writes it again soon.
                remove(id.get(), change.revision(), now, news);
            }
        }
        if (since.isEmpty()) {
            changed = book.retain(listed, rows.revision(), now, removalDueMs);
            newest = rows.revision();
        }
        long before = words.newest();
        words.read(rows.revision(), newest);
        tell(news, "store");
        if (changed || !news.isEmpty()) {
            publishView();
        }
        return since.isEmpty() || news.isEmpty() ? Optional.empty() : Optional.of(after(before));
    }

    /** Takes words of a peer; returns what they were here. */
    Told peerWords(ServerNews told, String peer) {
        List<ServerWordNews> news = new ArrayList<>();
        long dueMs = clock.nowMs() + told.doubtMs();
        doubtUntilMs = Math.max(doubtUntilMs, dueMs);
        List<EngineId> listed = new ArrayList<>();
        long newest = told.after();
        boolean changed = false;
        for (ServerWordNews word : told.words()) {
            newest = Math.max(newest, word.revision());
            if (word.server().isPresent()) {
                listed.add(word.id());
                put(word.server().get(), word.revision(), news);
            } else {
                remove(word.id(), word.revision(), dueMs, news);
            }
        }
        if (told.isWhole()) {
            changed = book.retain(listed, told.completeTo(), clock.nowMs(), dueMs);
        }
        boolean complete = words.told(told.after(), told.completeTo(), newest);
        tell(news, peer);
        if (changed || !news.isEmpty()) {
            publishView();
        }
        return new Told(complete, changed || !news.isEmpty());
    }

    /**
     * Takes note that a peer knows no word after {@code newest} up to {@code completeTo}; returns
     * whether none up to there is missing here.
     */
    boolean peerKnows(long newest, long completeTo) {
        return words.told(newest, completeTo, WordsKnown.START);
    }

    /** Returns the revision of the newest word on a server. */
    long newestWord() {
        return words.newest();
    }

    /** Returns the revision up to which all words on servers are known. */
    long completeTo() {
        return words.completeTo();
    }

    /** Returns all words on servers after {@code revision}, or all servers there are. */
    ServerNews after(long revision) {
        long doubtMs = Math.max(0, doubtUntilMs - clock.nowMs());
        Optional<ImmutableList<ServerWordNews>> after =
                revision == WordsKnown.START
                        ? Optional.empty()
                        : book.wordsAfter(revision).map(Deployment::words);
        return after.map(w -> new ServerNews(revision, words.completeTo(), doubtMs, w))
                .orElseGet(
                        () ->
                                new ServerNews(
                                        WordsKnown.START,
                                        words.completeTo(),
                                        doubtMs,
                                        allServers()));
    }

    /** Returns what a peer lacks that knows all words up to what {@code ask} says. */
    ServerNews answer(ServersAsk ask) {
        ServerNews after = after(ask.completeTo());
        if (after.isWhole() && ask.digest() == book.digest()) {
            return new ServerNews(
                    ask.completeTo(), after.completeTo(), after.doubtMs(), ImmutableList.of());
        }
        return after;
    }

    /** Returns the question for words that are missing here. */
    ServersAsk ask() {
        return new ServersAsk(words.completeTo(), book.digest());
    }

    private static ImmutableList<ServerWordNews> words(List<ServerBook.Word> words) {
        return words.stream()
                .map(w -> new ServerWordNews(w.id(), w.revision(), w.server()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Carries out what has become due. */
    void tick() {
        if (book.tick(clock.nowMs())) {
            LOG.info("instances: entries that lapsed did not come back, {} left", serverCount());
            publishView();
        }
        publishIfSurenessChanged();
    }

    Optional<CatalogText> catalogText() {
        return catalogText;
    }

    /** Those whose removal is doubted are left out: who lacks them doubts the removal as well. */
    private List<ServerWordNews> allServers() {
        List<ServerWordNews> all = new ArrayList<>();
        for (ServerBook.Word word : book.words()) {
            word.server().ifPresent(s -> all.add(ServerWordNews.present(s, word.revision())));
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

    private void put(BackendServer server, long revision, List<ServerWordNews> news) {
        if (book.put(server, revision)) {
            news.add(ServerWordNews.present(server, revision));
        }
    }

    /** A removal that is not due yet is no news; peers that ask are told of it with its doubt. */
    private void remove(EngineId id, long revision, long dueMs, List<ServerWordNews> news) {
        if (book.remove(id, revision, clock.nowMs(), dueMs)) {
            news.add(ServerWordNews.removed(id, revision));
        }
    }

    private Optional<EngineId> idOf(FeedOutcome.Change change) {
        try {
            return Optional.of(EngineId.of(change.key().key()));
        } catch (IllegalArgumentException e) {
            unreadable.found(change.key(), change.revision(), e.getMessage());
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
    private Optional<BackendServer> read(EngineId id, FeedOutcome.Change change) {
        try {
            checkArgument(change.value().isPresent(), "it holds no text");
            BackendServer server = form.server(id, change.value().get());
            boolean startWasTold =
                    book.lifeOf(id).filter(ServerIncarnation::isStartKnown).isPresent();
            checkArgument(
                    server.incarnation().isStartKnown() || !startWasTold,
                    "no start time, though it had one before");
            return Optional.of(server);
        } catch (IllegalArgumentException e) {
            unreadable.found(change.key(), change.revision(), e.getMessage());
            return Optional.empty();
        }
    }

    private static void tell(List<ServerWordNews> news, String source) {
        for (ServerWordNews word : news) {
            LOG.info(
                    "instances: {} {}, revision {} from {}",
                    word.id(),
                    word.state(),
                    word.revision(),
                    source);
        }
    }

    /** Who knows of a newer catalog denies nothing by the one it has. */
    private boolean isSure() {
        long now = clock.nowMs();
        return now - confirmedMs <= SURE_MS && !awaited.isAwaited(catalogVersion(), now, SURE_MS);
    }

    private void publishIfSurenessChanged() {
        if (isSure() != wasSure) {
            publishView();
        }
    }

    private void publishView() {
        wasSure = isSure();
        publish.accept(RelayView.of(catalog, book.servers(), wasSure));
    }
}
