package org.masticweir.forward;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.EngineSpec;
import org.masticweir.catalog.Repeatability;
import org.masticweir.catalog.Route;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.PromptId;
import org.masticweir.permits.ServerLimits;

/** Servers of one service and what a router knows of them. */
final class ForwardWorld {
    static final ServiceName SERVICE = ServiceName.of("reports");
    static final EngineSpec ENGINE = new EngineSpec(96, 88_000, true);
    static final RequestSize PROMPT = new RequestSize(8_200, 1_120);
    static final long GOAL_MS = 4_500;

    final List<BackendServer> servers = new ArrayList<>();
    final LoadTracker loads = LoadTracker.create();
    final ServerHealth health = ServerHealth.create();
    final ServerNotices notices = ServerNotices.create();
    final ServerLimits limits = ServerLimits.create();
    final ServerSelector placement =
            ServerSelector.create(
                    loads, health, notices, limits, DomainId.of("a"), new SplittableRandom(7));
    final WaitQueue line = WaitQueue.create();
    final ServiceRetryBudgets repeats = repeatsOfABusyRouter();

    /** Its own requests allow 64 repeats. */
    private static ServiceRetryBudgets repeatsOfABusyRouter() {
        ServiceRetryBudgets repeats = ServiceRetryBudgets.of(0.8, 150);
        for (int i = 0; i < 100; i++) {
            repeats.recordRequest(SERVICE, 0);
        }
        return repeats;
    }

    /** Adds servers {@code domain-1} to {@code domain-n}. */
    ForwardWorld domain(String domain, int count) {
        for (int i = 1; i <= count; i++) {
            servers.add(server(domain + "-" + i, domain));
        }
        listed(0);
        return this;
    }

    void listed(long nowMs) {
        health.updateListed(
                Set.copyOf(servers.stream().map(BackendServer::incarnation).toList()), nowMs);
    }

    static ServerIncarnation life(String id) {
        return ServerIncarnation.ofUnknownStart(EngineId.of(id));
    }

    static BackendServer server(String id, String domain) {
        return server(life(id), domain);
    }

    static BackendServer server(ServerIncarnation life, String domain) {
        return new BackendServer(
                life,
                SERVICE,
                new InetSocketAddress("127.0.0.1", 7_000),
                DomainId.of(domain),
                96,
                false);
    }

    BackendServer byId(String id) {
        return servers.stream().filter(s -> s.id().value().equals(id)).findAny().orElseThrow();
    }

    RequestStateMachine course(Repeatability repeatability, int attempts) {
        return course(plan(repeatability, attempts));
    }

    RequestStateMachine course(RequestParameters plan) {
        return course(plan, ContentPolicy.open());
    }

    RequestStateMachine course(RequestParameters plan, ContentPolicy gate) {
        return RequestStateMachine.of(
                plan,
                () -> ImmutableList.copyOf(servers),
                placement,
                health,
                repeats,
                gate,
                line,
                new SplittableRandom(3));
    }

    /** Returns the plan of a stream whose caller has its events up to {@code lastEvent}. */
    static RequestParameters planOfReturn(long lastEvent) {
        RequestParameters first = plan(Repeatability.RESUMABLE, 5);
        return new RequestParameters(
                first.route(),
                first.service(),
                first.engine(),
                first.size(),
                Optional.of(PromptId.of("91bd3f06")),
                OptionalLong.of(lastEvent),
                first.receivedMs(),
                first.expiresMs());
    }

    /** Returns {@code plan} of a request that is received and expires at other times. */
    static RequestParameters at(RequestParameters plan, long receivedMs, long expiresMs) {
        return new RequestParameters(
                plan.route(),
                plan.service(),
                plan.engine(),
                plan.size(),
                plan.prompt(),
                plan.callerLastEventId(),
                receivedMs,
                expiresMs);
    }

    /** Returns the plan of a stream of {@code size}. */
    static RequestParameters planOfSize(RequestSize size) {
        RequestParameters usual = plan(Repeatability.RESUMABLE, 5);
        return new RequestParameters(
                usual.route(),
                usual.service(),
                usual.engine(),
                size,
                usual.prompt(),
                usual.callerLastEventId(),
                usual.receivedMs(),
                usual.expiresMs());
    }

    static RequestParameters plan(Repeatability repeatability, int attempts) {
        boolean streams = repeatability == Repeatability.RESUMABLE;
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        repeatability,
                        streams,
                        25_000,
                        GOAL_MS,
                        700,
                        1,
                        attempts,
                        false,
                        ImmutableList.of(new Route.Share(SERVICE, 1)));
        return new RequestParameters(
                route,
                SERVICE,
                streams ? Optional.of(ENGINE) : Optional.empty(),
                streams ? PROMPT : RequestSize.none(),
                Optional.empty(),
                OptionalLong.empty(),
                0,
                25_000);
    }
}
