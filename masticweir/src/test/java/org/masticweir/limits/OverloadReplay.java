package org.masticweir.limits;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.config.Reliability;
import org.masticweir.config.WorkClass;
import org.masticweir.engine.BackEnd;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.limits.AdmissionDecision.Admitted;
import org.masticweir.limits.AdmissionDecision.Queued;
import org.masticweir.limits.AdmissionDecision.Refused;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.ExpectedDelayChooser;
import org.masticweir.routing.InFlight;
import org.masticweir.routing.RouteChoice.Chosen;
import org.masticweir.routing.RouteQuery;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.routing.SpeedEstimate;
import org.masticweir.time.ManualClock;

/** Replays the request mix of the Spaarstraal example through two routers to shared engines. */
final class OverloadReplay {
    /** A class of the mix: weight of its arrivals, medians and spread of its lengths. */
    record Profile(
            WorkClass workClass, int weight, double output, double sigma, int template, int own) {}

    /** Results of the calls of one class, or of one class of one team. */
    static final class Tally {
        int offered;
        int inTarget;
        int late;
        int refused;
        long refusedAfterMs;

        void add(Tally other) {
            offered += other.offered;
            inTarget += other.inTarget;
            late += other.late;
            refused += other.refused;
            refusedAfterMs += other.refusedAfterMs;
        }

        double share() {
            return offered == 0 ? 1 : (double) inTarget / offered;
        }

        @Override
        public String toString() {
            long mean = refused == 0 ? 0 : refusedAfterMs / refused;
            return String.format(
                    "%d of %d in target (%.3f), %d late, %d refused after %d ms",
                    inTarget, offered, share(), late, refused, mean);
        }
    }

    static final ModelId MODEL = ModelId.of("report");
    private static final String VERSION = "3";
    private static final DomainId HOME = DomainId.of("d1");
    private static final ImmutableList<Integer> SEEDS = ImmutableList.of(17, 18, 19, 20);
    private static final int EXCHANGE_MS = 2_000;
    private static final int TICK_MS = 5;
    private static final int POLL_MS = 200;
    private static final int SETTLE_MS = 1_000;
    private static final int WARM_UP_MS = 10_000;
    private static final int END_MS = 70_000;
    private static final String[] TEAMS = {"large", "b", "c", "d", "e", "f"};
    private static final int[] TEAM_SHARES = {40, 20, 12, 6, 5, 4};

    static final Profile REPORTS = profile("reports", 2_000, 600_000, 20, 120, 0.6, 51, 40);
    static final Profile LETTERS = profile("letters", 5_000, 30_000, 10, 30, 0.4, 26, 12);
    static final Profile LOOKUPS = profile("lookups", 300, 2_000, 50, 3.2, 0.5, 13, 2);
    static final Profile CONFIRMATIONS = profile("confirmations", 500, 5_000, 20, 8, 0.3, 13, 4);

    /** The routers of a replay, and whether they exchange the usage of teams. */
    record Fleet(int routers, boolean exchangesUsage) {
        static final Fleet TWO = new Fleet(2, false);
    }

    private final Random random;
    private final Fleet fleet;
    private final ManualClock clock = ManualClock.startingAt(0);
    private final List<BatchEngine> engines;
    private final List<Profile> mix;
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();

    private OverloadReplay(
            List<Profile> mix, int engines, Fleet fleet, LimitSettings settings, int seed) {
        random = new Random(seed);
        this.fleet = fleet;
        this.mix = mix;
        this.engines = IntStream.range(0, engines).mapToObj(i -> new BatchEngine()).toList();
        for (int i = 0; i < fleet.routers; i++) {
            routers.add(new SimulatedRouter(settings, i));
        }
    }

    private static Profile profile(
            String id,
            int firstMs,
            int totalMs,
            int weight,
            double output,
            double sigma,
            int t,
            int own) {
        WorkClass c =
                new WorkClass(
                        WorkClassId.of(id),
                        firstMs,
                        totalMs,
                        Reliability.TOKENS,
                        RecoveryPreset.PROMPT);
        return new Profile(c, weight, output, sigma, t, own);
    }

    /**
     * Replays {@code ratePerS} requests a second, with {@code burstPerS} reports of one team, once
     * for each seed.
     */
    static ImmutableList<OverloadReplay> runs(
            List<Profile> mix,
            int engines,
            LimitSettings settings,
            double ratePerS,
            double burstPerS) {
        return runs(mix, engines, Fleet.TWO, settings, ratePerS, burstPerS);
    }

    /** Replays the request mix with another fleet of routers. */
    static ImmutableList<OverloadReplay> runs(
            List<Profile> mix,
            int engines,
            Fleet fleet,
            LimitSettings settings,
            double ratePerS,
            double burstPerS) {
        return SEEDS.stream()
                .map(seed -> new OverloadReplay(mix, engines, fleet, settings, seed))
                .peek(replay -> replay.run(ratePerS, burstPerS))
                .collect(ImmutableList.toImmutableList());
    }

    private void run(double ratePerS, double burstPerS) {
        while (clock.nowMs() < END_MS) {
            step(ratePerS, burstPerS);
            clock.advanceMs(1);
        }
    }

    /** Returns the sum of the results of {@code tally} for each run. */
    static Tally sum(List<OverloadReplay> runs, Function<OverloadReplay, Tally> tally) {
        Tally sum = new Tally();
        runs.stream().map(tally).forEach(sum::add);
        return sum;
    }

    /** Returns the results of a class's calls after the warm-up. */
    Tally of(Profile profile) {
        return tally(c -> c.profile == profile);
    }

    /** Returns the results of a class's calls of all teams except the large one. */
    Tally ofSmallTeams(Profile profile) {
        return tally(c -> c.profile == profile && !c.team.equals(TEAMS[0]));
    }

    private Tally tally(Predicate<Call> isIncluded) {
        Tally tally = new Tally();
        calls.stream()
                .filter(isIncluded)
                .filter(c -> c.startedAtMs >= WARM_UP_MS && c.startedAtMs < END_MS - WARM_UP_MS)
                .forEach(c -> c.addTo(tally));
        return tally;
    }

    private void step(double ratePerS, double burstPerS) {
        long now = clock.nowMs();
        for (int i = 0; i < engines.size(); i++) {
            int engine = i;
            engines.get(i).runTo(now, (s, last) -> onToken(engine, s, last));
        }
        routers.forEach(r -> r.step(now));
        if (random.nextDouble() < ratePerS / 1_000) {
            startCall(drawProfile(), drawTeam());
        }
        if (random.nextDouble() < burstPerS / 1_000) {
            startCall(REPORTS, TEAMS[0]);
        }
    }

    private void startCall(Profile profile, String team) {
        Call call = new Call(profile, team, calls.size(), clock.nowMs());
        calls.add(call);
        call.router.offer(call);
    }

    private void onToken(int engine, BatchEngine.Sequence s, boolean last) {
        Call call = calls.get(s.call);
        if (call.firstTokenMs < 0) {
            call.firstTokenMs = clock.nowMs() - call.startedAtMs;
        }
        if (last) {
            call.totalMs = clock.nowMs() - call.startedAtMs;
            call.router.ended(call, engine);
        }
    }

    private Profile drawProfile() {
        int left = random.nextInt(mix.stream().mapToInt(Profile::weight).sum());
        for (Profile p : mix) {
            left -= p.weight;
            if (left < 0) {
                return p;
            }
        }
        throw new AssertionError(left);
    }

    private String drawTeam() {
        int left = random.nextInt(IntStream.of(TEAM_SHARES).sum());
        int i = 0;
        while (left >= TEAM_SHARES[i]) {
            left -= TEAM_SHARES[i++];
        }
        return TEAMS[i];
    }

    private int drawLength(double median, double sigma) {
        return (int) Math.max(1, Math.round(median * Math.exp(sigma * random.nextGaussian())));
    }

    /** One call from its arrival on. */
    private final class Call {
        private final Profile profile;
        private final String team;
        private final int number;
        private final long startedAtMs;
        private final int promptTokens;
        private final int outputTokens;
        private final SimulatedRouter router;
        private long firstTokenMs = -1;
        private long totalMs = -1;
        private long refusedAfterMs = -1;

        Call(Profile profile, String team, int number, long atMs) {
            this.profile = profile;
            this.team = team;
            this.number = number;
            this.startedAtMs = atMs;
            promptTokens = profile.template + drawLength(profile.own, 0.5);
            outputTokens = drawLength(profile.output, profile.sigma);
            router = routers.get(random.nextInt(fleet.routers));
        }

        AdmissionRequest admissionRequest() {
            return new AdmissionRequest(
                    RequestId.of("n" + number),
                    TeamId.of(team),
                    profile.workClass,
                    MODEL,
                    VERSION,
                    promptTokens,
                    outputTokens,
                    startedAtMs);
        }

        void addTo(Tally tally) {
            boolean first = firstTokenMs >= 0 && firstTokenMs <= profile.workClass.firstTokenMs();
            boolean whole = totalMs < 0 || totalMs <= profile.workClass.totalMs();
            tally.offered++;
            if (refusedAfterMs >= 0) {
                tally.refused++;
                tally.refusedAfterMs += refusedAfterMs;
            } else if (first && whole) {
                tally.inTarget++;
            } else {
                tally.late++;
            }
        }
    }

    /** One router: its admission controller, its chooser and its latest snapshot of the engines. */
    private final class SimulatedRouter {
        private final InFlight inFlight = InFlight.create();
        private final ExpectedDelayChooser chooser;
        private final RouterId id;
        private final TeamShares shares;
        private final AdmissionController admission;
        private final int phaseMs;
        private RoutingSnapshot snapshot;

        SimulatedRouter(LimitSettings settings, int index) {
            Random own = new Random(index);
            phaseMs = index * POLL_MS / fleet.routers;
            chooser = ExpectedDelayChooser.create(inFlight, () -> own);
            id = RouterId.of("r" + index);
            shares = TeamShares.create(id, OverloadReplay::shareOf);
            admission =
                    AdmissionController.create(
                            SnapshotCapacity.create(
                                    () -> snapshot, inFlight, () -> fleet.routers, settings),
                            shares,
                            m -> 0,
                            own,
                            settings);
            poll(0);
        }

        void step(long now) {
            if (now % POLL_MS == phaseMs) {
                poll(now);
            }
            if (fleet.exchangesUsage && now % EXCHANGE_MS == 0) {
                routers.forEach(other -> other.shares.merge(id, shares.digest(now), now));
            }
            if (now % SETTLE_MS == 0) {
                shares.updateWeights(now);
            }
            if (now % TICK_MS == 0) {
                admission.tick(now).forEach(this::applyDecision);
            }
        }

        void offer(Call call) {
            applyDecision(admission.offer(call.admissionRequest(), clock.nowMs()));
        }

        void ended(Call call, int engine) {
            inFlight.finished(EngineId.of("e" + engine), clock.nowMs());
            admission.recordEnd(RequestId.of("n" + call.number), clock.nowMs());
            shares.recordUsage(TeamId.of(call.team), call.outputTokens, clock.nowMs());
        }

        private void applyDecision(AdmissionDecision decision) {
            Call call = calls.get(Integer.parseInt(decision.request().value().substring(1)));
            if (decision instanceof Refused) {
                call.refusedAfterMs = clock.nowMs() - call.startedAtMs;
            } else if (decision instanceof Admitted) {
                send(call);
            } else {
                assert decision instanceof Queued;
            }
        }

        private void send(Call call) {
            WorkClass c = call.profile.workClass;
            RouteQuery query =
                    RouteQuery.first(MODEL, VERSION, c.id(), call.promptTokens, List.of());
            Chosen chosen = (Chosen) chooser.choose(snapshot, query, clock.nowMs());
            inFlight.sent(chosen, clock.nowMs());
            admission.recordSend(RequestId.of("n" + call.number));
            shares.recordUsage(TeamId.of(call.team), call.promptTokens, clock.nowMs());
            int engine = Integer.parseInt(chosen.view().id().value().substring(1));
            engines.get(engine)
                    .submit(
                            new BatchEngine.Sequence(
                                    call.number,
                                    c.firstTokenMs(),
                                    call.promptTokens,
                                    call.outputTokens));
        }

        private void poll(long now) {
            RoutingSnapshot.Builder b = RoutingSnapshot.builder(HOME, now);
            for (int i = 0; i < engines.size(); i++) {
                b.add(view(i, now));
            }
            snapshot = b.build();
        }

        private EngineView view(int i, long now) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
            BackEnd backEnd = new BackEnd(EngineId.of("e" + i), address, HOME, "g", false);
            SpeedEstimate speed =
                    SpeedEstimate.of(
                            BatchEngine.PREFILL_TOKENS_PER_MS, BatchEngine.STEP_MS, 0, 1_000);
            return EngineView.of(backEnd, MODEL, VERSION, engines.get(i).report(now), now, speed);
        }
    }

    private static int shareOf(TeamId team) {
        for (int i = 0; i < TEAMS.length; i++) {
            if (TEAMS[i].equals(team.value())) {
                return TEAM_SHARES[i];
            }
        }
        return 1;
    }
}
