package org.masticweir.control;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.masticweir.config.BackEndKind;
import org.masticweir.config.Deployment;
import org.masticweir.config.EngineGroup;
import org.masticweir.config.Model;
import org.masticweir.engine.Vendor;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RouterId;
import org.masticweir.store.FetchOutcome;
import org.masticweir.store.MemoryTable;
import org.masticweir.store.WeightStore;
import org.masticweir.time.ManualClock;

/** One failure domain: engines, a table, a weight store and routers, on a clock set by hand. */
final class ControlWorld {
    static final long TICK_MS = 100;
    static final long LOAD_MS = 1_000;
    static final ModelId REPORT = ModelId.of("report");
    static final ModelVersion V1 = ModelVersion.of(REPORT, "1", "");
    static final ModelVersion V2 = ModelVersion.of(REPORT, "2", "");
    static final ControlSettings SETTINGS =
            new ControlSettings(
                    new LeasePolicy(3_000, 500, 300, 500, 100),
                    new OrderSettings(500, 2_000, 1_000, 100, 20_000, 50),
                    new LoadSettings(1, 2, 4, 5_000),
                    SweepSettings.defaults(),
                    TICK_MS,
                    200);

    final ManualClock clock = ManualClock.startingAt(0);
    final MemoryTable table = new MemoryTable();
    final List<FakeEngine> engines = new ArrayList<>();
    final List<Router> routers = new ArrayList<>();
    final List<Long> fetchedAtMs = new ArrayList<>();
    private final Deque<Fetch> fetches = new ArrayDeque<>();
    private Deployment deployment;
    int mostFetches;

    private record Fetch(CompletableFuture<FetchOutcome> answer, long endsAtMs) {}

    /** A router whose control thread can be paused, at once or right before it sends. */
    final class Router implements EngineCalls {
        private final Deque<Runnable> tasks = new ArrayDeque<>();
        private final DomainLoop loop;
        ControlView view = ControlView.idle();
        boolean paused;
        boolean pauseAtSend;

        /** Keeps the next order on its way until {@link #arrive}. */
        boolean slowSend;

        private Optional<Runnable> onItsWay = Optional.empty();
        Optional<Order> heldBack = Optional.empty();
        private FakeEngine heldBackFor;

        private Router(String id) {
            RouterId self = RouterId.of(id);
            DomainId domain = DomainId.of("d");
            WeightStore weights = ControlWorld.this::fetch;
            loop =
                    DomainLoop.of(
                            new ControlContext(
                                    self,
                                    domain,
                                    table,
                                    weights,
                                    this,
                                    tasks::add,
                                    clock,
                                    SETTINGS),
                            ControlWorld.this::input);
        }

        private void tick() {
            if (!paused) {
                view = loop.tick();
            }
            while (!paused && !tasks.isEmpty()) {
                tasks.poll().run();
            }
        }

        /** Wakes the router up: what it was about to send leaves now. */
        SendOutcome wakeUp() {
            paused = false;
            return heldBackFor.take(heldBack.orElseThrow());
        }

        /** Lets the order arrive that was kept on its way. */
        void arrive() {
            onItsWay.orElseThrow().run();
        }

        CompletableFuture<Void> release() {
            CompletableFuture<Void> released = new CompletableFuture<>();
            loop.release(released);
            return released;
        }

        @Override
        public CompletableFuture<Optional<EngineHoldings>> readBack(InetSocketAddress address) {
            return CompletableFuture.completedFuture(Optional.of(engineAt(address).holdings()));
        }

        @Override
        public CompletableFuture<SendOutcome> send(InetSocketAddress address, Order order) {
            if (pauseAtSend) {
                paused = true;
                heldBack = Optional.of(order);
                heldBackFor = engineAt(address);
                return new CompletableFuture<>();
            }
            if (slowSend) {
                slowSend = false;
                CompletableFuture<SendOutcome> answer = new CompletableFuture<>();
                onItsWay = Optional.of(() -> answer.complete(engineAt(address).take(order)));
                return answer;
            }
            return CompletableFuture.completedFuture(engineAt(address).take(order));
        }
    }

    ControlWorld(int engineCount, boolean checksFencing) {
        for (int i = 0; i < engineCount; i++) {
            engines.add(new FakeEngine(i, checksFencing, V1));
        }
        declare(V1);
    }

    Router router(String id) {
        Router r = new Router(id);
        routers.add(r);
        return r;
    }

    void declare(ModelVersion version) {
        deployment =
                new Deployment(
                        1,
                        Map.of(),
                        Map.of(),
                        Map.of(
                                REPORT,
                                new Model(REPORT, BackEndKind.ENGINE, version.version(), "")),
                        Map.of("g", new EngineGroup("g", Vendor.COUNTS, checks(), Set.of(REPORT))));
    }

    /** Runs for {@code ms}; {@code check} is made after each step. */
    void run(long ms, Runnable check) {
        for (long end = clock.nowMs() + ms; clock.nowMs() < end; clock.advanceMs(TICK_MS)) {
            while (!fetches.isEmpty() && fetches.peek().endsAtMs() <= clock.nowMs()) {
                fetches.poll().answer().complete(new FetchOutcome.Fetched());
            }
            routers.forEach(Router::tick);
            check.run();
        }
    }

    void run(long ms) {
        run(ms, () -> {});
    }

    long holders(ModelVersion version) {
        return engines.stream().filter(e -> e.models.contains(version)).count();
    }

    List<Order> ordersTaken() {
        return engines.stream().flatMap(e -> e.taken.stream()).toList();
    }

    private boolean checks() {
        return engines.get(0).checksFencing;
    }

    ControlInput input() {
        return ControlInput.of(deployment, engines.stream().map(FakeEngine::managed).toList());
    }

    private FakeEngine engineAt(InetSocketAddress address) {
        return engines.get(address.getPort() - 1);
    }

    private CompletableFuture<FetchOutcome> fetch(
            ModelId model, String version, EngineId engine, long timeoutMs) {
        CompletableFuture<FetchOutcome> answer = new CompletableFuture<>();
        fetches.add(new Fetch(answer, clock.nowMs() + LOAD_MS));
        fetchedAtMs.add(clock.nowMs());
        mostFetches = Math.max(mostFetches, fetches.size());
        return answer;
    }
}
