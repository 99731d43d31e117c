package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.id.RouterId;
import org.masticweir.metrics.MetricName;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.peer.Reply;
import org.masticweir.time.Clock;

/**
 * Requests permits from their issuers, and issues the permits of the rates whose issuer is this
 * router. Thread-safe.
 *
 * <p>A server may accept only a few requests a second from hundreds of routers together. If each
 * router applied the whole limit, the total would be the limit multiplied by the number of routers.
 * If each router applied its share of the limit, every router would round its share up to a whole
 * request.
 */
public final class SharedPermits {
    private static final Logger LOG = LogManager.getLogger(SharedPermits.class);

    /**
     * Timeout of a permit request, in ms: many times the network delay, but much shorter than a
     * latency goal.
     */
    private static final long REQUEST_TIMEOUT_MS = 100;

    /** Timeout of a forwarded permit request, in ms. */
    private static final long FORWARD_TIMEOUT_MS = 60;

    /** Pause after a permit request without a reply, in ms. */
    private static final long UNANSWERED_RETRY_MS = 250;

    private final RouterId self;
    private final PeerSender peerSender;
    private final Clock clock;
    private final Executor trafficExecutor;
    private final IssuerSelector issuerSelector;
    private final PermitIssuer localIssuer = new PermitIssuer();
    private final Counter issuedCounter;
    private final Counter deniedCounter;
    private final Counter unansweredCounter;

    /**
     * Creates the shared permits of one router.
     *
     * @param trafficExecutor runs the callbacks that receive the decisions
     */
    public SharedPermits(
            RouterId self,
            PeerSender links,
            Clock clock,
            Executor traffic,
            MetricRegistry metrics) {
        this.self = checkNotNull(self, "self");
        this.peerSender = checkNotNull(links, "links");
        this.clock = checkNotNull(clock, "clock");
        this.trafficExecutor = checkNotNull(traffic, "traffic");
        issuerSelector = new IssuerSelector(self, clock.nowMs());
        issuedCounter = metrics.counter(MetricName.of("permits_issued_total"));
        deniedCounter = metrics.counter(MetricName.of("permits_denied_total"));
        unansweredCounter = metrics.counter(MetricName.of("permit_asks_unanswered_total"));
    }

    IssuerSelector issuers() {
        return issuerSelector;
    }

    /** Adds a known router. The router may issue permits once it is linked. */
    public void addRouter(RouterId router) {
        issuerSelector.addRouter(router, clock.nowMs());
    }

    public void onLinkUp(RouterId router) {
        issuerSelector.onLinkUp(router, clock.nowMs());
    }

    public void onLinkDown(RouterId router) {
        issuerSelector.onLinkDown(router, clock.nowMs());
    }

    /**
     * Requests a permit for one use of a rate; called on the traffic thread.
     *
     * @param urgency 0 is the most urgent
     * @param callback receives the decision on the traffic thread. If this router is the issuer,
     *     the callback is called before this method returns.
     */
    public void request(
            PermitKey key, int urgency, SharedRate rate, Consumer<PermitDecision> callback) {
        RouterId issuerId = issuerSelector.issuer(key);
        PermitRequest request = new PermitRequest(key, urgency, rate, false);
        if (issuerId.equals(self)) {
            callback.accept(issue(self, request));
            return;
        }
        peerSender
                .ask(issuerId, request, REQUEST_TIMEOUT_MS)
                .whenComplete(
                        (reply, error) -> {
                            PermitDecision decision =
                                    decisionFromReply(issuerId, key, reply, error);
                            trafficExecutor.execute(() -> callback.accept(decision));
                        });
    }

    /**
     * Replies to a permit request of another router; forwards it if a third router is the issuer.
     */
    public void handleRequest(RouterId requester, PermitRequest request, Reply reply) {
        RouterId issuerId = issuerSelector.issuer(request.key());
        if (request.isForwarded() || issuerId.equals(self)) {
            reply.send(new PermitReply(issue(requester, request)));
            return;
        }
        LOG.debug("permits: {} asks for {}, which {} issues", requester, request.key(), issuerId);
        peerSender
                .ask(
                        issuerId,
                        new PermitRequest(request.key(), request.urgency(), request.rate(), true),
                        FORWARD_TIMEOUT_MS)
                .whenComplete(
                        (answer, error) ->
                                reply.send(
                                        new PermitReply(
                                                decisionFromReply(
                                                        issuerId, request.key(), answer, error))));
    }

    /** Reports a use without a permit to the issuer, which then grants fewer permits. */
    void reportUsage(PermitKey key, SharedRate rate) {
        RouterId issuerId = issuerSelector.issuer(key);
        if (issuerId.equals(self)) {
            handleUsage(new RateUsageReport(key, rate));
        } else {
            peerSender.send(issuerId, new RateUsageReport(key, rate));
        }
    }

    /** Counts a use without a permit by this router or by another router. */
    public void handleUsage(RateUsageReport report) {
        long now = clock.nowMs();
        SharedRate localRate = report.rate().scaledBy(issuerSelector.reachableFraction(now));
        localIssuer.recordUsage(report.key(), localRate, issuerSelector.linksChangedMs(), now);
    }

    private PermitDecision issue(RouterId requester, PermitRequest request) {
        long now = clock.nowMs();
        SharedRate localRate = request.rate().scaledBy(issuerSelector.reachableFraction(now));
        PermitDecision decision =
                localIssuer.decide(
                        requester,
                        request.key(),
                        request.urgency(),
                        localRate,
                        issuerSelector.linksChangedMs(),
                        now);
        (decision.isGranted() ? issuedCounter : deniedCounter).inc();
        return decision;
    }

    private PermitDecision decisionFromReply(
            RouterId issuerId, PermitKey key, PeerMessage reply, Throwable error) {
        if (error == null && reply instanceof PermitReply answer) {
            return answer.decision();
        }
        unansweredCounter.inc();
        LOG.info(
                "permits: {} does not answer for {}, {}",
                issuerId,
                key,
                error == null ? "unexpected reply" : error.getMessage());
        return PermitDecision.denied(UNANSWERED_RETRY_MS);
    }
}
