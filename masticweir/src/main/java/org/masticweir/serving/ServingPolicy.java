package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.masticweir.config.Team;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.limits.AdmissionController;
import org.masticweir.limits.CapacitySource;
import org.masticweir.limits.LimitSettings;
import org.masticweir.limits.RecoveryAdmissionController;
import org.masticweir.limits.SnapshotCapacity;
import org.masticweir.limits.TeamShares;
import org.masticweir.retry.RetryBudget;
import org.masticweir.retry.RetryPolicy;
import org.masticweir.routing.InFlight;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.time.Clock;

/** The decisions and measurements that a router's requests share; all of it is thread-safe. */
public record ServingPolicy(
        EngineTraffic traffic,
        AdmissionGate admission,
        RecoveryGate recoveries,
        TeamShares shares,
        RetryBudget retryBudget,
        RetryPolicy retries) {
    private static final long SETTLE_EVERY_MS = 1_000;
    private static final double PERCENT = 100;

    /** Share of a team that the configuration does not name. */
    private static final int UNKNOWN_SHARE = 1;

    public ServingPolicy {
        checkNotNull(traffic, "traffic");
        checkNotNull(admission, "admission");
        checkNotNull(recoveries, "recoveries");
        checkNotNull(shares, "shares");
        checkNotNull(retryBudget, "retryBudget");
        checkNotNull(retries, "retries");
    }

    /**
     * Returns the policy of a router that has served nothing yet.
     *
     * @param control executor of the control thread, on which what waits is decided
     * @param routers how many routers, this one included, send to the same engines
     */
    public static ServingPolicy create(
            RouterId self,
            Clock clock,
            Supplier<ServingView> view,
            InFlight inFlight,
            IntSupplier routers,
            ScheduledExecutorService control,
            EngineTraffic traffic,
            LimitSettings limits,
            DaemonSettings.Retries retries) {
        TeamShares shares = TeamShares.create(self, team -> shareOf(view.get(), team));
        control.scheduleWithFixedDelay(
                () -> shares.updateWeights(clock.nowMs()),
                SETTLE_EVERY_MS,
                SETTLE_EVERY_MS,
                TimeUnit.MILLISECONDS);
        CapacitySource capacity =
                SnapshotCapacity.create(() -> view.get().routing(), inFlight, routers, limits);
        RecoveryAdmissionController recoveries =
                RecoveryAdmissionController.create(capacity, limits);
        AdmissionController admission =
                AdmissionController.create(
                        capacity, shares, recoveries::waitingCount, new SplittableRandom(), limits);
        Gates gates = new Gates(admission, recoveries, clock, control);
        RetryBudget budget =
                RetryBudget.create(retries.budgetPercent() / PERCENT, retries.budgetFloor());
        return new ServingPolicy(
                traffic,
                gates.admission,
                gates.recoveries,
                shares,
                budget,
                RetryPolicy.create(budget, ThreadLocalRandom::current, retries.maxSends()));
    }

    private static int shareOf(ServingView view, TeamId team) {
        return view.deployment().flatMap(d -> d.team(team)).map(Team::share).orElse(UNKNOWN_SHARE);
    }

    /** The two gates and the ticker that decides for both, recoveries first. */
    private static final class Gates {
        private final AdmissionGate admission;
        private final RecoveryGate recoveries;
        private final GateTicker ticker;

        Gates(
                AdmissionController admission,
                RecoveryAdmissionController recoveries,
                Clock clock,
                ScheduledExecutorService control) {
            ticker = new GateTicker(control, this::tick, this::anyWaiting);
            this.admission = AdmissionGate.create(admission, clock, ticker::tickSoon);
            this.recoveries = RecoveryGate.create(recoveries, clock, ticker::tickSoon);
        }

        private void tick() {
            recoveries.tick();
            admission.tick();
        }

        private boolean anyWaiting() {
            return recoveries.anyWaiting() || admission.anyWaiting();
        }
    }
}
