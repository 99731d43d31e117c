package org.masticweir.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.quarantine.Quarantine.ContentUpdate;

/**
 * Simulates routers that share a quarantine, and servers that end and restart. Updates of routers
 * arrive late, some twice and some only after a link has been restored.
 */
final class QuarantineFleet {
    /** Time until each router has received a loss, in ms; includes the time to restore a link. */
    static final long MAX_UPDATE_MS = 550;

    private static final long BATCH_MS = 5;
    private static final int MAX_DELAY_MS = 20;
    private static final long LINK_RESTORE_MS = 500;
    private static final long INQUIRY_MS = 3;
    private static final long RETRY_MS = 10;
    private static final long REQUEST_TIMEOUT_MS = 2_250;
    private static final int PREFILL_MS = 1_000;
    private static final long RUN_MS = 5_000;
    private static final long CRASH_MS = 80;
    private static final long RESTART_MS = 4_000;
    private static final int ATTEMPTS = 5;

    /** Servers per domain. */
    static final int SERVERS_PER_DOMAIN = 5;

    private final Random random;
    private final List<Quarantine> routers = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMs;
    private int nextEventNumber;

    private final Map<ContentId, List<Long>> crashesMs = new HashMap<>();
    private final Map<ContentId, List<Long>> sendsMs = new HashMap<>();
    private int submittedCount;
    private int answeredCount;
    private int rejectedCount;

    private record Event(long atMs, int number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs == other.atMs
                    ? Integer.compare(number, other.number)
                    : Long.compare(atMs, other.atMs);
        }
    }

    private static final class Server {
        private final int index;
        private final List<Submission> runs = new ArrayList<>();
        private long startedMs = 1;
        private boolean isUp = true;

        Server(int index) {
            this.index = index;
        }

        ServerIncarnation incarnation() {
            return ServerIncarnation.of(EngineId.of("i-" + index), startedMs);
        }
    }

    /** One submission of a request. */
    private final class Submission {
        private final int router;
        private final ContentId content;
        private final boolean isCrashing;
        private final long receivedMs = nowMs;
        private int sendCount;
        private long sentMs;
        private long runStartedMs;
        private boolean isOnTrial;
        private boolean isDone;

        Submission(int router, ContentId content, boolean harmful) {
            this.router = router;
            this.content = content;
            this.isCrashing = harmful;
        }

        private Quarantine quarantine() {
            return routers.get(router);
        }

        void trySend() {
            SendRule rule = quarantine().sendRule(RequestContent.of(content), nowMs);
            Optional<Server> server = server(rule);
            if (rule == SendRule.REJECT) {
                rejectedCount++;
                isDone = true;
            } else if (sendCount >= ATTEMPTS
                    || nowMs - receivedMs > REQUEST_TIMEOUT_MS && sendCount == 0) {
                isDone = true;
            } else if (rule == SendRule.WAIT || server.isEmpty()) {
                schedule(RETRY_MS, this::trySend);
            } else {
                send(server.get());
            }
        }

        private Optional<Server> server(SendRule rule) {
            List<Server> up = servers.stream().filter(s -> s.isUp).toList();
            if (up.isEmpty()) {
                return Optional.empty();
            }
            return rule == SendRule.LEAST_LOADED
                    ? up.stream().min((a, b) -> a.runs.size() - b.runs.size())
                    : Optional.of(up.get(random.nextInt(up.size())));
        }

        private void send(Server server) {
            sendCount++;
            sentMs = nowMs;
            runStartedMs = Long.MAX_VALUE;
            sendsMs.computeIfAbsent(content, c -> new ArrayList<>()).add(nowMs);
            isOnTrial = quarantine().beginTrial(RequestContent.of(content), nowMs);
            broadcast(router);
            server.runs.add(this);
            int send = sendCount;
            schedule(PREFILL_MS + random.nextInt(PREFILL_MS), () -> beginRun(server, send));
        }

        private boolean isRunningAt(Server server, int send) {
            return !isDone && sendCount == send && server.runs.contains(this);
        }

        private void beginRun(Server server, int send) {
            if (!isRunningAt(server, send)) {
                return;
            }
            runStartedMs = nowMs;
            if (isCrashing) {
                schedule(CRASH_MS, () -> crash(server, send));
                return;
            }
            schedule(Quarantine.TRIAL_MS, () -> recordSuccess(server, send));
            schedule(RUN_MS, () -> finish(server, send));
        }

        private void crash(Server server, int send) {
            if (isRunningAt(server, send)) {
                crashesMs.computeIfAbsent(content, c -> new ArrayList<>()).add(nowMs);
                endServer(server);
            }
        }

        private void recordSuccess(Server server, int send) {
            if (isRunningAt(server, send)) {
                quarantine().recordSuccess(RequestContent.of(content), runStartedMs, nowMs);
                broadcast(router);
            }
        }

        private void finish(Server server, int send) {
            if (isRunningAt(server, send)) {
                recordSuccess(server, send);
                server.runs.remove(this);
                endTrial();
                isDone = true;
                answeredCount++;
            }
        }

        private void endTrial() {
            if (isOnTrial) {
                isOnTrial = false;
                quarantine().endTrial(RequestContent.of(content));
                broadcast(router);
            }
        }

        void handleLoss(ServerIncarnation incarnation) {
            endTrial();
            if (nowMs - runStartedMs >= Quarantine.TRIAL_MS) {
                trySend();
                return;
            }
            Loss loss = new Loss(incarnation, sentMs, nowMs);
            quarantine().beginInquiry(RequestContent.of(content), nowMs);
            schedule(
                    INQUIRY_MS,
                    () -> {
                        quarantine().endInquiry(RequestContent.of(content));
                        quarantine().recordLoss(RequestContent.of(content), loss, nowMs);
                        broadcast(router);
                    });
            trySend();
        }
    }

    QuarantineFleet(int routerCount, int serverCount, long seed) {
        random = new Random(seed);
        for (int i = 0; i < routerCount; i++) {
            routers.add(Quarantine.create(RouterId.of("r" + i), 3_600_000));
        }
        for (int i = 0; i < serverCount; i++) {
            servers.add(new Server(i));
        }
    }

    void schedule(long ms, Runnable action) {
        events.add(new Event(nowMs + ms, nextEventNumber++, action));
    }

    /** Runs {@code action} every {@code gapMs} until {@code untilMs}. */
    void scheduleEvery(long gapMs, long untilMs, Runnable action) {
        for (long at = gapMs; at <= untilMs; at += gapMs) {
            schedule(at, action);
        }
    }

    void runUntil(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
    }

    void submit(ContentId content, boolean harmful) {
        submittedCount++;
        new Submission(random.nextInt(routers.size()), content, harmful).trySend();
    }

    /** Ends all servers of one domain at once. */
    void endDomain(int domain) {
        servers.stream()
                .filter(s -> s.index / SERVERS_PER_DOMAIN == domain)
                .forEach(this::endServer);
    }

    void endAnyServer() {
        endServer(servers.get(random.nextInt(servers.size())));
    }

    private void endServer(Server server) {
        if (!server.isUp) {
            return;
        }
        server.isUp = false;
        ServerIncarnation incarnation = server.incarnation();
        List<Submission> lost = List.copyOf(server.runs);
        server.runs.clear();
        lost.forEach(r -> r.handleLoss(incarnation));
        schedule(
                RESTART_MS,
                () -> {
                    server.startedMs = nowMs;
                    server.isUp = true;
                });
    }

    private void broadcast(int router) {
        if (!routers.get(router).hasUpdates()) {
            return;
        }
        schedule(
                BATCH_MS,
                () -> {
                    List<ContentUpdate> updates = routers.get(router).drainUpdates(nowMs);
                    for (int peer = 0; peer < routers.size() && !updates.isEmpty(); peer++) {
                        broadcast(router, peer, updates);
                    }
                });
    }

    private void broadcast(int router, int peer, List<ContentUpdate> updates) {
        if (peer == router) {
            return;
        }
        boolean linkDown = random.nextInt(50) == 0;
        if (linkDown) {
            schedule(
                    LINK_RESTORE_MS,
                    () -> handleUpdates(router, peer, routers.get(router).snapshot(nowMs)));
            return;
        }
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            schedule(1 + random.nextInt(MAX_DELAY_MS), () -> handleUpdates(router, peer, updates));
        }
    }

    private void handleUpdates(int router, int peer, List<ContentUpdate> updates) {
        updates.forEach(n -> routers.get(peer).handleUpdate(RouterId.of("r" + router), n, nowMs));
    }

    /** Returns the number of servers that {@code content} crashed. */
    int crashCount(ContentId content) {
        return crashesMs.getOrDefault(content, List.of()).size();
    }

    /**
     * Returns how often {@code content} was sent more than {@code afterMs} after its third crash.
     */
    long sendsAfterThirdCrash(ContentId content, long afterMs) {
        List<Long> ends = crashesMs.getOrDefault(content, List.of());
        return ends.size() < Quarantine.CRASH_LIMIT
                ? 0
                : sendsMs.get(content).stream()
                        .filter(s -> s > ends.get(Quarantine.CRASH_LIMIT - 1) + afterMs)
                        .count();
    }

    /**
     * Returns how often {@code content} was sent before all routers had received its first crash.
     */
    long sendsBeforeFirstUpdate(ContentId content) {
        long firstMs = crashesMs.get(content).get(0);
        return sendsMs.get(content).stream().filter(s -> s <= firstMs + MAX_UPDATE_MS).count();
    }

    int submittedCount() {
        return submittedCount;
    }

    int answeredCount() {
        return answeredCount;
    }

    /**
     * Returns the number of submissions that were rejected because their content was in quarantine.
     */
    int rejectedCount() {
        return rejectedCount;
    }
}
