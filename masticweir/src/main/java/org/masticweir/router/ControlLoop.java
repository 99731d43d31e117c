package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.Deployment;
import org.masticweir.config.DeploymentDocument;
import org.masticweir.error.MasticweirException;
import org.masticweir.http.HttpCaller;
import org.masticweir.id.DomainId;
import org.masticweir.platform.HttpPlatform;
import org.masticweir.platform.InstanceRecord;
import org.masticweir.platform.ReadOutcome;
import org.masticweir.platform.Row;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.serving.ServingView;
import org.masticweir.time.Clock;

/**
 * The one thread that owns control state; publishes a {@link ServingView} after each change.
 *
 * <p>Other threads only read {@link #view}; everything else runs on the control thread.
 */
public final class ControlLoop implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlLoop.class);

    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    new ThreadFactoryBuilder().setNameFormat("control").setDaemon(true).build());
    private final Clock clock;
    private final DomainId domain;
    private final HttpPlatform platform;
    private final ControlTiming timing;
    private final EnginePoller engines;

    private volatile ServingView view = ServingView.empty();
    private Optional<Deployment> deployment = Optional.empty();
    private boolean draining;

    private ControlLoop(
            Clock clock,
            DomainId domain,
            HttpPlatform platform,
            HttpCaller calls,
            ControlTiming timing) {
        this.clock = checkNotNull(clock, "clock");
        this.domain = checkNotNull(domain, "domain");
        this.platform = checkNotNull(platform, "platform");
        this.timing = checkNotNull(timing, "timing");
        engines = new EnginePoller(calls, executor, clock, timing.stateTimeoutMs());
    }

    /** Returns a loop that does nothing until {@link #start}. */
    public static ControlLoop create(
            Clock clock,
            DomainId domain,
            HttpPlatform platform,
            HttpCaller calls,
            ControlTiming timing) {
        return new ControlLoop(clock, domain, platform, calls, timing);
    }

    /** Starts polling the platform and the back ends. */
    public void start() {
        every(timing.configPollMs(), this::readConfig);
        every(timing.instancesPollMs(), this::readInstances);
        every(timing.statePollMs(), this::pollEngines);
    }

    /** Returns the view that traffic threads use; thread-safe. */
    public ServingView view() {
        return view;
    }

    /** Refuses new requests from now on. */
    public void drain() {
        executor.execute(
                () -> {
                    draining = true;
                    publish();
                });
    }

    /** Returns the executor of the control thread, for services whose state it owns. */
    ScheduledExecutorService executor() {
        return executor;
    }

    @Override
    public void close() {
        executor.shutdownNow();
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

    private void readConfig() {
        platform.read(StoredConfig.CURRENT, timing.deadlineMs())
                .thenAcceptAsync(outcome -> guarded(() -> onConfig(outcome)), executor);
    }

    private void onConfig(ReadOutcome<Row> outcome) {
        if (outcome instanceof ReadOutcome.Done<Row> done && done.value().isPresent()) {
            StoredConfig.parse(done.value().value()).ifPresent(this::apply);
        }
    }

    private void apply(StoredConfig stored) {
        long known = deployment.map(Deployment::revision).orElse(0L);
        if (stored.revision() <= known) {
            return;
        }
        try {
            deployment =
                    Optional.of(
                            DeploymentDocument.parse(
                                    "table", stored.document(), stored.revision()));
        } catch (MasticweirException e) {
            LOG.error("config: revision {} not applied, {}", stored.revision(), e.getMessage());
            return;
        }
        LOG.info("config: revision {} in force, was {}", stored.revision(), known);
        publish();
    }

    private void readInstances() {
        platform.instances(timing.deadlineMs())
                .thenAcceptAsync(outcome -> guarded(() -> onInstances(outcome)), executor);
    }

    private void onInstances(ReadOutcome<List<InstanceRecord>> outcome) {
        if (outcome instanceof ReadOutcome.Done<List<InstanceRecord>> done) {
            engines.listed(done.value());
            publish();
        }
    }

    private void pollEngines() {
        deployment.ifPresent(engines::poll);
        publish();
    }

    private void publish() {
        RoutingSnapshot routing = EngineViews.snapshot(domain, engines.records(), clock.nowMs());
        view = new ServingView(deployment, routing, draining);
    }
}
