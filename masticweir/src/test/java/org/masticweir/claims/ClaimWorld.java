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
 * Simulation of two routers, a table behind an unreliable network and a counting back end, driven
 * by one seed.
 *
 * <p>With shared writes there are three routers, and any write may be delegated to any other
 * router: messages between them are lost, late, duplicated and reordered, and a writer may crash or
 * stay silent.
 */
final class ClaimWorld {
    static final int REQUESTS = 3;

    /**
     * More requests with shared writes, since crashes and duplicated write requests use up keys
     * sooner.
     */
    private static final int SHARED_REQUESTS = 10;

    private static final long DEADLINE_MS = 400;
    private static final BatchLimits LIMITS = new BatchLimits(3, 2, 5, 6, 50, 2, 1_000, 3, 40);
    private static final SharedWriteLimits SHARING = new SharedWriteLimits(1, 15, 40, 30);
    private static final ClaimPolicy POLICY = new ClaimPolicy(3, 300, 10, 300, 50);

    /** One submission and the verdict that its caller received. */
    private static final class Submission {
        private final RowKey key;
        private final String nonce;
        private final ClaimStateMachine stateMachine;
        private long sendBeforeMs = Long.MIN_VALUE;
        private Verdict reportedVerdict;

        private Submission(RowKey key, String nonce, ClaimStateMachine state) {
            this.key = key;
            this.nonce = nonce;
            this.stateMachine = state;
        }
    }

    /** A router's state, which is lost when it crashes. */
    private static final class Router {
        private final Map<Long, Submission> live = new HashMap<>();
        private final Set<ClaimWriteId> pendingWrites = new HashSet<>();
        private ClaimBatcher batcher;
        private WriteDelegation delegation;
        private PeerWrites peerWrites;
    }

    /** A message in transit between two routers. */
    private record LinkMessage(Router to, Runnable onArrival) {}

    /** The clock of this world. */
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

    /** A group in transit; the router is null after a crash. */
    private record SentGroup(Router router, ClaimGroup group) {}

    private final Random random;
    private final boolean sendsBeforeClaim;
    private final boolean sharesWrites;
    private final boolean trustsAcceptance;
    private final List<LinkMessage> messages = new ArrayList<>();
    private final MemoryTable table = new MemoryTable();
    private final List<Router> routers = new ArrayList<>();
    private final List<SentGroup> network = new ArrayList<>();
    private final List<ClaimGroup> delayed = new ArrayList<>();
    private final List<Submission> all = new ArrayList<>();
    private final Map<RowKey, List<String>> runs = new HashMap<>();
    private long nowMs = 1_000;
    private long lastId;
    private long responseCount;
    private boolean isTableUnavailable;

    /** With {@code sendsBeforeClaim} routers use the plain policy: send, then claim. */
    ClaimWorld(long seed, boolean sendsBeforeClaim) {
        this(seed, sendsBeforeClaim, false, false);
    }

    private ClaimWorld(
            long seed, boolean sendsBeforeClaim, boolean sharesWrites, boolean trustsAcceptance) {
        random = new Random(seed);
        this.sendsBeforeClaim = sendsBeforeClaim;
        this.sharesWrites = sharesWrites;
        this.trustsAcceptance = trustsAcceptance;
        routers.add(newRouter());
        routers.add(newRouter());
        if (sharesWrites) {
            routers.add(newRouter());
        }
    }

    /** Returns a world in which routers write each other's claims. */
    static ClaimWorld withSharedWrites(long seed) {
        return new ClaimWorld(seed, false, true, false);
    }

    /**
     * Returns a world with shared writes and the plain policy that the writer's acceptance of a
     * write already permits the send.
     */
    static ClaimWorld withTrustedAcceptance(long seed) {
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

    /** Returns the number of runs at the back ends. */
    long runs() {
        return runs.values().stream().mapToLong(List::size).sum();
    }

    /** Returns the number of writer responses that reached a claimant. */
    long writerResponses() {
        return responseCount;
    }

    long countVerdicts(Verdict verdict) {
        return all.stream().filter(s -> s.reportedVerdict == verdict).count();
    }

    boolean notRunNeverRan() {
        return all.stream()
                .filter(s -> s.reportedVerdict == Verdict.NOT_RUN)
                .noneMatch(s -> runs.getOrDefault(s.key, List.of()).contains(s.nonce));
    }

    private Router newRouter() {
        Router r = new Router();
        r.batcher = new ClaimBatcher(LIMITS, nowMs);
        r.delegation = new WriteDelegation(RouterId.of("self"), SHARING);
        r.peerWrites = new PeerWrites(r.batcher, new WorldClock());
        return r;
    }

    private void step() {
        if (sharesWrites && random.nextInt(5) < 3) {
            stepMessages(routers.get(random.nextInt(routers.size())));
            return;
        }
        int choice = random.nextInt(100);
        Router router = routers.get(random.nextInt(routers.size()));
        if (choice < 15) {
            submit(router);
        } else if (choice < 45) {
            nowMs += random.nextInt(12);
            router.batcher.nextGroup(nowMs).ifPresent(g -> network.add(new SentGroup(router, g)));
        } else if (choice < 75 && !network.isEmpty()) {
            deliver(network.remove(random.nextInt(network.size())));
        } else if (choice < 88) {
            advanceOneClaim(router);
        } else if (choice < 91 && !delayed.isEmpty()) {
            table.apply(delayed.remove(random.nextInt(delayed.size())).transaction());
        } else if (choice < 94) {
            routers.set(routers.indexOf(router), newRouter());
        } else if (choice < 96) {
            isTableUnavailable = !isTableUnavailable && (!sharesWrites || random.nextInt(3) == 0);
        } else if (choice < 97) {
            nowMs += random.nextInt(500);
        }
    }

    /** Delivers, drops or duplicates a message, or expires a pending write of the claimant. */
    private void stepMessages(Router router) {
        if (random.nextInt(8) == 0 || messages.isEmpty()) {
            nowMs += random.nextInt(4);
            for (ClaimWriteId key : List.copyOf(router.pendingWrites)) {
                applyDelegationActions(router, key, router.delegation.expire(key, nowMs));
            }
            return;
        }
        int fate = random.nextInt(20);
        int chosen = random.nextInt(messages.size());
        LinkMessage hop = fate == 0 ? messages.get(chosen) : messages.remove(chosen);
        if (fate != 1 && routers.contains(hop.to())) {
            hop.onArrival().run();
        }
    }

    private void offer(Router router, BatchItem item) {
        Router writer = routers.get(random.nextInt(routers.size()));
        if (!sharesWrites || writer == router) {
            writeLocally(router, item);
            return;
        }
        ClaimWriteId key = router.delegation.addPending(item, RouterId.of("writer"), nowMs);
        router.pendingWrites.add(key);
        int fate = random.nextInt(20);
        if (fate == 0) {
            applyDelegationActions(router, key, router.delegation.onNotSent(key, nowMs));
            return;
        }
        ClaimWriteRequest message = ClaimWriteRequest.of(item).orElseThrow();
        messages.add(new LinkMessage(writer, () -> onWriteRequest(writer, message, router)));
        if (fate == 1) {
            applyDelegationActions(router, key, router.delegation.onLinkLost(key, nowMs));
        }
    }

    private void onWriteRequest(Router writer, ClaimWriteRequest message, Router claimant) {
        ClaimWriteId key = message.id();
        if (trustsAcceptance) {
            new LinkReply(claimant, key)
                    .send(new ClaimWriteResponse(ClaimWriteResponse.Kind.COMMITTED, 1, ""));
        }
        if (writer.peerWrites.accept(message, new LinkReply(claimant, key))) {
            messages.add(
                    new LinkMessage(claimant, () -> claimant.delegation.markAccepted(key, nowMs)));
        }
    }

    /** Sends a writer's response back. */
    private final class LinkReply implements Reply {
        private final Router claimant;
        private final ClaimWriteId key;

        private LinkReply(Router claimant, ClaimWriteId key) {
            this.claimant = claimant;
            this.key = key;
        }

        @Override
        public boolean send(PeerMessage m) {
            ClaimWriteResponse response = (ClaimWriteResponse) m;
            messages.add(new LinkMessage(claimant, () -> deliverResponse(response)));
            return true;
        }

        private void deliverResponse(ClaimWriteResponse response) {
            responseCount++;
            applyDelegationActions(
                    claimant, key, claimant.delegation.onResponse(key, response, false, nowMs));
        }

        @Override
        public boolean fail(MasticweirException error) {
            throw new AssertionError(error);
        }
    }

    private void applyDelegationActions(
            Router router, ClaimWriteId key, List<DelegationAction> actions) {
        for (DelegationAction action : actions) {
            router.pendingWrites.remove(key);
            if (action instanceof DelegationAction.Report t) {
                deliver(router, t.event().claim(), t.event().event());
            } else {
                writeLocally(router, ((DelegationAction.WriteLocally) action).item());
            }
        }
    }

    private void writeLocally(Router router, BatchItem item) {
        OptionalLong refused = router.batcher.offer(item, nowMs);
        if (refused.isPresent()) {
            int ticket = item.write().ticket();
            deliver(router, item.claim(), new ClaimEvent.NotDone(ticket, refused));
        }
    }

    private void submit(Router router) {
        RequestId request =
                RequestId.of("r" + random.nextInt(sharesWrites ? SHARED_REQUESTS : REQUESTS));
        RowKey key = ClaimRow.keyOf(TeamId.of("t"), request);
        long id = ++lastId;
        ClaimRow row = ClaimRow.claimed("n" + id, RouterId.of("router"), nowMs);
        ClaimStateMachine state =
                ClaimStateMachine.of(key, row, POLICY, nowMs, nowMs + DEADLINE_MS);
        Submission s = new Submission(key, row.nonce(), state);
        all.add(s);
        router.live.put(id, s);
        if (sendsBeforeClaim && !table.row(key).isPresent()) {
            execute(s);
        }
        apply(router, id, state.start(nowMs));
    }

    private void deliver(SentGroup sent) {
        boolean known = routers.contains(sent.router());
        int fate = random.nextInt(10);
        TransactionOutcome outcome = new TransactionOutcome.Unknown("lost");
        if (isTableUnavailable || fate == 0) {
            outcome = TransactionOutcome.NotDone.because("out");
        } else if (fate == 1) {
            delayed.add(sent.group());
        } else if (fate == 2 || fate == 3) {
            table.apply(sent.group().transaction());
        } else if (fate > 4) {
            outcome = table.apply(sent.group().transaction());
        }
        if (known) {
            for (BatchEvent e :
                    sent.router().batcher.onOutcome(sent.group().id(), outcome, nowMs)) {
                if (!sent.router().peerWrites.respond(e)) {
                    deliver(sent.router(), e.claim(), e.event());
                }
            }
        }
    }

    /** A caller cancels, or a granted request is sent, refused, or dropped before its send. */
    private void advanceOneClaim(Router router) {
        List<Long> ready = new ArrayList<>(router.live.keySet());
        if (ready.isEmpty()) {
            return;
        }
        long id = ready.get(random.nextInt(ready.size()));
        Submission s = router.live.get(id);
        if (s.reportedVerdict == null && s.sendBeforeMs == Long.MIN_VALUE) {
            if (random.nextInt(4) == 0) {
                deliver(router, id, new ClaimEvent.GiveUp());
            }
            return;
        }
        if (s.reportedVerdict != null) {
            return;
        }
        if (nowMs < s.sendBeforeMs && random.nextInt(4) > 0) {
            execute(s);
            s.reportedVerdict = random.nextBoolean() ? Verdict.COMPLETED : Verdict.MAY_HAVE_RUN;
            deliver(router, id, new ClaimEvent.Ended(s.reportedVerdict, ""));
        } else {
            s.reportedVerdict = Verdict.NOT_RUN;
            deliver(router, id, new ClaimEvent.NotSent());
        }
    }

    private void execute(Submission s) {
        runs.computeIfAbsent(s.key, k -> new ArrayList<>()).add(s.nonce);
    }

    private void deliver(Router router, long id, ClaimEvent event) {
        Submission s = router.live.get(id);
        if (s != null) {
            apply(router, id, s.stateMachine.onEvent(event, nowMs));
        }
    }

    private void apply(Router router, long id, List<ClaimAction> actions) {
        Submission s = router.live.get(id);
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.Write w) {
                offer(router, new BatchItem(id, w.write()));
            } else if (action instanceof ClaimAction.Grant m) {
                assertTrue(s.reportedVerdict == null, "granted after its verdict");
                s.sendBeforeMs = m.sendBeforeMs();
            } else if (action instanceof ClaimAction.ReportAlreadyClaimed j) {
                s.reportedVerdict = j.row().verdict();
            } else if (action instanceof ClaimAction.Refuse r) {
                s.reportedVerdict = r.error().verdict();
            } else {
                router.live.remove(id);
            }
        }
    }
}
