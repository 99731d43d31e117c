package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.Deployment;

/** Runs the lease of a failure domain and the duties under it; owned by the control thread. */
final class DomainLoop {
    private static final Logger LOG = LogManager.getLogger(DomainLoop.class);

    private final ControlContext context;
    private final Supplier<ControlInput> input;
    private final LeaseDriver lease;
    private final SweepDriver sweep;
    private Optional<DomainTenure> tenure = Optional.empty();
    private Optional<CompletableFuture<Void>> released = Optional.empty();
    private boolean acting;

    private DomainLoop(ControlContext context, Supplier<ControlInput> input) {
        this.context = checkNotNull(context, "context");
        this.input = checkNotNull(input, "input");
        lease = LeaseDriver.of(context);
        sweep = SweepDriver.of(context, lease);
    }

    static DomainLoop of(ControlContext context, Supplier<ControlInput> input) {
        return new DomainLoop(context, input);
    }

    /** Does what is due and returns the view after it. */
    ControlView tick() {
        lease.tick();
        if (lease.isReleased()) {
            released.ifPresent(r -> r.complete(null));
        }
        ControlInput now = input.get();
        OptionalLong fencing = lease.actingFencing();
        noteActing(fencing);
        fencing.ifPresent(f -> act(f, now));
        return viewOf(now);
    }

    /** Stops acting at once; {@code done} completes when the lease is given back. */
    void release(CompletableFuture<Void> done) {
        released.ifPresent(r -> r.thenRun(() -> done.complete(null)));
        if (released.isEmpty()) {
            released = Optional.of(done);
        }
        lease.release();
    }

    private void act(long fencing, ControlInput now) {
        if (tenure.map(DomainTenure::fencing).filter(f -> f == fencing).isEmpty()) {
            tenure = Optional.of(DomainTenure.under(fencing, lease, context));
        }
        tenure.get().tick(now);
        sweep.tick();
    }

    private void noteActing(OptionalLong fencing) {
        if (acting != fencing.isPresent()) {
            acting = fencing.isPresent();
            LOG.info(
                    "control: domain {} {} by {}, fencing {}",
                    context.domain(),
                    acting ? "held" : "no longer held",
                    context.self(),
                    lease.lastFencing());
        }
    }

    private ControlView viewOf(ControlInput now) {
        long exposureMs = now.deployment().map(this::exposureMs).orElse(0L);
        return new ControlView(
                acting,
                lease.lastFencing(),
                acting ? tenure.map(DomainTenure::openOrders).orElse(List.of()) : List.of(),
                acting ? tenure.map(DomainTenure::loads).orElse(0) : 0,
                exposureMs);
    }

    private long exposureMs(Deployment deployment) {
        return deployment.groups().values().stream()
                .map(g -> context.settings().orders().policy(g.checksFencing()))
                .mapToLong(OrderPolicy::exposureMs)
                .max()
                .orElse(0);
    }
}
