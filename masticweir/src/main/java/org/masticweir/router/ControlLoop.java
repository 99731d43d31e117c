package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.ChangeAnswer;
import org.masticweir.config.ConfigState;
import org.masticweir.config.ConfigTimings;
import org.masticweir.config.ConfigView;
import org.masticweir.config.Deployment;
import org.masticweir.config.ProposedChange;
import org.masticweir.config.TableReads;
import org.masticweir.control.ControlInput;
import org.masticweir.control.ManagedEngine;
import org.masticweir.engine.BackEnd;
import org.masticweir.http.HttpCaller;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.instances.ReadPace;
import org.masticweir.instances.SharedInstances;
import org.masticweir.membership.ListedRouter;
import org.masticweir.membership.LoadDigest;
import org.masticweir.membership.MemberState;
import org.masticweir.membership.Membership;
import org.masticweir.membership.MembershipSettings;
import org.masticweir.membership.RouterAddress;
import org.masticweir.peer.PeerLinks;
import org.masticweir.recovery.copy.CopyLinks;
import org.masticweir.recovery.copy.KeyLinks;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.serving.EngineTraffic;
import org.masticweir.serving.Intake;
import org.masticweir.serving.ServingView;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.store.HttpPlatform;
import org.masticweir.store.InstanceKind;
import org.masticweir.store.InstanceRecord;
import org.masticweir.time.Clock;

/**
 * The one thread that owns control state; publishes a {@link ServingView} after each change.
 *
 * <p>Methods whose comment says so may be called from any thread; the rest runs on the control
 * thread.
 */
final class ControlLoop implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlLoop.class);
    private static final long TICK_MS = 50;
    private static final long COPY_TICK_MS = 250;
    private static final long KEY_TICK_MS = 1_000;

    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    new ThreadFactoryBuilder().setNameFormat("control").setDaemon(true).build());
    private final DaemonSettings settings;
    private final Clock clock;
    private final HttpPlatform platform;
    private final EngineTraffic traffic = EngineTraffic.create();
    private final EnginePoller engines;
    private final ConfigControl config;
    private final PeerControl peers;
    private final ReportSharing reports;
    private final InstanceSharing instances;

    private volatile ServingView view = ServingView.empty();
    private Optional<Deployment> deployment = Optional.empty();
    private Intake intake = Intake.OPEN;

    /** Creates a loop that does nothing until {@link #start}. */
    ControlLoop(
            DaemonSettings settings,
            Clock clock,
            HttpPlatform platform,
            HttpCaller calls,
            PeerLinks links,
            RouterAddress self) {
        this.settings = checkNotNull(settings, "settings");
        this.clock = checkNotNull(clock, "clock");
        this.platform = checkNotNull(platform, "platform");
        engines =
                new EnginePoller(
                        calls,
                        executor,
                        clock,
                        self.domain(),
                        traffic,
                        settings.recovery().probeTimeoutMs());
        config =
                new ConfigControl(
                        ConfigState.create(self.domain(), ConfigTimings.of(settings.config())),
                        platform,
                        executor,
                        clock,
                        TableReads.every(
                                settings.platform().configPollMs(), ThreadLocalRandom::current),
                        settings.platform().deadlineMs(),
                        this::onDeployment);
        peers = new PeerControl(self, membershipSettings(), links, config, executor, clock);
        peers.attach();
        reports =
                new ReportSharing(
                        engines,
                        peers::membership,
                        links,
                        executor,
                        clock,
                        self,
                        settings.engines());
        reports.attach();
        instances = instances(links, self.domain());
        instances.attach();
    }

    private InstanceSharing instances(PeerLinks links, DomainId domain) {
        return new InstanceSharing(
                SharedInstances.every(
                        new ReadPace(
                                settings.platform().instancesPollMs(),
                                settings.platform().instancesPollMaxMs(),
                                settings.platform().instancesBytesPerS()),
                        ThreadLocalRandom::current),
                platform,
                links,
                peers::membership,
                executor,
                clock,
                domain,
                settings.platform().deadlineMs(),
                list -> guarded(() -> onInstances(list)));
    }

    /** Starts polling the platform, the peers and the back ends; any thread. */
    void start() {
        traffic.wakeWith(() -> executor.execute(() -> guarded(this::publish)));
        every(settings.engines().statePollMs(), this::pollEngines);
        every(TICK_MS, this::tick);
    }

    /** Returns the view that traffic threads use; any thread. */
    ServingView view() {
        return view;
    }

    /** Returns where traffic threads leave what they see of engines; any thread. */
    EngineTraffic traffic() {
        return traffic;
    }

    /** Returns the members as last published; any thread. */
    Membership membership() {
        return peers.membership();
    }

    /** Returns the serving routers and their domains as last published; any thread. */
    ImmutableMap<RouterId, DomainId> servingRouters() {
        return peers.serving();
    }

    /** Returns the other serving routers of the own domain; control thread only. */
    List<RouterId> othersServingHere() {
        return List.copyOf(peers.membership().servingHere());
    }

    /**
     * Returns the serving routers of the own domain, this one if it serves; control thread only.
     */
    List<RouterId> servingHere() {
        List<RouterId> here = new ArrayList<>(othersServingHere());
        if (ownState() == MemberState.SERVING) {
            here.add(settings.router().id());
        }
        return here;
    }

    /**
     * Has copies and keys kept in time, and copies told of routers that died; call before {@link
     * #start}.
     */
    void copyOver(CopyLinks copies, KeyLinks keys) {
        peers.onDead(copies::lost);
        every(COPY_TICK_MS, copies::tick);
        every(KEY_TICK_MS, keys::tick);
    }

    /** Takes how to tell that this router has work on an engine; call before {@link #start}. */
    void engineInUse(Predicate<EngineId> inUse) {
        reports.inUse(inUse);
    }

    /** Returns what the control of this domain's engines goes by; control thread only. */
    ControlInput controlInput() {
        List<ManagedEngine> managed = new ArrayList<>();
        for (EngineRecord record : engines.records()) {
            BackEnd e = record.backEnd();
            if (e.domain().equals(settings.router().domain())) {
                managed.add(
                        new ManagedEngine(
                                e.id(), e.address(), e.group(), record.holdings(), e.leaving()));
            }
        }
        return new ControlInput(deployment, managed);
    }

    /** Returns the executor of the control thread, for services whose state it owns. */
    ScheduledExecutorService executor() {
        return executor;
    }

    /** Returns the configuration as the control thread sees it; any thread. */
    CompletableFuture<ConfigView> configView() {
        return CompletableFuture.supplyAsync(config::view, executor);
    }

    /** Tells whether the table answered the last poll; any thread. */
    boolean tableAnswers() {
        return config.tableAnswers();
    }

    /** Proposes a change; any thread. */
    CompletableFuture<ChangeAnswer> propose(ProposedChange change) {
        return CompletableFuture.supplyAsync(() -> config.propose(change), executor)
                .thenCompose(answer -> answer);
    }

    /** Changes whether new requests are taken; any thread. */
    void intake(Intake now) {
        executor.execute(
                () -> {
                    intake = now;
                    publish();
                    announceSelf();
                });
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private MembershipSettings membershipSettings() {
        DaemonSettings.Peers own = settings.peers();
        return MembershipSettings.DEFAULT.withHeartbeats(
                own.heartbeatMs(),
                own.heartbeatMaxMs(),
                own.heartbeatBytesPerS(),
                own.suspectMs(),
                own.deadMs());
    }

    private void every(long periodMs, Runnable step) {
        executor.scheduleWithFixedDelay(() -> guarded(step), 0, periodMs, TimeUnit.MILLISECONDS);
    }

    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            // An executor drops a periodic step that throws; control must go on.
            LOG.error("control: step failed", e);
        }
    }

    private void tick() {
        config.poll(1 + othersServingHere().size());
        instances.poll();
        config.tick();
        peers.tick();
    }

    private void onDeployment(Deployment next) {
        deployment = Optional.of(next);
        publish();
        announceSelf();
    }

    private void announceSelf() {
        peers.own(ownState(), config.view().revision(), LoadDigest.NONE);
    }

    private MemberState ownState() {
        if (intake != Intake.OPEN) {
            return MemberState.DRAINING;
        }
        return deployment.isPresent() ? MemberState.SERVING : MemberState.STARTING;
    }

    private void onInstances(List<InstanceRecord> list) {
        engines.listed(list);
        List<ListedRouter> routers =
                list.stream()
                        .filter(i -> i.kind() == InstanceKind.ROUTER)
                        .map(ControlLoop::listed)
                        .toList();
        peers.listed(routers);
        Set<DomainId> domains =
                routers.stream().map(r -> r.where().domain()).collect(Collectors.toSet());
        domains.add(settings.router().domain());
        config.domainsKnown(domains);
        publish();
    }

    private static ListedRouter listed(InstanceRecord i) {
        RouterAddress where = RouterAddress.of(RouterId.of(i.id()), i.domain(), i.address(), 0);
        return new ListedRouter(where, i.leaving());
    }

    private void pollEngines() {
        deployment.ifPresent(d -> reports.poll(d, ownState()));
        publish();
    }

    private void publish() {
        engines.takeTraffic();
        RoutingSnapshot routing =
                EngineViews.snapshot(settings.router().domain(), engines, clock.nowMs());
        view = new ServingView(deployment, routing, intake);
    }
}
