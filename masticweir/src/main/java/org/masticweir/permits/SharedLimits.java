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
 * Shares the limits that servers announce with the other routers. Logs and counts each change of a
 * limit, and sends the changes that this router observed to all other routers. Owned by the traffic
 * thread.
 */
public final class SharedLimits {
    private static final Logger LOG = LogManager.getLogger(SharedLimits.class);

    private final ServerLimits limits;
    private final SharedPermits permits;
    private final Clock clock;
    private final Consumer<LimitUpdate> broadcast;
    private final Counter changeCounter;
    private final Counter unreadableCounter;
    private final Counter limitedServersCounter;

    /**
     * Creates the shared limits of one router.
     *
     * @param broadcast sends an update to all other routers
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
        changeCounter = metrics.counter(MetricName.of("server_limits_changed_total"));
        limitedServersCounter = metrics.counter(MetricName.of("servers_limited"));
        unreadableCounter = metrics.counter(MetricName.of("server_limits_unreadable_total"));
    }

    /**
     * Handles an answer of a server.
     *
     * @param request the answered request, for the log
     * @param sentMs time at which the answered request was sent
     */
    public void handleAnswer(
            ServerIncarnation server, AnnouncedLimit announcedLimit, String request, long sentMs) {
        long now = clock.nowMs();
        if (announcedLimit.kind() == AnnouncedLimit.Kind.UNREADABLE) {
            unreadableCounter.inc();
            LOG.info("limits: {} announces an unreadable limit, answer to {}", server, request);
            return;
        }
        OptionalDouble previousRate = limits.perSecond(server);
        if (limits.recordAnswer(server, announcedLimit, sentMs, now)) {
            OptionalDouble newRate = limits.perSecond(server);
            recordChange(server, previousRate, newRate, "answer to " + request);
            broadcast.accept(
                    new LimitUpdate(ImmutableList.of(new ServerLimit(server, newRate, 0))));
        }
    }

    /** Handles an update from another router. */
    public void handleUpdate(RouterId peer, LimitUpdate update) {
        long now = clock.nowMs();
        for (ServerLimit limit : update.limits()) {
            OptionalDouble previousRate = limits.perSecond(limit.server());
            if (limits.merge(limit, now)) {
                recordChange(
                        limit.server(), previousRate, limit.perSecond(), "update from " + peer);
            }
        }
    }

    /**
     * Returns an update with all limits, for a router that has just been linked; empty if there are
     * no limits.
     */
    public Optional<LimitUpdate> snapshot() {
        ImmutableList<ServerLimit> all = limits.snapshot(clock.nowMs());
        return all.isEmpty() ? Optional.empty() : Optional.of(new LimitUpdate(all));
    }

    /**
     * Reports the use of a status probe. A probe counts as a request to the server, but must not
     * wait for a permit.
     */
    public void recordProbe(ServerIncarnation server) {
        limits.perSecond(server)
                .ifPresent(
                        perSecond ->
                                permits.reportUsage(
                                        PermitKey.ofServer(server),
                                        SharedRate.ofServer(perSecond)));
    }

    /**
     * Requests a permit to send one request to a server. After a denial, this router does not
     * request permits for the server until {@link PermitDecision#retryAfterMs} has passed.
     *
     * @param urgency 0 is the most urgent
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

    public boolean isLimited(ServerIncarnation server) {
        return limits.isLimited(server);
    }

    /** Returns a server's limit and its age, for the log. */
    public String describe(ServerIncarnation server) {
        OptionalDouble perSecond = limits.perSecond(server);
        return perSecond.isEmpty()
                ? "no limit"
                : perSecond.getAsDouble()
                        + " a second as of "
                        + limits.ageMs(server, clock.nowMs())
                        + " ms ago";
    }

    /** Removes the limits of all servers that are not in {@code listedServers}. */
    public void retainServers(Set<ServerIncarnation> listedServers) {
        limits.retainServers(listedServers);
        updateCount();
    }

    private void updateCount() {
        limitedServersCounter.inc(limits.limitedServerCount() - limitedServersCounter.getCount());
    }

    private void recordChange(
            ServerIncarnation server,
            OptionalDouble previousRate,
            OptionalDouble newRate,
            String source) {
        changeCounter.inc();
        updateCount();
        LOG.info(
                "limits: {} takes {}, {} before, {}",
                server,
                formatRate(newRate),
                formatRate(previousRate),
                source);
    }

    private static String formatRate(OptionalDouble limit) {
        return limit.isPresent() ? limit.getAsDouble() + " a second" : "any number";
    }
}
