package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.RouterId;
import org.masticweir.metrics.MetricName;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.peer.Reply;
import org.masticweir.permits.LimitUpdate.ServerLimit;
import org.masticweir.time.Clock;

/**
 * Shares which servers are brittle, and requests room at them from one issuer a server. Owned by
 * the traffic thread, except where noted.
 */
public final class SharedRooms {
    private static final Logger LOG = LogManager.getLogger(SharedRooms.class);

    /** Timeout of a request for room, in ms. */
    private static final long REQUEST_TIMEOUT_MS = 100;

    /** Timeout of a forwarded request for room, in ms. */
    private static final long FORWARD_TIMEOUT_MS = 60;

    /**
     * Time after which room is requested again while another request is pending, in ms: one round
     * trip. With one request at a time, the reported count is exact.
     */
    private static final long PENDING_RETRY_MS = 5;

    /** Pause after a request without a reply, in ms. */
    private static final long UNANSWERED_RETRY_MS = 250;

    private final RouterId self;
    private final ServerLimits brittle;
    private final IssuerSelector issuers;
    private final RoomIssuer localIssuer = new RoomIssuer();
    private final PeerSender peers;
    private final Clock clock;
    private final Executor traffic;
    private final ToIntFunction<ServerIncarnation> ownRequestCount;
    private final Consumer<BrittleUpdate> broadcast;
    private final Set<ServerIncarnation> pendingRequests = new HashSet<>();
    private final Counter brittleCounter;
    private final Counter deniedCounter;
    private final Counter rejectedCounter;

    /**
     * Creates the shared rooms of one router.
     *
     * @param brittle rejections a second that servers announce to bear
     * @param permits selects the issuer of each server
     * @param ownRequestCount returns the number of this router's requests at a server
     * @param broadcast sends an update to all other routers
     */
    public SharedRooms(
            RouterId self,
            ServerLimits brittle,
            SharedPermits permits,
            PeerSender peers,
            Clock clock,
            Executor traffic,
            ToIntFunction<ServerIncarnation> ownRequestCount,
            MetricRegistry metrics,
            Consumer<BrittleUpdate> broadcast) {
        this.self = checkNotNull(self, "self");
        this.brittle = checkNotNull(brittle, "brittle");
        issuers = permits.issuers();
        this.peers = checkNotNull(peers, "peers");
        this.clock = checkNotNull(clock, "clock");
        this.traffic = checkNotNull(traffic, "traffic");
        this.ownRequestCount = checkNotNull(ownRequestCount, "ownRequestCount");
        this.broadcast = checkNotNull(broadcast, "broadcast");
        brittleCounter = metrics.counter(MetricName.of("servers_brittle"));
        deniedCounter = metrics.counter(MetricName.of("rooms_denied_total"));
        rejectedCounter = metrics.counter(MetricName.of("brittle_rejections_total"));
    }

    /**
     * Handles an answer of a server.
     *
     * @param rejections what the answer announces about rejections
     * @param sentMs time at which the answered request was sent
     */
    public void handleAnswer(ServerIncarnation server, AnnouncedLimit rejections, long sentMs) {
        long now = clock.nowMs();
        if (rejections.kind() == AnnouncedLimit.Kind.UNREADABLE) {
            LOG.info("rooms: {} announces an unreadable number of rejections", server);
        } else if (brittle.recordAnswer(server, rejections, sentMs, now)) {
            logChange(server, "its answer");
            ServerLimit changed = new ServerLimit(server, brittle.perSecond(server), 0);
            broadcast.accept(new BrittleUpdate(ImmutableList.of(changed)));
        }
    }

    /** Handles an update from another router. */
    public void handleUpdate(RouterId peer, BrittleUpdate update) {
        long now = clock.nowMs();
        for (ServerLimit server : update.servers()) {
            if (brittle.merge(server, now)) {
                logChange(server.server(), peer.value());
            }
        }
    }

    /** Returns an update for a router that has just been linked; empty if no server is brittle. */
    public Optional<BrittleUpdate> snapshot() {
        ImmutableList<ServerLimit> all = brittle.snapshot(clock.nowMs());
        return all.isEmpty() ? Optional.empty() : Optional.of(new BrittleUpdate(all));
    }

    private void logChange(ServerIncarnation server, String source) {
        updateCount();
        OptionalDouble rejections = brittle.perSecond(server);
        LOG.info(
                "rooms: {} {}, by {}",
                server,
                rejections.isPresent()
                        ? "is brittle, bears " + rejections.getAsDouble() + " rejections a second"
                        : "is not brittle any more",
                source);
    }

    private void updateCount() {
        brittleCounter.inc(brittle.limitedServerCount() - brittleCounter.getCount());
    }

    /** Removes all servers that are not in {@code listedServers}. */
    public void retainServers(Set<ServerIncarnation> listedServers) {
        brittle.retainServers(listedServers);
        pendingRequests.retainAll(listedServers);
        updateCount();
    }

    public boolean isBrittle(ServerIncarnation server) {
        return brittle.isLimited(server);
    }

    /**
     * Requests room for one request. After a denial, this router requests no room at the server
     * until {@link PermitDecision#retryAfterMs} has passed.
     *
     * @param urgency 0 is the most urgent
     */
    public void request(BackendServer server, int urgency, Consumer<PermitDecision> callback) {
        ServerIncarnation incarnation = server.incarnation();
        OptionalDouble maxRejections = brittle.perSecond(incarnation);
        if (maxRejections.isEmpty()) {
            callback.accept(PermitDecision.ofGrant());
            return;
        }
        RoomRequest request =
                new RoomRequest(
                        PermitKey.ofRoom(incarnation),
                        ownRequestCount.applyAsInt(incarnation),
                        server.slots(),
                        maxRejections.getAsDouble(),
                        urgency,
                        false);
        RouterId issuer = issuers.issuer(request.key());
        if (issuer.equals(self)) {
            accept(incarnation, issue(self, request), callback);
            return;
        }
        if (!pendingRequests.add(incarnation)) {
            accept(incarnation, PermitDecision.denied(PENDING_RETRY_MS), callback);
            return;
        }
        peers.ask(issuer, request, REQUEST_TIMEOUT_MS)
                .whenComplete(
                        (reply, error) -> {
                            PermitDecision decision = decision(issuer, request, reply, error);
                            traffic.execute(
                                    () -> {
                                        pendingRequests.remove(incarnation);
                                        accept(incarnation, decision, callback);
                                    });
                        });
    }

    private void accept(
            ServerIncarnation server, PermitDecision decision, Consumer<PermitDecision> callback) {
        if (!decision.isGranted()) {
            deniedCounter.inc();
            brittle.blockUntil(server, clock.nowMs() + decision.retryAfterMs());
        }
        callback.accept(decision);
    }

    /** Reports the end of a request at a server, if the server is brittle. */
    public void recordEnd(ServerIncarnation server, boolean isRejected) {
        if (!brittle.isLimited(server)) {
            return;
        }
        if (isRejected) {
            rejectedCounter.inc();
            LOG.info("rooms: {} rejected a request", server);
        }
        RoomReport report =
                new RoomReport(
                        PermitKey.ofRoom(server), ownRequestCount.applyAsInt(server), isRejected);
        RouterId issuer = issuers.issuer(report.key());
        if (issuer.equals(self)) {
            handleReport(self, report);
        } else {
            peers.send(issuer, report);
        }
    }

    /** Handles a report of this or another router; thread-safe. */
    public void handleReport(RouterId router, RoomReport report) {
        localIssuer.recordEnd(router, report, clock.nowMs());
    }

    /** Replies to a request; forwards it if a third router is the issuer. Thread-safe. */
    public void handleRequest(RouterId requester, RoomRequest request, Reply reply) {
        RouterId issuer = issuers.issuer(request.key());
        if (request.isForwarded() || issuer.equals(self)) {
            reply.send(new PermitReply(issue(requester, request)));
            return;
        }
        peers.ask(issuer, request.forwarded(), FORWARD_TIMEOUT_MS)
                .whenComplete(
                        (answer, error) ->
                                reply.send(
                                        new PermitReply(decision(issuer, request, answer, error))));
    }

    private PermitDecision issue(RouterId requester, RoomRequest request) {
        long now = clock.nowMs();
        return localIssuer.decide(
                requester, request, issuers.reachableFraction(now), issuers.linksChangedMs(), now);
    }

    private static PermitDecision decision(
            RouterId issuer, RoomRequest request, PeerMessage reply, Throwable error) {
        if (error == null && reply instanceof PermitReply answer) {
            return answer.decision();
        }
        LOG.info(
                "rooms: {} does not answer for {}, {}",
                issuer,
                request.key(),
                error == null ? "unexpected reply" : error.getMessage());
        return PermitDecision.denied(UNANSWERED_RETRY_MS);
    }
}
