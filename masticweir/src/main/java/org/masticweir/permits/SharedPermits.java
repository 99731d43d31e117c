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
 * Gets permits from the router that issues them, and issues those that this router is to.
 * Thread-safe.
 *
 * <p>Load that it answers: a server takes a few requests a second from hundreds of routers. Kept by
 * each router apart, such a limit is multiplied by their number, or rounded up at each.
 */
public final class SharedPermits {
    private static final Logger LOG = LogManager.getLogger(SharedPermits.class);

    /** Time for an issuer's answer, in ms: many times a way, and short beside a goal. */
    private static final long ASK_MS = 100;

    /** Time for the answer to an ask that is passed on, in ms. */
    private static final long PASSED_ON_MS = 60;

    /** Pause before an issuer that did not answer is asked again, in ms. */
    private static final long UNANSWERED_AGAIN_MS = 250;

    private final RouterId self;
    private final PeerSender links;
    private final Clock clock;
    private final Executor traffic;
    private final IssuerChoice choice;
    private final PermitIssuer issuer = new PermitIssuer();
    private final Counter issued;
    private final Counter denied;
    private final Counter unanswered;

    /**
     * Creates the permits of one router.
     *
     * @param traffic runs what hears the answers
     */
    public SharedPermits(
            RouterId self,
            PeerSender links,
            Clock clock,
            Executor traffic,
            MetricRegistry metrics) {
        this.self = checkNotNull(self, "self");
        this.links = checkNotNull(links, "links");
        this.clock = checkNotNull(clock, "clock");
        this.traffic = checkNotNull(traffic, "traffic");
        choice = new IssuerChoice(self, clock.nowMs());
        issued = metrics.counter(MetricName.of("permits_issued_total"));
        denied = metrics.counter(MetricName.of("permits_denied_total"));
        unanswered = metrics.counter(MetricName.of("permit_asks_unanswered_total"));
    }

    /** There is a router; it may issue permits once it is linked. */
    public void addRouter(RouterId router) {
        choice.learn(router, clock.nowMs());
    }

    public void linkUp(RouterId router) {
        choice.linkUp(router, clock.nowMs());
    }

    public void linkDown(RouterId router) {
        choice.linkDown(router, clock.nowMs());
    }

    /**
     * Asks for one use of a rate; called on the traffic thread.
     *
     * @param urgency 0 for the first to be served
     * @param then hears the decision on the traffic thread, at once if this router issues it
     */
    public void request(
            PermitKey key, int urgency, SharedRate rate, Consumer<PermitDecision> then) {
        RouterId from = choice.issuer(key);
        PermitRequest ask = new PermitRequest(key, urgency, rate, false);
        if (from.equals(self)) {
            then.accept(issue(self, ask));
            return;
        }
        links.ask(from, ask, ASK_MS)
                .whenComplete(
                        (reply, error) -> {
                            PermitDecision decision = decision(from, key, reply, error);
                            traffic.execute(() -> then.accept(decision));
                        });
    }

    /** Answers another router. */
    public void handleRequest(RouterId asker, PermitRequest ask, Reply reply) {
        RouterId from = choice.issuer(ask.key());
        if (ask.passedOn() || from.equals(self)) {
            reply.send(new PermitReply(issue(asker, ask)));
            return;
        }
        LOG.debug("permits: {} asks for {}, which {} issues", asker, ask.key(), from);
        links.ask(from, new PermitRequest(ask.key(), ask.urgency(), ask.rate(), true), PASSED_ON_MS)
                .whenComplete(
                        (answer, error) ->
                                reply.send(
                                        new PermitReply(decision(from, ask.key(), answer, error))));
    }

    /** Counts a use that could not wait for a permit: it leaves less to those who ask. */
    void use(PermitKey key, SharedRate rate) {
        RouterId to = choice.issuer(key);
        if (to.equals(self)) {
            handleUsage(new RateUsageReport(key, rate));
        } else {
            links.send(to, new RateUsageReport(key, rate));
        }
    }

    /** Takes the word of a use, from this router or another. */
    public void handleUsage(RateUsageReport use) {
        long now = clock.nowMs();
        SharedRate part = use.rate().part(choice.part(now));
        issuer.used(use.key(), part, choice.changedMs(), now);
    }

    private PermitDecision issue(RouterId asker, PermitRequest ask) {
        long now = clock.nowMs();
        SharedRate part = ask.rate().part(choice.part(now));
        PermitDecision decision =
                issuer.ask(asker, ask.key(), ask.urgency(), part, choice.changedMs(), now);
        (decision.isGranted() ? issued : denied).inc();
        return decision;
    }

    private PermitDecision decision(
            RouterId from, PermitKey key, PeerMessage reply, Throwable error) {
        if (error == null && reply instanceof PermitReply answer) {
            return answer.decision();
        }
        unanswered.inc();
        LOG.info(
                "permits: {} does not answer for {}, {}",
                from,
                key,
                error == null ? "its reply is not understood" : error.getMessage());
        return PermitDecision.denied(UNANSWERED_AGAIN_MS);
    }
}
