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

/** Servers of one service and the router's state about these servers. */
final class ForwardFixture {
    static final ServiceName SERVICE = ServiceName.of("reports");
    static final EngineSpec ENGINE = new EngineSpec(96, 88_000, true);
    static final RequestSize PROMPT = new RequestSize(8_200, 1_120);
    static final long GOAL_MS = 4_500;

    final List<BackendServer> servers = new ArrayList<>();
    final LoadTracker loads = LoadTracker.create();
    final ServerHealth health = ServerHealth.create();
    final ServerNotices notices = ServerNotices.create();
    final ServerLimits limits = ServerLimits.create();
    final ServerLimits brittle = ServerLimits.create();
    final ServerSelector selector =
            ServerSelector.create(
                    loads,
                    health,
                    notices,
                    limits,
                    brittle,
                    DomainId.of("a"),
                    new SplittableRandom(7));
    final WaitQueue waitQueue = WaitQueue.create();
    final ServiceRetryBudgets retryBudgets = retryBudgetsOfBusyRouter();

    /** Returns the retry budgets of a router whose own requests allow 64 retries. */
    private static ServiceRetryBudgets retryBudgetsOfBusyRouter() {
        ServiceRetryBudgets retryBudgets = ServiceRetryBudgets.of(0.8, 150);
        for (int i = 0; i < 100; i++) {
            retryBudgets.recordRequest(SERVICE, 0);
        }
        return retryBudgets;
    }

    /** Adds servers {@code domain-1} to {@code domain-n}. */
    ForwardFixture domain(String domain, int count) {
        for (int i = 1; i <= count; i++) {
            servers.add(server(domain + "-" + i, domain));
        }
        updateListedServers(0);
        return this;
    }

    void updateListedServers(long nowMs) {
        health.updateListedServers(
                Set.copyOf(servers.stream().map(BackendServer::incarnation).toList()), nowMs);
    }

    static ServerIncarnation incarnation(String id) {
        return ServerIncarnation.ofUnknownStart(EngineId.of(id));
    }

    static BackendServer server(String id, String domain) {
        return server(incarnation(id), domain);
    }

    static BackendServer server(ServerIncarnation incarnation, String domain) {
        return new BackendServer(
                incarnation,
                SERVICE,
                new InetSocketAddress("127.0.0.1", 7_000),
                DomainId.of(domain),
                96,
                false);
    }

    BackendServer byId(String id) {
        return servers.stream().filter(s -> s.id().value().equals(id)).findAny().orElseThrow();
    }

    RequestStateMachine stateMachine(Repeatability repeatability, int attempts) {
        return stateMachine(parameters(repeatability, attempts));
    }

    RequestStateMachine stateMachine(RequestParameters parameters) {
        return stateMachine(parameters, ContentPolicy.allowAll());
    }

    RequestStateMachine stateMachine(RequestParameters parameters, ContentPolicy gate) {
        return RequestStateMachine.of(
                parameters,
                () -> ImmutableList.copyOf(servers),
                selector,
                health,
                retryBudgets,
                gate,
                waitQueue,
                new SplittableRandom(3));
    }

    /**
     * Returns the parameters of a stream whose caller has already received the events up to {@code
     * lastEvent}.
     */
    static RequestParameters parametersOfReturningCaller(long lastEvent) {
        RequestParameters first = parameters(Repeatability.RESUMABLE, 5);
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

    /** Returns the given parameters with another receive time and deadline. */
    static RequestParameters at(RequestParameters parameters, long receivedMs, long expiresMs) {
        return new RequestParameters(
                parameters.route(),
                parameters.service(),
                parameters.engine(),
                parameters.size(),
                parameters.prompt(),
                parameters.callerLastEventId(),
                receivedMs,
                expiresMs);
    }

    /** Returns the parameters of a stream of {@code size}. */
    static RequestParameters parametersOfSize(RequestSize size) {
        RequestParameters usual = parameters(Repeatability.RESUMABLE, 5);
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

    static RequestParameters parameters(Repeatability repeatability, int attempts) {
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
