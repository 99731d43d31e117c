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
import org.masticweir.quarantine.Quarantine.News;

/**
 * Routers that share a quarantine, and servers that end and start again, on a clock of their own.
 * Words of routers come late, some twice and some only when a link is up again.
 */
final class QuarantineFleet {
    /** Time by which each router has heard of an end, in ms; its link may have to come up first. */
    static final long WORD_MS = 550;

    private static final long GATHER_MS = 5;
    private static final int MOST_DELAY_MS = 20;
    private static final long LINK_AGAIN_MS = 500;
    private static final long INQUIRY_MS = 3;
    private static final long HOLD_MS = 10;
    private static final long PATIENCE_MS = 2_250;
    private static final int READ_MS = 1_000;
    private static final long RUN_MS = 5_000;
    private static final long CRASH_MS = 80;
    private static final long RESTART_MS = 4_000;
    private static final int ATTEMPTS = 5;

    /** Servers that a domain has. */
    static final int DOMAIN = 5;

    private final Random random;
    private final List<Quarantine> routers = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long nowMs;
    private int number;

    private final Map<ContentId, List<Long>> endsMs = new HashMap<>();
    private final Map<ContentId, List<Long>> sendsMs = new HashMap<>();
    private int submitted;
    private int answered;
    private int held;

    private record Due(long atMs, int number, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return atMs == other.atMs
                    ? Integer.compare(number, other.number)
                    : Long.compare(atMs, other.atMs);
        }
    }

    private static final class Server {
        private final int index;
        private final List<Run> runs = new ArrayList<>();
        private long startedMs = 1;
        private boolean up = true;

        Server(int index) {
            this.index = index;
        }

        ServerIncarnation life() {
            return ServerIncarnation.of(EngineId.of("i-" + index), startedMs);
        }
    }

    /** One submission. */
    private final class Run {
        private final int router;
        private final ContentId content;
        private final boolean harmful;
        private final long receivedMs = nowMs;
        private int sends;
        private long sentMs;
        private long beganMs;
        private boolean onTrial;
        private boolean over;

        Run(int router, ContentId content, boolean harmful) {
            this.router = router;
            this.content = content;
            this.harmful = harmful;
        }

        private Quarantine quarantine() {
            return routers.get(router);
        }

        void next() {
            SendRule rule = quarantine().rule(content, nowMs);
            Optional<Server> server = server(rule);
            if (rule == SendRule.REJECT) {
                held++;
                over = true;
            } else if (sends >= ATTEMPTS || nowMs - receivedMs > PATIENCE_MS && sends == 0) {
                over = true;
            } else if (rule == SendRule.WAIT || server.isEmpty()) {
                in(HOLD_MS, this::next);
            } else {
                send(server.get());
            }
        }

        private Optional<Server> server(SendRule rule) {
            List<Server> up = servers.stream().filter(s -> s.up).toList();
            if (up.isEmpty()) {
                return Optional.empty();
            }
            return rule == SendRule.LEAST_LOADED
                    ? up.stream().min((a, b) -> a.runs.size() - b.runs.size())
                    : Optional.of(up.get(random.nextInt(up.size())));
        }

        private void send(Server server) {
            sends++;
            sentMs = nowMs;
            beganMs = Long.MAX_VALUE;
            sendsMs.computeIfAbsent(content, c -> new ArrayList<>()).add(nowMs);
            onTrial = quarantine().trialBegins(content, nowMs);
            tell(router);
            server.runs.add(this);
            int send = sends;
            in(READ_MS + random.nextInt(READ_MS), () -> begins(server, send));
        }

        private boolean isAt(Server server, int send) {
            return !over && sends == send && server.runs.contains(this);
        }

        private void begins(Server server, int send) {
            if (!isAt(server, send)) {
                return;
            }
            beganMs = nowMs;
            if (harmful) {
                in(CRASH_MS, () -> crash(server, send));
                return;
            }
            in(Quarantine.TRIAL_MS, () -> runsWell(server, send));
            in(RUN_MS, () -> ends(server, send));
        }

        private void crash(Server server, int send) {
            if (isAt(server, send)) {
                endsMs.computeIfAbsent(content, c -> new ArrayList<>()).add(nowMs);
                endServer(server);
            }
        }

        private void runsWell(Server server, int send) {
            if (isAt(server, send)) {
                quarantine().ranWell(content, nowMs);
                tell(router);
            }
        }

        private void ends(Server server, int send) {
            if (isAt(server, send)) {
                runsWell(server, send);
                server.runs.remove(this);
                leave();
                over = true;
                answered++;
            }
        }

        private void leave() {
            if (onTrial) {
                onTrial = false;
                quarantine().trialEnded(content);
                tell(router);
            }
        }

        void lost(ServerIncarnation life) {
            leave();
            if (nowMs - beganMs >= Quarantine.TRIAL_MS) {
                next();
                return;
            }
            Loss loss = new Loss(life, sentMs, nowMs);
            quarantine().inquiryBegins(content, nowMs);
            in(
                    INQUIRY_MS,
                    () -> {
                        quarantine().inquiryEnded(content);
                        quarantine().ended(content, loss, nowMs);
                        tell(router);
                    });
            next();
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

    void in(long ms, Runnable what) {
        due.add(new Due(nowMs + ms, number++, what));
    }

    /** Does {@code what} each {@code gapMs} until {@code untilMs}. */
    void each(long gapMs, long untilMs, Runnable what) {
        for (long at = gapMs; at <= untilMs; at += gapMs) {
            in(at, what);
        }
    }

    void runUntil(long untilMs) {
        while (!due.isEmpty() && due.peek().atMs() <= untilMs) {
            Due next = due.poll();
            nowMs = next.atMs();
            next.what().run();
        }
    }

    void submit(ContentId content, boolean harmful) {
        submitted++;
        new Run(random.nextInt(routers.size()), content, harmful).next();
    }

    /** Ends the servers of one domain at one moment. */
    void endDomain(int domain) {
        servers.stream().filter(s -> s.index / DOMAIN == domain).forEach(this::endServer);
    }

    void endAnyServer() {
        endServer(servers.get(random.nextInt(servers.size())));
    }

    private void endServer(Server server) {
        if (!server.up) {
            return;
        }
        server.up = false;
        ServerIncarnation life = server.life();
        List<Run> lost = List.copyOf(server.runs);
        server.runs.clear();
        lost.forEach(r -> r.lost(life));
        in(
                RESTART_MS,
                () -> {
                    server.startedMs = nowMs;
                    server.up = true;
                });
    }

    private void tell(int router) {
        if (!routers.get(router).hasNews()) {
            return;
        }
        in(
                GATHER_MS,
                () -> {
                    List<News> news = routers.get(router).takeNews(nowMs);
                    for (int peer = 0; peer < routers.size() && !news.isEmpty(); peer++) {
                        tell(router, peer, news);
                    }
                });
    }

    private void tell(int router, int peer, List<News> news) {
        if (peer == router) {
            return;
        }
        boolean linkDown = random.nextInt(50) == 0;
        if (linkDown) {
            in(LINK_AGAIN_MS, () -> take(router, peer, routers.get(router).all(nowMs)));
            return;
        }
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            in(1 + random.nextInt(MOST_DELAY_MS), () -> take(router, peer, news));
        }
    }

    private void take(int router, int peer, List<News> news) {
        news.forEach(n -> routers.get(peer).told(RouterId.of("r" + router), n, nowMs));
    }

    /** Returns how many servers ended under {@code content}. */
    int ended(ContentId content) {
        return endsMs.getOrDefault(content, List.of()).size();
    }

    /**
     * Returns how often {@code content} was sent later than {@code afterMs} after its third end.
     */
    long sentAfterThird(ContentId content, long afterMs) {
        List<Long> ends = endsMs.getOrDefault(content, List.of());
        return ends.size() < Quarantine.LIMIT
                ? 0
                : sendsMs.get(content).stream()
                        .filter(s -> s > ends.get(Quarantine.LIMIT - 1) + afterMs)
                        .count();
    }

    /**
     * Returns how often {@code content} was sent before all routers could know of its first end.
     */
    long sentUnknowing(ContentId content) {
        long firstMs = endsMs.get(content).get(0);
        return sendsMs.get(content).stream().filter(s -> s <= firstMs + WORD_MS).count();
    }

    int submitted() {
        return submitted;
    }

    int answered() {
        return answered;
    }

    /** Returns how many submissions ended as their content was held. */
    int held() {
        return held;
    }
}
