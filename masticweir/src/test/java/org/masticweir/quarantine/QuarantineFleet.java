package org.masticweir.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.quarantine.Quarantine.Change;
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
    private final Set<ContentId> crashingIds = new HashSet<>();
    private final Set<Integer> cutOffRouters = new HashSet<>();
    private final Map<ContentId, CrashRecord> store = new HashMap<>();
    private final SoundRequestCounts sound = new SoundRequestCounts();
    private int minPrefillMs = 1_000;
    private int maxPrefillMs = 2_000;
    private int submittedCount;
    private int answeredCount;
    private int rejectedCount;
    private long messageCount;
    private long updateCount;

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
        private final RequestContent content;
        private final long receivedMs = nowMs;
        private int sendCount;
        private long sentMs;
        private long runStartedMs;
        private boolean isOnTrial;
        private boolean hasWaited;
        private boolean isDone;

        Submission(int router, RequestContent content) {
            this.router = router;
            this.content = content;
        }

        private List<ContentId> crashing() {
            return content.all().stream().filter(crashingIds::contains).toList();
        }

        private boolean isSound() {
            return crashing().isEmpty();
        }

        private Quarantine quarantine() {
            return routers.get(router);
        }

        void trySend() {
            if (isDone) {
                return;
            }
            SendRule rule = quarantine().sendRule(content, nowMs);
            Optional<Server> server = server(rule);
            if (rule == SendRule.REJECT) {
                reject();
            } else if (sendCount >= ATTEMPTS
                    || nowMs - receivedMs > REQUEST_TIMEOUT_MS && sendCount == 0) {
                isDone = true;
                if (sendCount == 0 && hasWaited && isSound()) {
                    sound.recordNotSent();
                }
            } else if (rule == SendRule.WAIT || server.isEmpty()) {
                hasWaited |= rule == SendRule.WAIT;
                schedule(RETRY_MS, this::trySend);
            } else {
                send(server.get());
            }
        }

        private void reject() {
            rejectedCount++;
            isDone = true;
            if (isSound()) {
                sound.recordRejection();
            }
        }

        /** Cancels the send if the request has just begun and is rejected now. */
        void cancelIfRejected() {
            boolean hasJustBegun =
                    runStartedMs == Long.MAX_VALUE || nowMs - runStartedMs < Quarantine.TRIAL_MS;
            if (!isDone
                    && hasJustBegun
                    && quarantine().sendRule(content, nowMs) == SendRule.REJECT) {
                servers.forEach(s -> s.runs.remove(this));
                endTrial();
                reject();
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
            for (ContentId id : crashing()) {
                sendsMs.computeIfAbsent(id, c -> new ArrayList<>()).add(nowMs);
            }
            if (sendCount == 1 && hasWaited && isSound()) {
                sound.recordDelay(nowMs - receivedMs);
            }
            isOnTrial = quarantine().beginTrial(content, nowMs);
            broadcast(router);
            server.runs.add(this);
            int send = sendCount;
            int prefillMs = minPrefillMs + random.nextInt(maxPrefillMs - minPrefillMs);
            schedule(prefillMs, () -> beginRun(server, send));
        }

        private boolean isRunningAt(Server server, int send) {
            return !isDone && sendCount == send && server.runs.contains(this);
        }

        private void beginRun(Server server, int send) {
            if (!isRunningAt(server, send)) {
                return;
            }
            runStartedMs = nowMs;
            if (!isSound()) {
                schedule(CRASH_MS, () -> crash(server, send));
                return;
            }
            schedule(Quarantine.TRIAL_MS, () -> recordSuccess(server, send));
            schedule(RUN_MS, () -> finish(server, send));
        }

        private void crash(Server server, int send) {
            if (isRunningAt(server, send)) {
                for (ContentId id : crashing()) {
                    crashesMs.computeIfAbsent(id, c -> new ArrayList<>()).add(nowMs);
                }
                endServer(server);
            }
        }

        private void recordSuccess(Server server, int send) {
            if (isRunningAt(server, send)) {
                handleChanges(router, quarantine().recordSuccess(content, runStartedMs, nowMs));
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
                quarantine().endTrial(content);
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
            quarantine().beginInquiry(content, nowMs);
            schedule(
                    INQUIRY_MS,
                    () -> {
                        quarantine().endInquiry(content);
                        handleChanges(router, quarantine().recordLoss(content, loss, nowMs));
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
        if (harmful) {
            crashingIds.add(content);
        }
        submit(RequestContent.of(content));
    }

    /** Submits a request at any router. */
    void submit(RequestContent content) {
        submittedCount++;
        Submission submission = new Submission(random.nextInt(routers.size()), content);
        if (submission.isSound()) {
            sound.recordSubmission();
        }
        submission.trySend();
    }

    /** Sets the range of the time from a send to the begin of the run, in ms. */
    void setPrefillMs(int minMs, int maxMs) {
        minPrefillMs = minMs;
        maxPrefillMs = maxMs;
    }

    /** From now on each request with {@code id} crashes its server. */
    void makeCrashing(ContentId id) {
        crashingIds.add(id);
    }

    /** Cuts off a router from all others for {@code ms}; then its links are restored. */
    void cutOff(int router, long ms) {
        cutOffRouters.add(router);
        schedule(
                ms,
                () -> {
                    cutOffRouters.remove(router);
                    for (int peer = 0; peer < routers.size(); peer++) {
                        restoreLink(router, peer);
                        restoreLink(peer, router);
                    }
                });
    }

    private void restoreLink(int from, int to) {
        if (from != to) {
            handleUpdates(from, to, routers.get(from).snapshot(nowMs));
        }
    }

    /** Ends all routers with their requests; new ones read what the store holds. */
    void restartRouters() {
        for (int i = 0; i < routers.size(); i++) {
            Quarantine fresh = Quarantine.create(RouterId.of("r" + i), 3_600_000);
            store.values().forEach(r -> fresh.restore(r, nowMs));
            routers.set(i, fresh);
        }
        servers.forEach(s -> s.runs.forEach(r -> r.isDone = true));
        servers.forEach(s -> s.runs.clear());
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

    /** Sends the changes of a router to the others, saves them and ends what it rejects now. */
    private void handleChanges(int router, Map<ContentId, Change> changes) {
        broadcast(router);
        cancelRejected(router);
        changes.forEach(
                (id, change) -> {
                    if (change != Change.NONE) {
                        routers.get(router).record(id).ifPresent(this::save);
                    }
                });
    }

    /** Does what the store of the routers does with a record. */
    private void save(CrashRecord record) {
        if (record.countedLosses().isEmpty()) {
            store.remove(record.content());
        } else if (record.losses().size() >= 2) {
            store.put(record.content(), record);
        }
    }

    private void cancelRejected(int router) {
        servers.stream()
                .flatMap(s -> List.copyOf(s.runs).stream())
                .filter(r -> r.router == router)
                .forEach(Submission::cancelIfRejected);
    }

    private void broadcast(int router) {
        if (!routers.get(router).hasUpdates()) {
            return;
        }
        schedule(
                BATCH_MS,
                () -> {
                    List<ContentUpdate> updates = routers.get(router).drainUpdates(nowMs);
                    updateCount += updates.size();
                    for (int peer = 0; peer < routers.size() && !updates.isEmpty(); peer++) {
                        broadcast(router, peer, updates);
                    }
                });
    }

    private void broadcast(int router, int peer, List<ContentUpdate> updates) {
        if (peer == router || cutOffRouters.contains(router) || cutOffRouters.contains(peer)) {
            return;
        }
        messageCount++;
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
        cancelRejected(peer);
        broadcast(peer);
    }

    /** Returns the number of servers that {@code content} crashed. */
    int crashCount(ContentId content) {
        return crashesMs.getOrDefault(content, List.of()).size();
    }

    /**
     * Returns how often {@code content} was sent more than {@code afterMs} after its third crash.
     */
    long sendsAfterThirdCrash(ContentId content, long afterMs) {
        return sendsAfterCrash(content, Quarantine.CRASH_LIMIT, afterMs);
    }

    /**
     * Returns how often requests with {@code id} were sent more than {@code afterMs} after crash
     * {@code number} of it.
     */
    long sendsAfterCrash(ContentId id, int number, long afterMs) {
        List<Long> ends = crashesMs.getOrDefault(id, List.of());
        return ends.size() < number
                ? 0
                : sendsMs.get(id).stream().filter(s -> s > ends.get(number - 1) + afterMs).count();
    }

    /**
     * Returns how often {@code content} was sent before all routers had received its first crash.
     */
    long sendsBeforeFirstUpdate(ContentId content) {
        long firstMs = crashesMs.get(content).get(0);
        return sendsMs.get(content).stream().filter(s -> s <= firstMs + MAX_UPDATE_MS).count();
    }

    SoundRequestCounts sound() {
        return sound;
    }

    /** Returns the number of messages between routers. */
    long messageCount() {
        return messageCount;
    }

    /** Returns the number of updates of one id in all broadcasts. */
    long updateCount() {
        return updateCount;
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
