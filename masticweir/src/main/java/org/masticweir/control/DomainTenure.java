package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticweir.config.Deployment;
import org.masticweir.config.EngineGroup;
import org.masticweir.id.EngineId;

/**
 * One time of holding a domain's lease, under one fencing number.
 *
 * <p>Nothing of it outlives that: the next time starts with a new object, and answers to calls of
 * the former one reach only the former one. Owned by the control thread.
 */
final class DomainTenure {
    private final ControlContext context;
    private final long fencing;
    private final JournalScan scan;
    private final LoadGrants grants;
    private final DomainPlan plan;
    private final EngineDuty.Shared shared;
    private final Map<EngineId, EngineDuty> duties = new HashMap<>();
    private final Set<EngineId> resumed = new HashSet<>();
    private final Set<EngineId> toldToLeave = new HashSet<>();

    private DomainTenure(ControlContext context, LeaseDriver lease, long fencing) {
        this.context = checkNotNull(context, "context");
        this.fencing = fencing;
        ControlSettings settings = context.settings();
        scan = JournalScan.of(context);
        grants = LoadGrants.afterTakeover(settings.loads(), context.nowMs());
        plan = DomainPlan.unloadingAfter(settings.orders().unloadAfterMs());
        PacedWrites writes = PacedWrites.at(settings.orders().writesPerSecond(), context.nowMs());
        shared = new EngineDuty.Shared(context, lease, grants, writes);
    }

    static DomainTenure under(long fencing, LeaseDriver lease, ControlContext context) {
        return new DomainTenure(context, lease, fencing);
    }

    long fencing() {
        return fencing;
    }

    /** Does what is due now. */
    void tick(ControlInput input) {
        scan.tick();
        if (!scan.isDone() || input.deployment().isEmpty()) {
            return;
        }
        long now = context.nowMs();
        Deployment deployment = input.deployment().get();
        plan.update(deployment, input.engines(), now);
        input.engines().forEach(e -> resume(e, now));
        grants.update(plan.missing(), plan.replicas(), now);
        shared.writes().drain(now);
        Set<EngineId> present =
                input.engines().stream().map(ManagedEngine::id).collect(toImmutableSet());
        duties.keySet().retainAll(present);
        for (ManagedEngine engine : input.engines()) {
            deployment.group(engine.group()).ifPresent(group -> serve(engine, group));
        }
    }

    List<OpenOrder> openOrders() {
        return duties.entrySet().stream()
                .flatMap(
                        e ->
                                e.getValue().openOrder().stream()
                                        .map(order -> new OpenOrder(e.getKey(), order)))
                .collect(toImmutableList());
    }

    int loads() {
        return grants.size();
    }

    /** Counts, once, the load that a former holder may have left under way at {@code engine}. */
    private void resume(ManagedEngine engine, long nowMs) {
        JournalRow row = scan.open().get(engine.id());
        if (row != null && engine.holdings().isPresent() && resumed.add(engine.id())) {
            row.openLoad().ifPresent(v -> grants.resumed(new WeightLoad(engine.id(), v), nowMs));
        }
    }

    private void serve(ManagedEngine engine, EngineGroup group) {
        EngineTarget target = targetOf(engine);
        EngineDuty duty = duties.get(engine.id());
        if (duty == null) {
            if (target.isNothing() && !scan.open().containsKey(engine.id())) {
                return;
            }
            OrderPolicy policy = context.settings().orders().policy(group.checksFencing());
            duty = EngineDuty.of(shared, engine, policy, target);
            duties.put(engine.id(), duty);
        }
        duty.tick(engine, target);
    }

    private EngineTarget targetOf(ManagedEngine engine) {
        Optional<EngineRole> role = engine.holdings().map(EngineHoldings::role);
        if (engine.leaving() && role.equals(Optional.of(EngineRole.SERVING))) {
            toldToLeave.add(engine.id());
        }
        if (!engine.leaving() && toldToLeave.contains(engine.id())) {
            if (!isBack(engine.id())) {
                return EngineTarget.backToServing();
            }
            toldToLeave.remove(engine.id());
        }
        boolean leave = engine.leaving() && toldToLeave.contains(engine.id());
        return EngineTarget.of(leave, grants.orderedOf(engine.id()), plan.unloadableOf(engine));
    }

    /**
     * Tells whether an engine that was told to leave serves again for good.
     *
     * <p>Failure guarded against: the list takes its word back while the order to leave is on its
     * way. The engine still shows itself as serving and leaves then; were it forgotten that it was
     * told to, it would stay out for good, though it never said so itself. What it shows counts
     * only once no order to it is open.
     */
    private boolean isBack(EngineId engine) {
        return Optional.ofNullable(duties.get(engine)).map(EngineDuty::isBack).orElse(false);
    }
}
