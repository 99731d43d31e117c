package org.masticweir.permits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.masticweir.id.RouterId;

/**
 * Replay of routers that ask one issuer a server for room, on a clock of its own. The servers are
 * brittle, have no room beyond their slots, and get more requests than they can work on.
 */
final class RoomFleet {
    static final int SLOTS = 6;
    private static final double RUN_MS = 86;
    private static final long MAX_WAIT_MS = 48;
    private static final long DOWN_MS = 3_000;
    private static final long SECOND_MS = 1_000;
    private static final long POLL_MS = 10;

    private final Random random;
    private final int routerCount;
    private final double maxRejections;
    private final boolean usesIssuer;
    private final List<RoomIssuer> issuers = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final long[][] blockedUntilMs;
    private final int[][] held;
    private final boolean[][] isAsking;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMs;
    private long order;

    int falls;
    int served;
    int rejected;
    int requests;

    private record Event(long atMs, long order, Runnable step) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final class Server {
        private int running;
        private int room = SLOTS;
        private long downUntilMs;
        private final Deque<Long> rejectionsMs = new ArrayDeque<>();
    }

    /**
     * Creates a fleet.
     *
     * @param usesIssuer whether routers ask for room; if not, each sends while it sees a free slot
     */
    RoomFleet(
            long seed, int routerCount, int serverCount, double maxRejections, boolean usesIssuer) {
        random = new Random(seed);
        this.routerCount = routerCount;
        this.maxRejections = maxRejections;
        this.usesIssuer = usesIssuer;
        for (int i = 0; i < serverCount; i++) {
            servers.add(new Server());
            issuers.add(new RoomIssuer());
        }
        blockedUntilMs = new long[routerCount][serverCount];
        held = new int[routerCount][serverCount];
        isAsking = new boolean[routerCount][serverCount];
    }

    private void at(long ms, Runnable step) {
        events.add(new Event(ms, order++, step));
    }

    /** Messages of one router keep their order, as on its links. */
    private static long hopMs(int router) {
        return 1 + router % 3;
    }

    /** At this time the room of each server falls to {@code room}. */
    void shrinkRooms(long ms, int room) {
        at(ms, () -> servers.forEach(s -> s.room = room));
    }

    /** Plays {@code perSecond} requests for {@code durationMs}. */
    void play(double perSecond, long durationMs) {
        double next = 0;
        while (next < durationMs) {
            next += -Math.log(1 - random.nextDouble()) * SECOND_MS / perSecond;
            int router = random.nextInt(routerCount);
            long arrivedMs = (long) next;
            requests++;
            at(arrivedMs, () -> trySend(router, arrivedMs));
        }
        while (!events.isEmpty() && events.peek().atMs <= durationMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.step.run();
        }
    }

    private void trySend(int router, long arrivedMs) {
        if (nowMs - arrivedMs > MAX_WAIT_MS) {
            return;
        }
        int first = random.nextInt(servers.size());
        for (int i = 0; i < servers.size(); i++) {
            int server = (first + i) % servers.size();
            if (usesIssuer ? mayAsk(router, server) : hasFreeSlot(server)) {
                ask(router, server, arrivedMs);
                return;
            }
        }
        at(nowMs + POLL_MS, () -> trySend(router, arrivedMs));
    }

    private boolean mayAsk(int router, int server) {
        return nowMs >= blockedUntilMs[router][server] && !isAsking[router][server];
    }

    private boolean hasFreeSlot(int server) {
        return servers.get(server).running < SLOTS;
    }

    private void ask(int router, int server, long arrivedMs) {
        if (!usesIssuer) {
            at(nowMs + hopMs(router), () -> arrive(router, server));
            return;
        }
        RoomRequest request =
                new RoomRequest(
                        new PermitKey("room/" + server),
                        held[router][server],
                        SLOTS,
                        maxRejections,
                        0,
                        false);
        isAsking[router][server] = true;
        at(nowMs + hopMs(router), () -> decide(router, server, arrivedMs, request));
    }

    private void decide(int router, int server, long arrivedMs, RoomRequest request) {
        PermitDecision decision =
                issuers.get(server).decide(id(router), request, 1, -SECOND_MS, nowMs);
        at(nowMs + hopMs(router), () -> onDecision(router, server, arrivedMs, decision));
    }

    private void onDecision(int router, int server, long arrivedMs, PermitDecision decision) {
        isAsking[router][server] = false;
        if (decision.isGranted()) {
            held[router][server]++;
            at(nowMs + hopMs(router), () -> arrive(router, server));
            return;
        }
        blockedUntilMs[router][server] = nowMs + decision.retryAfterMs();
        trySend(router, arrivedMs);
    }

    private void arrive(int router, int serverIndex) {
        Server server = servers.get(serverIndex);
        if (nowMs < server.downUntilMs) {
            at(nowMs + hopMs(router), () -> end(router, serverIndex, false));
        } else if (server.running >= server.room) {
            reject(server);
            at(nowMs + hopMs(router), () -> end(router, serverIndex, true));
        } else {
            server.running++;
            long runMs = (long) (RUN_MS / 2 + random.nextInt((int) RUN_MS));
            at(nowMs + runMs, () -> finish(router, serverIndex));
        }
    }

    private void reject(Server server) {
        rejected++;
        server.rejectionsMs.add(nowMs);
        while (nowMs - server.rejectionsMs.peek() >= SECOND_MS) {
            server.rejectionsMs.remove();
        }
        if (server.rejectionsMs.size() > maxRejections) {
            falls++;
            server.rejectionsMs.clear();
            server.downUntilMs = nowMs + DOWN_MS;
        }
    }

    private void finish(int router, int serverIndex) {
        Server server = servers.get(serverIndex);
        server.running--;
        if (nowMs >= server.downUntilMs) {
            served++;
        }
        at(nowMs + hopMs(router), () -> end(router, serverIndex, false));
    }

    private void end(int router, int server, boolean isRejected) {
        if (usesIssuer) {
            held[router][server]--;
            RoomReport report =
                    new RoomReport(
                            new PermitKey("room/" + server), held[router][server], isRejected);
            at(
                    nowMs + hopMs(router),
                    () -> issuers.get(server).recordEnd(id(router), report, nowMs));
        }
    }

    private static RouterId id(int router) {
        return RouterId.of("r" + router);
    }
}
