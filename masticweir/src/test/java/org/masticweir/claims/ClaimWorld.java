package org.masticweir.claims;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.Reply;
import org.masticweir.store.MemoryTable;
import org.masticweir.store.RowKey;
import org.masticweir.store.TransactionOutcome;
import org.masticweir.time.Clock;

/**
 * Two routers, a table behind a bad network and a back end that counts, run from one seed.
 *
 * <p>With hops there are three, and any write may go by way of any other router: messages between
 * them are lost, late, doubled and out of order, and a writer may die or stay silent.
 */
final class ClaimWorld {
    static final int REQUESTS = 3;

    /** More of them by way of writers, as deaths and doubled offers use up keys sooner. */
    private static final int SHARED_REQUESTS = 10;

    private static final long DEADLINE_MS = 400;
    private static final BatchLimits LIMITS = new BatchLimits(3, 2, 5, 6, 50, 2, 1_000, 3, 40);
    private static final SharedWriteLimits SHARING = new SharedWriteLimits(1, 15, 40, 30);
    private static final ClaimPolicy POLICY = new ClaimPolicy(3, 300, 10, 300, 50);

    /** One submission and what its caller was told. */
    private static final class Submission {
        private final RowKey key;
        private final String nonce;
        private final ClaimStateMachine state;
        private long sendBeforeMs = Long.MIN_VALUE;
        private Verdict told;

        private Submission(RowKey key, String nonce, ClaimStateMachine state) {
            this.key = key;
            this.nonce = nonce;
            this.state = state;
        }
    }

    /** A router's memory, lost with it. */
    private static final class Router {
        private final Map<Long, Submission> live = new HashMap<>();
        private final Set<OfferKey> offers = new HashSet<>();
        private ClaimBatch batch;
        private ClaimSharing sharing;
        private GuestWrites guests;
    }

    /** A message between two routers, on its way. */
    private record Hop(Router to, Runnable arrives) {}

    /** The time of this world. */
    private final class WorldClock implements Clock {
        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public long wallMs() {
            return nowMs;
        }
    }

    /** A group on its way; a null router is one that is gone. */
    private record Sent(Router router, ClaimGroup group) {}

    private final Random random;
    private final boolean sendFirst;
    private final boolean hops;
    private final boolean trusting;
    private final List<Hop> between = new ArrayList<>();
    private final MemoryTable table = new MemoryTable();
    private final List<Router> routers = new ArrayList<>();
    private final List<Sent> network = new ArrayList<>();
    private final List<ClaimGroup> delayed = new ArrayList<>();
    private final List<Submission> all = new ArrayList<>();
    private final Map<RowKey, List<String>> runs = new HashMap<>();
    private long nowMs = 1_000;
    private long ids;
    private long answers;
    private boolean out;

    /** With {@code sendFirst} routers follow the plain policy: send, then claim. */
    ClaimWorld(long seed, boolean sendFirst) {
        this(seed, sendFirst, false, false);
    }

    private ClaimWorld(long seed, boolean sendFirst, boolean hops, boolean trusting) {
        random = new Random(seed);
        this.sendFirst = sendFirst;
        this.hops = hops;
        this.trusting = trusting;
        routers.add(restarted());
        routers.add(restarted());
        if (hops) {
            routers.add(restarted());
        }
    }

    /** Returns a world in which routers write for each other. */
    static ClaimWorld sharing(long seed) {
        return new ClaimWorld(seed, false, true, false);
    }

    /** The same with the plain policy that a writer's word of having queued a claim permits it. */
    static ClaimWorld trustingWriters(long seed) {
        return new ClaimWorld(seed, false, true, true);
    }

    ClaimWorld run(int steps) {
        for (int i = 0; i < steps; i++) {
            step();
        }
        return this;
    }

    long mostRunsOfOneRequest() {
        return runs.values().stream().mapToInt(List::size).max().orElse(0);
    }

    /** Returns how often back ends ran something. */
    long runs() {
        return runs.values().stream().mapToLong(List::size).sum();
    }

    /** Returns how many answers of writers reached a claimant. */
    long answersOfWriters() {
        return answers;
    }

    long told(Verdict verdict) {
        return all.stream().filter(s -> s.told == verdict).count();
    }

    boolean notRunNeverRan() {
        return all.stream()
                .filter(s -> s.told == Verdict.NOT_RUN)
                .noneMatch(s -> runs.getOrDefault(s.key, List.of()).contains(s.nonce));
    }

    private Router restarted() {
        Router r = new Router();
        r.batch = new ClaimBatch(LIMITS, nowMs);
        r.sharing = new ClaimSharing(RouterId.of("self"), SHARING);
        r.guests = new GuestWrites(r.batch, new WorldClock());
        return r;
    }

    private void step() {
        if (hops && random.nextInt(5) < 3) {
            stepBetween(routers.get(random.nextInt(routers.size())));
            return;
        }
        int choice = random.nextInt(100);
        Router router = routers.get(random.nextInt(routers.size()));
        if (choice < 15) {
            submit(router);
        } else if (choice < 45) {
            nowMs += random.nextInt(12);
            router.batch.next(nowMs).ifPresent(g -> network.add(new Sent(router, g)));
        } else if (choice < 75 && !network.isEmpty()) {
            deliver(network.remove(random.nextInt(network.size())));
        } else if (choice < 88) {
            actOnOne(router);
        } else if (choice < 91 && !delayed.isEmpty()) {
            table.apply(delayed.remove(random.nextInt(delayed.size())).transaction());
        } else if (choice < 94) {
            routers.set(routers.indexOf(router), restarted());
        } else if (choice < 96) {
            out = !out && (!hops || random.nextInt(3) == 0);
        } else if (choice < 97) {
            nowMs += random.nextInt(500);
        }
    }

    /** A message arrives, is lost, or arrives twice; or a claimant stops waiting. */
    private void stepBetween(Router router) {
        if (random.nextInt(8) == 0 || between.isEmpty()) {
            nowMs += random.nextInt(4);
            for (OfferKey key : List.copyOf(router.offers)) {
                act(router, key, router.sharing.overdue(key, nowMs));
            }
            return;
        }
        int fate = random.nextInt(20);
        int chosen = random.nextInt(between.size());
        Hop hop = fate == 0 ? between.get(chosen) : between.remove(chosen);
        if (fate != 1 && routers.contains(hop.to())) {
            hop.arrives().run();
        }
    }

    private void offer(Router router, BatchItem item) {
        Router writer = routers.get(random.nextInt(routers.size()));
        if (!hops || writer == router) {
            writeHere(router, item);
            return;
        }
        OfferKey key = router.sharing.offered(item, RouterId.of("writer"), nowMs);
        router.offers.add(key);
        int fate = random.nextInt(20);
        if (fate == 0) {
            act(router, key, router.sharing.notSent(key, nowMs));
            return;
        }
        ClaimOffer message = ClaimOffer.of(item).orElseThrow();
        between.add(new Hop(writer, () -> arrive(writer, message, router)));
        if (fate == 1) {
            act(router, key, router.sharing.lost(key, nowMs));
        }
    }

    private void arrive(Router writer, ClaimOffer message, Router claimant) {
        OfferKey key = message.offer();
        if (trusting) {
            new HopReply(claimant, key).send(new ClaimAnswer(ClaimAnswer.Kind.COMMITTED, 1, ""));
        }
        if (writer.guests.take(message, new HopReply(claimant, key))) {
            between.add(new Hop(claimant, () -> claimant.sharing.taken(key, nowMs)));
        }
    }

    /** Carries a writer's answer back. */
    private final class HopReply implements Reply {
        private final Router claimant;
        private final OfferKey key;

        private HopReply(Router claimant, OfferKey key) {
            this.claimant = claimant;
            this.key = key;
        }

        @Override
        public boolean send(PeerMessage m) {
            ClaimAnswer answer = (ClaimAnswer) m;
            between.add(new Hop(claimant, () -> back(answer)));
            return true;
        }

        private void back(ClaimAnswer answer) {
            answers++;
            act(claimant, key, claimant.sharing.answered(key, answer, false, nowMs));
        }

        @Override
        public boolean fail(MasticweirException error) {
            throw new AssertionError(error);
        }
    }

    private void act(Router router, OfferKey key, List<SharingAction> actions) {
        for (SharingAction action : actions) {
            router.offers.remove(key);
            if (action instanceof SharingAction.Tell t) {
                tell(router, t.event().claim(), t.event().event());
            } else {
                writeHere(router, ((SharingAction.WriteHere) action).item());
            }
        }
    }

    private void writeHere(Router router, BatchItem item) {
        OptionalLong refused = router.batch.offer(item, nowMs);
        if (refused.isPresent()) {
            int ticket = item.write().ticket();
            tell(router, item.claim(), new ClaimEvent.NotDone(ticket, refused));
        }
    }

    private void submit(Router router) {
        RequestId request = RequestId.of("r" + random.nextInt(hops ? SHARED_REQUESTS : REQUESTS));
        RowKey key = ClaimRow.keyOf(TeamId.of("t"), request);
        long id = ++ids;
        ClaimRow row = ClaimRow.claimed("n" + id, RouterId.of("router"), nowMs);
        ClaimStateMachine state =
                ClaimStateMachine.of(key, row, POLICY, nowMs, nowMs + DEADLINE_MS);
        Submission s = new Submission(key, row.nonce(), state);
        all.add(s);
        router.live.put(id, s);
        if (sendFirst && !table.row(key).isPresent()) {
            execute(s);
        }
        apply(router, id, state.start(nowMs));
    }

    private void deliver(Sent sent) {
        boolean known = routers.contains(sent.router());
        int fate = random.nextInt(10);
        TransactionOutcome outcome = new TransactionOutcome.Unknown("lost");
        if (out || fate == 0) {
            outcome = TransactionOutcome.NotDone.because("out");
        } else if (fate == 1) {
            delayed.add(sent.group());
        } else if (fate == 2 || fate == 3) {
            table.apply(sent.group().transaction());
        } else if (fate > 4) {
            outcome = table.apply(sent.group().transaction());
        }
        if (known) {
            for (BatchEvent e : sent.router().batch.on(sent.group().id(), outcome, nowMs)) {
                if (!sent.router().guests.answer(e)) {
                    tell(sent.router(), e.claim(), e.event());
                }
            }
        }
    }

    /** A caller cancels, or a permitted request is sent, refused, or dropped before its send. */
    private void actOnOne(Router router) {
        List<Long> ready = new ArrayList<>(router.live.keySet());
        if (ready.isEmpty()) {
            return;
        }
        long id = ready.get(random.nextInt(ready.size()));
        Submission s = router.live.get(id);
        if (s.told == null && s.sendBeforeMs == Long.MIN_VALUE) {
            if (random.nextInt(4) == 0) {
                tell(router, id, new ClaimEvent.GiveUp());
            }
            return;
        }
        if (s.told != null) {
            return;
        }
        if (nowMs < s.sendBeforeMs && random.nextInt(4) > 0) {
            execute(s);
            s.told = random.nextBoolean() ? Verdict.COMPLETED : Verdict.MAY_HAVE_RUN;
            tell(router, id, new ClaimEvent.Ended(s.told, ""));
        } else {
            s.told = Verdict.NOT_RUN;
            tell(router, id, new ClaimEvent.NotSent());
        }
    }

    private void execute(Submission s) {
        runs.computeIfAbsent(s.key, k -> new ArrayList<>()).add(s.nonce);
    }

    private void tell(Router router, long id, ClaimEvent event) {
        Submission s = router.live.get(id);
        if (s != null) {
            apply(router, id, s.state.on(event, nowMs));
        }
    }

    private void apply(Router router, long id, List<ClaimAction> actions) {
        Submission s = router.live.get(id);
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.Write w) {
                offer(router, new BatchItem(id, w.write()));
            } else if (action instanceof ClaimAction.Grant m) {
                assertTrue(s.told == null, "permitted after its answer");
                s.sendBeforeMs = m.sendBeforeMs();
            } else if (action instanceof ClaimAction.ReportAlreadyClaimed j) {
                s.told = j.row().verdict();
            } else if (action instanceof ClaimAction.Refuse r) {
                s.told = r.error().verdict();
            } else {
                router.live.remove(id);
            }
        }
    }
}
