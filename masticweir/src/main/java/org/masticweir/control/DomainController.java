package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.http.HttpCaller;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.store.TableService;
import org.masticweir.store.WeightStore;
import org.masticweir.time.Clock;

/**
 * Runs the control duties of one failure domain while this router holds the domain's lease.
 *
 * <p>Every router of the domain runs one. All state is confined to the control executor passed in,
 * which must have one thread; nothing blocks it, and the public methods may be called from any
 * thread.
 */
public final class DomainController implements ControlQueries {
    private static final Logger LOG = LogManager.getLogger(DomainController.class);

    private final ScheduledExecutorService control;
    private final DomainLoop loop;
    private final long tickMs;
    private volatile ControlView view = ControlView.idle();

    private DomainController(ScheduledExecutorService control, DomainLoop loop, long tickMs) {
        this.control = checkNotNull(control, "control");
        this.loop = checkNotNull(loop, "loop");
        this.tickMs = tickMs;
    }

    /**
     * Returns a controller that does nothing until {@link #start}.
     *
     * @param input asked on the control thread at every tick
     */
    public static DomainController create(
            RouterId self,
            DomainId domain,
            TableService table,
            WeightStore weights,
            HttpCaller calls,
            ScheduledExecutorService control,
            Clock clock,
            ControlSettings settings,
            Supplier<ControlInput> input) {
        EngineCalls engines = HttpEngineCalls.over(calls, settings.orders().timeoutMs());
        ControlContext context =
                new ControlContext(self, domain, table, weights, engines, control, clock, settings);
        return new DomainController(control, DomainLoop.of(context, input), settings.tickMs());
    }

    /** Starts to compete for the lease. */
    public void start() {
        control.scheduleWithFixedDelay(this::tick, 0, tickMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Stops giving orders at once and hands the lease back.
     *
     * <p>The future completes when the table holds that; while the table is out it does not, so the
     * caller bounds its wait. An order already sent is left open in the journal for the next
     * holder.
     */
    public CompletableFuture<Void> release() {
        CompletableFuture<Void> released = new CompletableFuture<>();
        control.execute(() -> loop.release(released));
        return released;
    }

    @Override
    public ControlView view() {
        return view;
    }

    private void tick() {
        try {
            view = loop.tick();
        } catch (RuntimeException e) {
            // An executor drops a periodic step that throws; the lease must go on being renewed.
            LOG.error("control: tick failed", e);
        }
    }
}
