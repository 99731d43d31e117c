package org.masticweir.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.feed.ReadingRole;
import org.masticweir.feed.ReadingShare;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Rendezvous;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.peer.Reply;
import org.masticweir.relay.RelayMessages.CatalogRequest;
import org.masticweir.relay.RelayMessages.RouterInfo;
import org.masticweir.relay.RelayMessages.ServerUpdates;
import org.masticweir.relay.RelayMessages.ServersRequest;
import org.masticweir.relay.RelayMessages.StoreStatus;
import org.masticweir.store.Revision;
import org.masticweir.time.ManualScheduler;

/**
 * Simulation of routers that share the reading of a store, in one process and with a manual clock:
 * the routers' decisions and messages are those of the production code; links and store are fakes
 * with the faults that a test sets.
 */
final class SimulatedFleet {
    private static final long LINK_MS = 1;
    private static final long TICK_MS = 100;

    /** Time after which a change must be in force everywhere. */
    static final long CHANGE_BOUND_MS = 4_000;

    /** Longest message that a link delivers. */
    private static final long MAX_FRAME_BYTES = 1 << 20;

    /** Fault of a router's calls to the store. */
    enum StoreFault {
        NONE,
        REFUSED,
        SILENT
    }

    final ManualScheduler scheduler = new ManualScheduler();
    final FakeStore store = new FakeStore(scheduler);
    final Map<RouterId, Router> routers = new LinkedHashMap<>();

    /** Whether the link from the first router to the second is partitioned. */
    BiPredicate<RouterId, RouterId> isCut = (from, to) -> false;

    long messageCount;

    private final double bytesPerMs;

    SimulatedFleet(int count, int domains) {
        this(count, domains, Double.POSITIVE_INFINITY, "1");
    }

    /**
     * Creates a fleet that has just started.
     *
     * @param bytesPerMs bandwidth of the link of each router to its peers
     * @param catalog text of the first catalog
     */
    SimulatedFleet(int count, int domains, double bytesPerMs, String catalog) {
        this.bytesPerMs = bytesPerMs;
        store.put("e1", "81");
        store.catalog(catalog);
        for (int i = 0; i < count; i++) {
            RouterId id = RouterId.of("r" + i);
            RouterInfo at =
                    new RouterInfo(
                            id,
                            DomainId.of("d" + i % domains),
                            new InetSocketAddress("127.0.0.1", 1 + i));
            routers.put(id, new Router(at));
        }
        for (Router router : routers.values()) {
            routers.values().forEach(other -> router.knownRouters.add(other.info));
        }
        routers.values().forEach(Router::start);
    }

    long nowMs() {
        return scheduler.clock().nowMs();
    }

    void runFor(long ms) {
        scheduler.runTo(nowMs() + ms);
    }

    List<Router> domain(String domain) {
        return routers.values().stream()
                .filter(r -> r.info.domain().value().equals(domain))
                .toList();
    }

    /** Returns the routers of {@code domain} in the order of their ranks for reading the store. */
    List<Router> byRank(String domain) {
        List<Router> ranked = new ArrayList<>(domain(domain));
        ranked.sort((a, b) -> Long.compare(weight(b), weight(a)));
        return ranked;
    }

    private static long weight(Router router) {
        return Rendezvous.weight(ReadingShare.DUTY, router.info.id());
    }

    /** Returns the total length of the messages that all routers have sent to peers, in bytes. */
    long sentBytes() {
        return routers.values().stream().mapToLong(r -> r.uplink.sentBytes()).sum();
    }

    /**
     * Runs for {@code ms} and returns the number of routers that then hold {@code version} of the
     * catalog.
     */
    long countHoldersAfter(long version, long ms) {
        runFor(ms);
        return routers.values().stream().filter(r -> r.catalogVersion() == version).count();
    }

    /**
     * Runs for {@code ms} and asserts at each moment that no router denies an unknown route while a
     * version newer than its own was acknowledged more than {@code boundMs} ago. Routers whose
     * control thread stands still are included: their traffic thread still answers.
     */
    void assertNoDenialByOlderVersion(long ms, long boundMs) {
        long endMs = nowMs() + ms;
        while (nowMs() < endMs) {
            runFor(10);
            long due = store.versionAcknowledgedBefore(boundMs);
            for (Router router : routers.values()) {
                if (router.catalogVersion() < due && router.deniesUnknownRoutes()) {
                    throw new AssertionError(
                            "%s denies by version %d at %d ms, %d was acknowledged %d ms before"
                                    .formatted(
                                            router.info.id(),
                                            router.catalogVersion(),
                                            nowMs(),
                                            due,
                                            boundMs));
                }
            }
        }
    }

    /**
     * Runs until all routers of {@code observers} have received {@code port} as the port of server
     * e1; returns the time that passed, in ms, or {@code Long.MAX_VALUE} if it would exceed {@code
     * limitMs}.
     */
    long timeUntilAllSee(List<Router> observers, String port, long limitMs) {
        long startMs = nowMs();
        while (!observers.stream().allMatch(r -> r.seenPort().equals(port))) {
            if (nowMs() - startMs > limitMs) {
                return Long.MAX_VALUE;
            }
            runFor(10);
        }
        return nowMs() - startMs;
    }

    /** One router: its view of the deployment, its role in reading, and its messages. */
    final class Router implements PeerSender {
        final RouterInfo info;
        final KnownRouters knownRouters;
        final DeploymentState deployment;
        boolean isRunning = true;
        StoreFault fault = StoreFault.NONE;
        RelayView view = RelayView.empty();
        private final StoreReading reading;
        private final CatalogSharing catalogs;
        private final StoreSharing sharing;
        private final StoreFollowers followers;
        private final SimulatedUplink uplink = new SimulatedUplink(scheduler, bytesPerMs);

        Router(RouterInfo at) {
            this.info = at;
            knownRouters = new KnownRouters(at);
            deployment =
                    new DeploymentState(
                            new DeploymentStateTest.TestFormat(),
                            scheduler.clock(),
                            new UnreadableRows(new Counter()),
                            CHANGE_BOUND_MS,
                            v -> view = v);
            reading = new StoreReading(ReadingShare.of(at.id()), scheduler.clock());
            catalogs =
                    new CatalogSharing(
                            this, deployment, scheduler, scheduler.clock(), new MetricRegistry());
            sharing =
                    new StoreSharing(
                            this,
                            knownRouters,
                            deployment,
                            catalogs,
                            reading,
                            this::onUpdates,
                            scheduler,
                            scheduler.clock(),
                            StoreSharing.readerPollMs(CHANGE_BOUND_MS));
            followers =
                    new StoreFollowers(
                            new DeploymentStateTest.TestFormat(),
                            store.clientFor(this),
                            deployment,
                            sharing,
                            reading,
                            CHANGE_BOUND_MS,
                            scheduler,
                            scheduler.clock());
        }

        private void onUpdates(Revision revision) {
            followers.recordServersReceived(revision);
        }

        void start() {
            scheduler.execute(followers::start);
            scheduleEvery(TICK_MS, this::tick);
            scheduleEvery(StoreSharing.STATUS_INTERVAL_MS, sharing::pollPeers);
            scheduleEvery(ReadingShare.WORD_MS, sharing::reportToOwnDomain);
            scheduleEvery(StoreSharing.readerPollMs(CHANGE_BOUND_MS), sharing::pollReaders);
        }

        private void tick() {
            deployment.tick();
            reading.tick();
        }

        private void scheduleEvery(long ms, Runnable step) {
            scheduler.at(
                    nowMs() + ms,
                    () -> {
                        if (isRunning) {
                            step.run();
                        }
                        scheduleEvery(ms, step);
                    });
        }

        /** Stops the router but closes no link, as at a loss of power. */
        void stopSilently() {
            isRunning = false;
        }

        /** Stops the router and closes the links to it. */
        void stopAndCloseLinks() {
            isRunning = false;
            routers.values().forEach(r -> r.reading.recordLinkClosed(info.id()));
        }

        ReadingRole role() {
            return reading.role();
        }

        /**
         * Returns whether a request for an unknown route would be denied now, rather than refused.
         */
        boolean deniesUnknownRoutes() {
            return deployment.evidence().permitsDenial(catalogVersion(), nowMs());
        }

        /** Returns the port of server e1 in this router's view; empty if it has no such server. */
        String seenPort() {
            return view.servers().values().stream()
                    .filter(s -> s.id().value().equals("e1"))
                    .map(s -> Integer.toString(s.address().getPort()))
                    .findFirst()
                    .orElse("");
        }

        /** Returns whether this router may send new requests to {@code server}. */
        boolean sendsTo(String server) {
            return view.servers().values().stream()
                    .anyMatch(s -> s.id().value().equals(server) && !s.leaving());
        }

        long catalogVersion() {
            return deployment.catalogText().map(DeploymentState.CatalogText::version).orElse(0L);
        }

        @Override
        public boolean send(RouterId to, PeerMessage message) {
            deliver(this, routers.get(to), message, reply -> {});
            return true;
        }

        @Override
        public CompletableFuture<PeerMessage> ask(
                RouterId to, PeerMessage message, long timeoutMs) {
            CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
            Router other = routers.get(to);
            deliver(
                    this,
                    other,
                    message,
                    reply -> transmit(other, this, reply, () -> answer.complete(reply)));
            scheduler.at(nowMs() + timeoutMs, () -> answer.completeExceptionally(timeout()));
            return answer;
        }

        private void receive(
                RouterId from, PeerMessage message, Consumer<PeerMessage> replyConsumer) {
            Reply reply = new FakeReply(replyConsumer);
            if (message instanceof StoreStatus status) {
                sharing.handleStatus(from, status, reply);
            } else if (message instanceof ServerUpdates updates) {
                sharing.handleUpdates(from, updates);
            } else if (message instanceof ServersRequest request) {
                sharing.handleRequest(request, reply);
            } else if (message instanceof CatalogRequest request) {
                catalogs.handleRequest(request, reply);
            }
        }
    }

    private static MasticweirException timeout() {
        return MasticweirException.notRun(ErrorCode.DEADLINE_EXCEEDED, "no reply");
    }

    private void deliver(
            Router from, Router to, PeerMessage message, Consumer<PeerMessage> replyConsumer) {
        messageCount++;
        transmit(from, to, message, () -> to.receive(from.info.id(), message, replyConsumer));
    }

    private void transmit(Router from, Router to, PeerMessage message, Runnable step) {
        long bytes = MessageSize.bytesOf(message);
        if (isCut.test(from.info.id(), to.info.id()) || bytes > MAX_FRAME_BYTES) {
            return;
        }
        from.uplink.send(to.info.id(), bytes, () -> arriveLater(to, step));
    }

    private void arriveLater(Router to, Runnable step) {
        scheduler.at(
                nowMs() + LINK_MS,
                () -> {
                    if (to.isRunning) {
                        step.run();
                    }
                });
    }

    /** Passes the reply to a consumer. */
    private record FakeReply(Consumer<PeerMessage> replyConsumer) implements Reply {
        @Override
        public boolean send(PeerMessage message) {
            replyConsumer.accept(message);
            return true;
        }

        @Override
        public boolean fail(MasticweirException error) {
            return false;
        }
    }
}
