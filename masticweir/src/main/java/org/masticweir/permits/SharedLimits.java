package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.RouterId;
import org.masticweir.metrics.MetricName;
import org.masticweir.permits.LimitUpdate.ServerLimit;
import org.masticweir.time.Clock;

/**
 * The limits that servers name, with what belongs to each change of one: a log line, a count and
 * the word to the other routers; owned by the traffic thread.
 */
public final class SharedLimits {
    private static final Logger LOG = LogManager.getLogger(SharedLimits.class);

    private final ServerLimits limits;
    private final SharedPermits permits;
    private final Clock clock;
    private final Consumer<LimitUpdate> broadcast;
    private final Counter changes;
    private final Counter unreadable;
    private final Counter limited;

    /**
     * Creates the limits of one router.
     *
     * @param broadcast tells all other routers
     */
    public SharedLimits(
            ServerLimits limits,
            SharedPermits permits,
            Clock clock,
            MetricRegistry metrics,
            Consumer<LimitUpdate> broadcast) {
        this.limits = checkNotNull(limits, "limits");
        this.permits = checkNotNull(permits, "permits");
        this.clock = checkNotNull(clock, "clock");
        this.broadcast = checkNotNull(broadcast, "broadcast");
        changes = metrics.counter(MetricName.of("server_limits_changed_total"));
        limited = metrics.counter(MetricName.of("servers_limited"));
        unreadable = metrics.counter(MetricName.of("server_limits_unreadable_total"));
    }

    /**
     * A server answered.
     *
     * @param request the request it answered, for the log
     * @param sentMs when that request left
     */
    public void handleAnswer(
            ServerIncarnation server, AnnouncedLimit announced, String request, long sentMs) {
        long now = clock.nowMs();
        if (announced.kind() == AnnouncedLimit.Kind.UNREADABLE) {
            unreadable.inc();
            LOG.info("limits: {} names one that cannot be read, answer to {}", server, request);
            return;
        }
        OptionalDouble before = limits.perSecond(server);
        if (limits.recordAnswer(server, announced, sentMs, now)) {
            OptionalDouble after = limits.perSecond(server);
            recordChange(server, before, after, "answer to " + request);
            broadcast.accept(new LimitUpdate(ImmutableList.of(new ServerLimit(server, after, 0))));
        }
    }

    /** Another router told what it knows. */
    public void handleUpdate(RouterId peer, LimitUpdate update) {
        long now = clock.nowMs();
        for (ServerLimit limit : update.limits()) {
            OptionalDouble before = limits.perSecond(limit.server());
            if (limits.merge(limit, now)) {
                recordChange(limit.server(), before, limit.perSecond(), "word of " + peer);
            }
        }
    }

    /** Returns all that a router is told which knows nothing; empty if there is nothing to tell. */
    public Optional<LimitUpdate> snapshot() {
        ImmutableList<ServerLimit> all = limits.snapshot(clock.nowMs());
        return all.isEmpty() ? Optional.empty() : Optional.of(new LimitUpdate(all));
    }

    /** A server is asked for its state, which may not wait and yet is a request to it. */
    public void recordProbe(ServerIncarnation server) {
        limits.perSecond(server)
                .ifPresent(
                        perSecond ->
                                permits.reportUsage(
                                        PermitKey.ofServer(server),
                                        SharedRate.ofServer(perSecond)));
    }

    /**
     * Asks for a permit to send one request to a server; a denial closes the server here for as
     * long as it says.
     *
     * @param urgency 0 for the first to be served
     */
    public void requestPermit(
            ServerIncarnation server, int urgency, Consumer<PermitDecision> callback) {
        OptionalDouble perSecond = limits.perSecond(server);
        if (perSecond.isEmpty()) {
            callback.accept(PermitDecision.ofGrant());
            return;
        }
        permits.request(
                PermitKey.ofServer(server),
                urgency,
                SharedRate.ofServer(perSecond.getAsDouble()),
                decision -> {
                    if (!decision.isGranted()) {
                        limits.blockUntil(server, clock.nowMs() + decision.retryAfterMs());
                    }
                    callback.accept(decision);
                });
    }

    /** Returns what is known of a server's limit and how old it is, for the log. */
    public String describe(ServerIncarnation server) {
        OptionalDouble perSecond = limits.perSecond(server);
        return perSecond.isEmpty()
                ? "no limit"
                : perSecond.getAsDouble()
                        + " a second as of "
                        + limits.ageMs(server, clock.nowMs())
                        + " ms ago";
    }

    /** Forgets servers that are gone. */
    public void retain(Set<ServerIncarnation> present) {
        limits.retain(present);
        updateCount();
    }

    private void updateCount() {
        limited.inc(limits.count() - limited.getCount());
    }

    private void recordChange(
            ServerIncarnation server, OptionalDouble before, OptionalDouble after, String source) {
        changes.inc();
        updateCount();
        LOG.info(
                "limits: {} takes {}, {} before, {}",
                server,
                perSecond(after),
                perSecond(before),
                source);
    }

    private static String perSecond(OptionalDouble limit) {
        return limit.isPresent() ? limit.getAsDouble() + " a second" : "any number";
    }
}
