package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.Counter;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.RequestLimits;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.relay.RelayMessages.ServerNews;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.RowKey;
import org.masticweir.time.ManualClock;

/** What a router believes of its deployment while rows come that it can't read. */
class DeploymentTest {
    static final String TABLE = "instances";

    /**
     * An entry is {@code PORT}, or {@code PORT@START}; a catalog is its version, and more lines
     * that nobody reads.
     */
    static final class Form implements DeploymentFormat {
        @Override
        public RowKey catalogRow() {
            return RowKey.of("settings", "catalog");
        }

        @Override
        public String serverTable() {
            return TABLE;
        }

        @Override
        public Catalog catalog(String text) {
            return Catalog.of(
                    Long.parseLong(text.lines().findFirst().orElse("")),
                    new RequestLimits(1_000),
                    ImmutableList.of(),
                    ImmutableList.of(),
                    ImmutableList.of());
        }

        @Override
        public BackendServer server(EngineId id, String text) {
            int at = text.indexOf('@');
            String port = at < 0 ? text : text.substring(0, at);
            long start = at < 0 ? 0 : Long.parseLong(text.substring(at + 1));
            return new BackendServer(
                    ServerIncarnation.of(id, start),
                    ServiceName.of("s"),
                    new InetSocketAddress("127.0.0.1", Integer.parseInt(port)),
                    DomainId.of("a"),
                    4,
                    false);
        }
    }

    private final ManualClock clock = ManualClock.startingAt(10_000);
    private final Counter unreadable = new Counter();
    private RelayView view = RelayView.empty();
    private final Deployment deployment =
            new Deployment(new Form(), clock, new UnreadableRows(unreadable), v -> view = v);

    private static FeedOutcome.Change row(String key, long revision, Optional<String> value) {
        return new FeedOutcome.Change(RowKey.of(TABLE, key), revision, false, value);
    }

    private static FeedOutcome.Change removed(String key, long revision) {
        return new FeedOutcome.Change(RowKey.of(TABLE, key), revision, true, Optional.empty());
    }

    private static FeedOutcome.Change row(String key, long revision, String value) {
        return row(key, revision, Optional.of(value));
    }

    private Optional<ServerNews> rows(boolean whole, FeedOutcome.Change... changes) {
        return rows(whole, clock.nowMs(), changes);
    }

    private Optional<ServerNews> rows(
            boolean whole, long removalDueMs, FeedOutcome.Change... changes) {
        long last = 0;
        for (FeedOutcome.Change change : changes) {
            last = Math.max(last, change.revision());
        }
        OptionalLong since = whole ? OptionalLong.empty() : OptionalLong.of(last - 1);
        return deployment.serverRows(
                new FeedOutcome.Rows(List.of(changes), last), since, removalDueMs);
    }

    private static ServerNews told(ServerWordNews word) {
        return new ServerNews(word.revision() - 1, word.revision(), 0, List.of(word));
    }

    private String servers() {
        return view.servers().values().stream()
                .map(s -> s.incarnation() + ":" + s.address().getPort())
                .sorted()
                .collect(Collectors.joining(" "));
    }

    /** A route or key was denied by a router that its peers had told of a newer catalog. */
    @Nested
    class ANewerCatalogThatPeersHold {
        private static final long SPAN_MS = Deployment.SURE_MS;

        private void inForce(long version) {
            deployment.catalogText(Long.toString(version), "store");
            deployment.confirmed();
            deployment.tick();
        }

        private void heardOf(long version) {
            deployment.heardOf(version);
            deployment.tick();
        }

        @Test
        void leavesTheRouterUnsureUntilItHoldsIt() {
            inForce(1);
            assertTrue(view.isCatalogFresh());
            heardOf(2);
            assertFalse(view.isCatalogFresh());
            inForce(2);
            assertTrue(view.isCatalogFresh());
        }

        @Test
        void countsNoMoreOnceNobodySpeaksOfIt() {
            inForce(1);
            heardOf(2);
            clock.advanceMs(SPAN_MS + 1);
            inForce(1);
            assertTrue(view.isCatalogFresh());
        }

        @Test
        void isNoneThatIsHeldOrOlder() {
            inForce(2);
            heardOf(2);
            heardOf(1);
            assertTrue(view.isCatalogFresh());
        }
    }

    /**
     * A caller's request waits for an address where nothing listens, or a router stops hearing of
     * servers: another writer put a row into the table, or over a server's own row.
     */
    @Nested
    class RowsOfAnotherWriter {
        @Test
        void nameNoServerAndHideNoOther() {
            rows(
                    true,
                    row("e1", 1, "81"),
                    row("e2", 2, "eighty"),
                    row("e3", 3, Optional.empty()),
                    row("no token!", 4, "84"),
                    row("e5", 5, "0"),
                    row("e6", 6, "86"));
            assertEquals("e1:81 e6:86", servers());
            assertEquals(4, unreadable.getCount());
        }

        @Test
        void takeAServerOutUntilItWritesAgain() {
            rows(true, row("e1", 1, "81"), row("e2", 2, "82"));
            assertEquals(1, rows(false, row("e1", 3, "???")).orElseThrow().words().size());
            assertEquals("e2:82", servers());
            rows(false, row("e1", 4, "81"));
            assertEquals("e1:81 e2:82", servers());
        }

        @Test
        void withoutAStartThatTheServerTold() {
            rows(true, row("e1", 1, "81@500"));
            rows(false, row("e1", 2, "99"));
            assertEquals("", servers());
            rows(false, row("e1", 3, "81@500"));
            assertEquals("e1@500:81", servers());
        }

        @Test
        void areReportedOnceARevision() {
            rows(true, row("e1", 1, "?"));
            rows(true, row("e1", 1, "?"));
            assertEquals(1, unreadable.getCount());
            rows(false, row("e1", 2, "?"));
            assertEquals(2, unreadable.getCount());
        }

        @Test
        void leaveTheConfigurationInForce() {
            FeedOutcome.Change good =
                    new FeedOutcome.Change(new Form().catalogRow(), 1, false, Optional.of("7"));
            FeedOutcome.Change bad =
                    new FeedOutcome.Change(new Form().catalogRow(), 2, false, Optional.empty());
            deployment.catalogRows(new FeedOutcome.Rows(List.of(good), 1));
            deployment.catalogRows(new FeedOutcome.Rows(List.of(bad), 2));
            assertEquals(7, view.catalog().orElseThrow().version());
        }
    }

    /**
     * A server that has left is sent requests for good, or one that lives is left: a router that
     * reads nothing itself is not told of a removal, or not that it is doubted.
     */
    @Nested
    class WhatPeersAreTold {
        private final Deployment peer =
                new Deployment(new Form(), clock, new UnreadableRows(unreadable), v -> {});

        private void peerAsks() {
            peer.peerWords(deployment.answer(peer.ask()), "r1");
        }

        private String peerServers() {
            return peer.after(WordsKnown.START).words().stream()
                    .map(w -> w.id().value())
                    .sorted()
                    .collect(Collectors.joining(" "));
        }

        @Test
        void aPeerThatKnowsNothingIsGivenAll() {
            rows(true, row("e1", 1, "81"), row("e2", 2, "82"));
            peerAsks();
            assertEquals("e1 e2", peerServers());
        }

        @Test
        void aPeerThatHasTheSameIsGivenNoList() {
            rows(true, row("e1", 1, "81"), row("e2", 2, "82"));
            peerAsks();
            rows(true, row("e1", 1, "81"), row("e2", 2, "82"));
            assertEquals(List.of(), deployment.answer(peer.ask()).words());
        }

        @Test
        void aPeerThatIsBehindIsGivenWhatChanged() {
            rows(true, row("e1", 1, "81"), row("e2", 2, "82"));
            peerAsks();
            rows(false, removed("e1", 3));
            rows(false, row("e3", 4, "83"));
            assertEquals(2, deployment.answer(peer.ask()).words().size());
            peerAsks();
            assertEquals("e2 e3", peerServers());
        }

        @Test
        void aRemovalThatIsDoubtedIsToldWithItsDoubt() {
            rows(true, row("e1", 1, "81"), row("e2", 2, "82"));
            peerAsks();
            rows(false, clock.nowMs() + 2_000, removed("e1", 3));
            peerAsks();
            clock.advanceMs(1_900);
            peer.tick();
            assertEquals(2, peer.serverCount());
            clock.advanceMs(200);
            peer.tick();
            assertEquals(1, peer.serverCount());
        }

        @Test
        void removalsOfAWholeReadingAreTold() {
            rows(true, row("e1", 1, "81"), row("e2", 2, "82"));
            peerAsks();
            rows(true, row("e2", 5, "82"));
            peerAsks();
            assertEquals("e2", peerServers());
        }
    }

    /**
     * A request is sent to where a server was: it started again under its id, at another address,
     * and a peer that the store turns away still tells of the life before.
     */
    @Nested
    class ServersThatStartAgain {
        @Test
        void areWhereTheLaterLifeIs() {
            rows(true, row("e1", 1, "81@500"));
            rows(false, row("e1", 2, "91@900"));
            assertEquals("e1@900:91", servers());
            BackendServer old = new Form().server(EngineId.of("e1"), "81@500");
            deployment.peerWords(told(ServerWordNews.present(old, 3)), "r2");
            assertEquals("e1@900:91", servers());
        }

        @Test
        void areHeardOfFromPeers() {
            rows(true, row("e1", 5, "81@500"));
            BackendServer later = new Form().server(EngineId.of("e1"), "91@900");
            deployment.peerWords(told(ServerWordNews.present(later, 4)), "r2");
            assertEquals("e1@900:91", servers());
        }
    }
}
