package org.masticweir.permits;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.PeerSender;
import org.masticweir.peer.Reply;
import org.masticweir.time.Clock;

/**
 * Simulates routers that send requests to one rate-limited server, and routers that retry requests.
 * Messages between routers are delayed and may be lost. Routers can be killed, suspended and
 * partitioned.
 */
final class PermitFleet {
    static final ServerIncarnation SERVER =
            ServerIncarnation.ofUnknownStart(EngineId.of("i-limited"));

    /**
     * Maximum retries of all routers together in ten seconds, in addition to the routers' own
     * shares.
     */
    static final double ALLOWED_RETRIES = 150;

    private static final PermitKey RETRIES = PermitKey.ofRetries(ServiceName.of("reports"));
    private static final SharedRate ALLOWANCE = SharedRate.ofAllowance(ALLOWED_RETRIES);

    /** Time without a message after which a link is closed, in ms. */
    private static final long SILENCE_MS = 2_000;

    /** Longest time until a link is restored once its routers can reach each other, in ms. */
    private static final int MAX_RELINK_MS = 500;

    private static final int MAX_DELAY_MS = 20;
    private static final int SERVER_DELAY_MS = 2;
    private static final int ANSWER_MS = 60;

    /** Time that the restart of a router takes, in ms. */
    private static final long RESTART_MS = 1_000;

    /**
     * Maximum number of permit requests for one request: the number of servers that a router would
     * try.
     */
    private static final int MAX_PERMIT_REQUESTS = 2;

    private final Random random;
    private final double messageLossRate;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final FleetClock clock = new FleetClock();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Arrival> retries = new ArrayList<>();
    private OptionalDouble limit = OptionalDouble.empty();
    private long nowMs;
    private int nextEventNumber;
    private int permitRequestsSent;

    /** A request that arrived at the server. */
    record Arrival(long atMs, int router, boolean mustComply) {}

    private record Event(long atMs, int number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs == other.atMs
                    ? Integer.compare(number, other.number)
                    : Long.compare(atMs, other.atMs);
        }
    }

    private final class FleetClock implements Clock {
        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public long wallMs() {
            return nowMs;
        }
    }

    /** One router. */
    private final class Node implements PeerSender {
        private final int index;
        private final RouterId id;
        private final Set<Integer> linkedNodes = new HashSet<>();
        private final List<Runnable> deferredActions = new ArrayList<>();
        private ServerLimits limits;
        private SharedPermits permits;
        private SharedLimits sharedLimits;
        private int incarnation;
        private int partitionSide;
        private boolean isUp = true;
        private boolean isSuspended;
        private long mustComplyFromMs = Long.MAX_VALUE;
        private long retriesBlockedUntilMs;

        Node(int index) {
            this.index = index;
            id = RouterId.of("r" + index);
            start();
        }

        private void start() {
            limits = ServerLimits.create();
            permits = new SharedPermits(id, this, clock, Runnable::run, new MetricRegistry());
            sharedLimits =
                    new SharedLimits(limits, permits, clock, new MetricRegistry(), this::broadcast);
            mustComplyFromMs = Long.MAX_VALUE;
        }

        private void broadcast(LimitUpdate update) {
            linkedNodes.forEach(peer -> send(nodes.get(peer).id, update));
        }

        /**
         * Runs {@code action} once this process is not suspended; drops the action if the process
         * has restarted.
         */
        private void runInProcess(Runnable action) {
            int then = incarnation;
            runOrDefer(
                    () -> {
                        if (incarnation == then && isUp) {
                            action.run();
                        }
                    });
        }

        private void runOrDefer(Runnable action) {
            if (isSuspended) {
                deferredActions.add(action);
            } else {
                action.run();
            }
        }

        @Override
        public boolean send(RouterId to, PeerMessage message) {
            Node peer = byId(to);
            deliver(this, peer, () -> peer.sharedLimits.handleUpdate(id, (LimitUpdate) message));
            return true;
        }

        @Override
        public CompletableFuture<PeerMessage> ask(
                RouterId to, PeerMessage message, long timeoutMs) {
            permitRequestsSent++;
            CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
            Node peer = byId(to);
            schedule(timeoutMs, () -> runInProcess(() -> fail(answer)));
            deliver(
                    this,
                    peer,
                    () ->
                            peer.permits.handleRequest(
                                    id, (PermitRequest) message, replyTo(peer, answer)));
            return answer;
        }

        private void fail(CompletableFuture<PeerMessage> answer) {
            answer.completeExceptionally(
                    MasticweirException.notRun(ErrorCode.DEADLINE_EXCEEDED, "no reply"));
        }

        private Reply replyTo(Node peer, CompletableFuture<PeerMessage> answer) {
            return new Reply() {
                @Override
                public boolean send(PeerMessage message) {
                    deliver(peer, Node.this, () -> answer.complete(message));
                    return true;
                }

                @Override
                public boolean fail(MasticweirException error) {
                    deliver(peer, Node.this, () -> answer.completeExceptionally(error));
                    return true;
                }
            };
        }

        /** Handles a request of a caller. */
        private void request(int remainingPermitRequests) {
            if (!limits.isLimited(SERVER)) {
                sendToServer();
            } else if (limits.remainingBlockMs(SERVER, nowMs) == 0 && remainingPermitRequests > 0) {
                sharedLimits.requestPermit(
                        SERVER,
                        0,
                        decision -> {
                            if (decision.isGranted()) {
                                sendToServer();
                            } else {
                                request(remainingPermitRequests - 1);
                            }
                        });
            }
        }

        /** Handles a retry that exceeds this router's own retry budget. */
        private void retry() {
            if (nowMs < retriesBlockedUntilMs) {
                return;
            }
            permits.request(
                    RETRIES,
                    0,
                    ALLOWANCE,
                    decision -> {
                        if (decision.isGranted()) {
                            retries.add(new Arrival(nowMs, index, true));
                        } else {
                            retriesBlockedUntilMs = nowMs + decision.retryAfterMs();
                        }
                    });
        }

        private void sendToServer() {
            long sentMs = nowMs;
            boolean mustComply = nowMs >= mustComplyFromMs;
            schedule(SERVER_DELAY_MS, () -> arrivals.add(new Arrival(nowMs, index, mustComply)));
            schedule(
                    SERVER_DELAY_MS + random.nextInt(ANSWER_MS),
                    () -> {
                        AnnouncedLimit announced =
                                limit.isPresent()
                                        ? AnnouncedLimit.of(limit.getAsDouble())
                                        : AnnouncedLimit.none();
                        runInProcess(() -> handleAnswer(announced, sentMs));
                    });
        }

        private void handleAnswer(AnnouncedLimit announced, long sentMs) {
            if (announced.kind() == AnnouncedLimit.Kind.ANNOUNCED) {
                mustComplyFromMs = Math.min(mustComplyFromMs, nowMs + COMPLIANCE_MS);
            }
            sharedLimits.handleAnswer(SERVER, announced, "request", sentMs);
        }
    }

    /** Time after the announcement of a limit within which a router must comply with it, in ms. */
    static final long COMPLIANCE_MS = 500;

    /**
     * Creates routers that are all known to each other. The links are established one after the
     * other.
     *
     * @param messageLossRate fraction of the messages between routers that is lost
     */
    PermitFleet(int routers, double messageLossRate, long seed) {
        random = new Random(seed);
        this.messageLossRate = messageLossRate;
        for (int i = 0; i < routers; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(n -> nodes.forEach(peer -> n.permits.addRouter(peer.id)));
        nodes.forEach(this::scheduleLinks);
    }

    private Node byId(RouterId id) {
        return nodes.get(Integer.parseInt(id.value().substring(1)));
    }

    void schedule(long ms, Runnable action) {
        events.add(new Event(nowMs + ms, nextEventNumber++, action));
    }

    void runUntil(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = untilMs;
    }

    /** Sets the limit that the server announces from now on; empty for no limit. */
    void setLimit(OptionalDouble perSecond) {
        limit = perSecond;
    }

    /**
     * Schedules {@code perSecond} requests a second until {@code untilMs}, distributed to the
     * routers by {@code shares}.
     */
    void scheduleRequests(double[] shares, double perSecond, long untilMs) {
        for (int i = 0; i < shares.length; i++) {
            if (shares[i] > 0) {
                Node node = nodes.get(i);
                double gapMs = 1_000 / (perSecond * shares[i]);
                scheduleNext(node, gapMs, untilMs, () -> node.request(MAX_PERMIT_REQUESTS));
            }
        }
    }

    /**
     * Schedules {@code perSecond} retries a second until {@code untilMs}, distributed to the
     * routers by {@code shares}.
     */
    void scheduleRetries(double[] shares, double perSecond, long untilMs) {
        for (int i = 0; i < shares.length; i++) {
            if (shares[i] > 0) {
                Node node = nodes.get(i);
                scheduleNext(node, 1_000 / (perSecond * shares[i]), untilMs, node::retry);
            }
        }
    }

    private void scheduleNext(Node node, double gapMs, long untilMs, Runnable action) {
        long waitMs = Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * gapMs));
        if (nowMs + waitMs > untilMs) {
            return;
        }
        schedule(
                waitMs,
                () -> {
                    if (node.isUp && !node.isSuspended) {
                        action.run();
                    }
                    scheduleNext(node, gapMs, untilMs, action);
                });
    }

    private boolean canReach(Node from, Node to) {
        return from.isUp && to.isUp && from.partitionSide == to.partitionSide;
    }

    private void deliver(Node from, Node to, Runnable action) {
        boolean arrives = canReach(from, to) && random.nextDouble() >= messageLossRate;
        if (arrives) {
            schedule(1 + random.nextInt(MAX_DELAY_MS), () -> to.runInProcess(action));
        }
    }

    private void scheduleLinks(Node node) {
        for (Node peer : nodes) {
            if (peer != node) {
                schedule(random.nextInt(MAX_RELINK_MS), () -> linkUp(node, peer));
                schedule(random.nextInt(MAX_RELINK_MS), () -> linkUp(peer, node));
            }
        }
    }

    private void linkUp(Node node, Node peer) {
        if (!canReach(node, peer)
                || node.isSuspended
                || peer.isSuspended
                || !node.linkedNodes.add(peer.index)) {
            return;
        }
        node.permits.onLinkUp(peer.id);
        node.sharedLimits.snapshot().ifPresent(update -> node.send(peer.id, update));
    }

    private void linkDown(Node node, Node peer) {
        if (node.linkedNodes.remove(peer.index)) {
            node.permits.onLinkDown(peer.id);
        }
    }

    private void closeLinkIfSilent(Node node, Node peer) {
        schedule(
                SILENCE_MS + random.nextInt(MAX_DELAY_MS),
                () -> {
                    if (!canReach(node, peer) || peer.isSuspended) {
                        node.runInProcess(() -> linkDown(node, peer));
                    }
                });
    }

    /** Kills a router's process; it restarts without state. */
    void kill(int router) {
        Node node = nodes.get(router);
        if (!node.isUp || node.isSuspended) {
            return;
        }
        node.isUp = false;
        node.incarnation++;
        node.linkedNodes.clear();
        for (Node peer : nodes) {
            schedule(1 + random.nextInt(MAX_DELAY_MS), () -> linkDown(peer, node));
        }
        schedule(
                RESTART_MS,
                () -> {
                    node.isUp = true;
                    node.start();
                    nodes.forEach(peer -> node.permits.addRouter(peer.id));
                    scheduleLinks(node);
                });
    }

    /**
     * Suspends a router's process. After the resume, the process handles the messages that arrived
     * in the meantime.
     */
    void suspend(int router, long forMs) {
        Node node = nodes.get(router);
        if (!node.isUp || node.isSuspended) {
            return;
        }
        node.isSuspended = true;
        nodes.forEach(peer -> closeLinkIfSilent(peer, node));
        schedule(
                forMs,
                () -> {
                    node.isSuspended = false;
                    List<Runnable> deferred = ImmutableList.copyOf(node.deferredActions);
                    node.deferredActions.clear();
                    deferred.forEach(Runnable::run);
                    scheduleLinks(node);
                });
    }

    /** Partitions the first {@code count} routers from the other routers for {@code forMs}. */
    void partition(int count, long forMs) {
        assignPartitionSide(count, 1);
        for (Node node : nodes) {
            nodes.stream()
                    .filter(peer -> peer.partitionSide != node.partitionSide)
                    .forEach(peer -> closeLinkIfSilent(node, peer));
        }
        schedule(
                forMs,
                () -> {
                    assignPartitionSide(count, 0);
                    nodes.forEach(this::scheduleLinks);
                });
    }

    private void assignPartitionSide(int count, int side) {
        nodes.subList(0, count).forEach(n -> n.partitionSide = side);
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    List<Arrival> retries() {
        return retries;
    }

    int permitRequestsSent() {
        return permitRequestsSent;
    }

    /**
     * Returns the maximum number of requests in a window of {@code windowMs} since {@code fromMs}.
     */
    static int maxInWindow(List<Arrival> arrivals, long windowMs, long fromMs) {
        List<Long> times =
                arrivals.stream()
                        .filter(Arrival::mustComply)
                        .map(Arrival::atMs)
                        .filter(t -> t >= fromMs)
                        .sorted()
                        .toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(first) >= windowMs) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    /** Runs {@code action} at {@code atMs}. */
    void scheduleAt(long atMs, Consumer<PermitFleet> action) {
        schedule(atMs - nowMs, () -> action.accept(this));
    }

    /** Returns the limit that a router has stored. */
    OptionalDouble storedLimit(int router) {
        return nodes.get(router).limits.perSecond(SERVER);
    }
}
