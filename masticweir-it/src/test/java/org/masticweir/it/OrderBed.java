package org.masticweir.it;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.function.LongPredicate;
import org.masticweir.bench.BenchWorker;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.bench.standin.StandInControl.RunGeneration;
import org.masticweir.control.LeaseRow;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/**
 * One failure domain of real processes, for tests of its lease and of the orders to its engines.
 *
 * <p>Routers r1 to r3 compete for the lease. Engines c1 and c2 check fencing numbers, i1 and i2
 * ignore them; all four are replicas of one model. Lease, orders and load rate run at their
 * defaults. The weight store sets no limit itself, so that its records show the routers' own. Used
 * by one test at a time.
 */
final class OrderBed implements HealableBed {
    static final String DOMAIN = "a";

    /** Time that the weight store takes for one load, unless a test says otherwise. */
    private static final long LOAD_MS = 1_000;

    /** Bound on all engines holding a version, a takeover and a load left in doubt included. */
    static final long CONVERGED_BOUND_MS = 90_000;

    /** Over the lease's 10 s, a look at the row and some tries. */
    static final long TAKEOVER_BOUND_MS = 20_000;

    private static final long READY_BOUND_MS = 20_000;
    private static final int HEAP_MB = 64;
    private static final int CHANGE_TRIES = 5;
    private static final long LIST_LAG_MS = 300;
    private static final Clock CLOCK = Clock.system();

    private final XnioWorker worker = BenchWorker.start(2);
    private final HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults());
    private final CallerClient caller = CallerClient.on(worker, CLOCK);
    private final StandInControl control = StandInControl.over(calls);
    private final Processes processes = Processes.inNew("order-bed");
    private final ImmutableList<BackEndProcess> checking;
    private final ImmutableList<BackEndProcess> ignoring;
    private final ImmutableList<OrderRouter> routers;
    private final InetSocketAddress platform;
    private final InstanceListClient instances;
    private final ControlTable table;
    private final ProxyControl proxy;
    private int version = 1;

    private OrderBed() {
        try {
            platform = startPlatform().awaitAddress();
            ChildProcess proxyProcess = processes.proxy(HEAP_MB);
            checking = ImmutableList.of(engine("c1", true), engine("c2", true));
            ignoring = ImmutableList.of(engine("i1", false), engine("i2", false));
            proxy = new ProxyControl(control, proxyProcess.awaitAddress());
            instances = new InstanceListClient(calls, platform);
            table = new ControlTable(calls, platform);
            new PlatformClient(calls, platform).install(document(version));
            engines().forEach(e -> list(e, "live"));
            routers = ImmutableList.of(router("r1"), router("r2"), router("r3"));
            routers.forEach(OrderRouter::start);
            routers.forEach(this::awaitServing);
            awaitConverged();
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    /**
     * Starts all processes and returns once a router holds the lease and the engines are served.
     */
    static OrderBed start() {
        return new OrderBed();
    }

    /** Returns wall time, which is the time of the stand-ins' records. */
    static long wallMs() {
        return CLOCK.wallMs();
    }

    ProxyControl proxy() {
        return proxy;
    }

    ControlTable table() {
        return table;
    }

    ImmutableList<OrderRouter> routers() {
        return routers;
    }

    /** Returns the engines that refuse an old fencing number. */
    ImmutableList<BackEndProcess> checking() {
        return checking;
    }

    /** Returns the engines that take any fencing number. */
    ImmutableList<BackEndProcess> ignoring() {
        return ignoring;
    }

    ImmutableList<BackEndProcess> engines() {
        return ImmutableList.<BackEndProcess>builder().addAll(checking).addAll(ignoring).build();
    }

    AnswerCheck check() {
        return new AnswerCheck(this::runsOf);
    }

    RunningCall submit(OrderRouter router, CallRequest request) {
        return RunningCall.submit(caller, router.callers(), request);
    }

    ImmutableList<RunGeneration> runsOn(BackEndProcess engine, CallRequest request) {
        return control.runsOf(engine.address(), request);
    }

    /** Shows {@code engine} on the instance list in {@code state}. */
    void list(BackEndProcess engine, String state) {
        InetSocketAddress at = proxy.addOnce(engine.id(), engine.address());
        instances.put(
                new InstanceListClient.Entry("engine", engine.id(), DOMAIN, engine.group(), at),
                state);
    }

    /** Sends one fault to the platform. */
    void platformFault(String json) {
        if (!control.control(platform, json)) {
            throw new AssertionError("the platform did not take " + json);
        }
    }

    /** Sets how long the loads admitted from now on take at the weight store. */
    void loadsTake(long ms) {
        platformFault("{\"load_ms\":" + ms + "}");
    }

    /** Has loads take as long as at the start. */
    void loadsTakeTheirTime() {
        loadsTake(LOAD_MS);
    }

    /** Returns what the platform recorded. */
    JsonNode platformRecords() {
        return control.records(platform);
    }

    /** Returns the lease's row, which some router has written. */
    LeaseRow lease() {
        return table.lease(DOMAIN).orElseThrow(() -> new AssertionError("no lease"));
    }

    /** Returns the router that the lease's row names. */
    OrderRouter holder() {
        String id = lease().holder().orElseThrow().value();
        return routers.stream().filter(r -> r.id().equals(id)).findFirst().orElseThrow();
    }

    /** Returns a router that is not {@code router}. */
    OrderRouter otherThan(OrderRouter router) {
        return routers.stream()
                .filter(r -> r != router && r.process().alive())
                .findFirst()
                .orElseThrow();
    }

    /** Waits for a holder after {@code fencing}; returns the wall time at which the row had it. */
    long awaitTakeover(long fencing) {
        LongPredicate later = f -> f > fencing;
        Await.until(
                "takeover",
                TAKEOVER_BOUND_MS,
                () -> table.lease(DOMAIN).filter(l -> later.test(l.fencing())).isPresent());
        return wallMs();
    }

    /** Returns the model's version in the newest document. */
    int version() {
        return version;
    }

    /** Declares the model's next version by way of {@code router} and returns it. */
    int declareNext(OrderRouter router) {
        declare(router, version + 1);
        return version;
    }

    /** Declares {@code wanted} as the model's version, by way of {@code router}. */
    void declare(OrderRouter router, int wanted) {
        OperatorPort port = new OperatorPort(calls, router.operators());
        OperatorPort.Answer answer = null;
        for (int i = 0; i < CHANGE_TRIES; i++) {
            String id = "version-" + wanted + "-" + CLOCK.wallMs();
            answer = port.apply(new OperatorPort.Change(port.revision(), id, document(wanted)));
            if (answer.outcome().equals("accepted")) {
                version = wanted;
                return;
            }
        }
        throw new AssertionError("version " + wanted + " not accepted: " + answer);
    }

    /** Returns all orders that engines recorded since {@code sinceMs}, in the order of time. */
    ImmutableList<OrderRecord> ordersSince(long sinceMs) {
        return engines().stream()
                .flatMap(e -> orders(e).stream())
                .filter(o -> o.atMs() >= sinceMs)
                .sorted(Comparator.comparingLong(OrderRecord::atMs))
                .collect(toImmutableList());
    }

    /** Returns all orders that {@code engine} recorded, first come first. */
    ImmutableList<OrderRecord> orders(BackEndProcess engine) {
        return OrderRecord.of(engine, control.records(engine.address()));
    }

    /** Tells whether {@code engine} itself says that it holds {@code wanted} and serves. */
    boolean holds(BackEndProcess engine, int wanted) {
        EngineWord word = EngineWord.of(calls, engine);
        return word.role().equals("serving") && word.versions().contains(wanted);
    }

    /** Tells whether all engines hold the declared version. */
    boolean allHold() {
        return engines().stream().allMatch(e -> holds(e, version));
    }

    /** Returns once all engines hold the declared version; returns the wall time. */
    long awaitAllHold() {
        Await.until("all hold " + version, CONVERGED_BOUND_MS, this::allHold);
        return wallMs();
    }

    /** Returns once all engines hold the declared version only and no order is open. */
    void awaitConverged() {
        Await.until("converged", CONVERGED_BOUND_MS, () -> engines().stream().allMatch(this::done));
        Await.until("lease held", TAKEOVER_BOUND_MS, this::heldByTheLiving);
    }

    /** Ends every fault and returns once all is as at the start, with the version of now. */
    @Override
    public void heal() {
        proxy.passAll();
        platformFault("{\"outage_ms\":0,\"slow_ms\":0,\"lose_answers\":0}");
        loadsTakeTheirTime();
        engines().forEach(e -> list(e, "live"));
        for (OrderRouter router : routers) {
            if (router.process().alive()) {
                router.process().resume();
            } else {
                router.start();
            }
        }
        routers.forEach(this::awaitServing);
        awaitConverged();
    }

    @Override
    public void close() {
        processes.close();
        calls.close();
        worker.shutdownNow();
    }

    private boolean done(BackEndProcess engine) {
        return EngineWord.of(calls, engine).versions().equals(ImmutableList.of(version))
                && table.journal(engine).filter(ControlTable.Journal::open).isEmpty();
    }

    private boolean heldByTheLiving() {
        return table.lease(DOMAIN).flatMap(LeaseRow::holder).isPresent()
                && holder().process().alive();
    }

    private ImmutableList<RunGeneration> runsOf(CallRequest request) {
        return engines().stream()
                .flatMap(e -> runsOn(e, request).stream())
                .collect(toImmutableList());
    }

    private void awaitServing(OrderRouter router) {
        Await.get(router + " ready", router.process().ready(), READY_BOUND_MS);
        if (!control.awaitReady(router.callers())) {
            throw new AssertionError("router " + router + " takes no work");
        }
    }

    private OrderRouter router(String id) {
        OrderRouter router = OrderRouter.create(processes, proxy, platform, id);
        instances.put(router.entry(), "live");
        return router;
    }

    private ChildProcess startPlatform() {
        return processes.platform(HEAP_MB, LIST_LAG_MS, "--load-ms", Long.toString(LOAD_MS));
    }

    private BackEndProcess engine(String id, boolean checksFencing) {
        return BackEndProcess.start(
                processes,
                BackEndProcess.Kind.ENGINE,
                id,
                DOMAIN,
                checksFencing ? DeploymentText.ENGINES : VersionedDocument.IGNORING_ENGINES,
                "--models",
                "report:1",
                "--step-ms",
                "10",
                "--checks-fencing",
                Boolean.toString(checksFencing));
    }

    private static String document(int version) {
        return VersionedDocument.ini(version);
    }
}
