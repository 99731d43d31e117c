package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.catalog.ServerIncarnation;

/**
 * Sends requests to servers that leave, pause and refuse at random moments, with answers that
 * overtake each other and entries that lapse and come back.
 */
final class ServerNoticesPropertyTest {
    private static final int SERVERS = 4;
    private static final long DAY_MS = 20_000;

    /** Longest way of a request and of an answer, in ms. */
    private static final int WAY_MS = 100;

    /** Callers' requests reach servers that have told their router that they want none. */
    @Property(tries = 1_000, seed = "20261203")
    void nothingIsSentToAServerAgainstItsWord(@ForAll long seed) {
        World world = new World(new Random(seed));
        world.play();
        assertTrue(world.broken.isEmpty(), () -> world.broken.size() + ": " + world.broken);
    }

    /** A server is passed over for good though its pause is over. */
    @Property(tries = 200, seed = "20261203")
    void eachServerThatStaysIsUsedAgain(@ForAll long seed) {
        World world = new World(new Random(seed));
        world.play();
        world.settle();
        for (BackendServer server : world.forward.servers) {
            boolean used = world.sentSinceSettled.contains(server.incarnation());
            boolean left = world.leftAtMs.containsKey(server.incarnation());
            assertTrue(used || left, () -> server.incarnation() + " gets nothing");
        }
    }

    /** The schedules must reach what they are for; else the properties prove nothing. */
    @Example
    void schedulesReachLeavesPausesAndRefusals() {
        int leaves = 0;
        int pauses = 0;
        int refused = 0;
        for (int seed = 0; seed < 100; seed++) {
            World world = new World(new Random(seed));
            world.play();
            leaves += world.leftAtMs.size();
            pauses += world.pausedUntilMs.size();
            refused += world.refused;
        }
        assertTrue(leaves > 50 && pauses > 100 && refused > 100);
    }

    /** What a server says in one answer. */
    private record Answer(ServerIncarnation from, long atMs, boolean leaving, long pauseMs) {}

    /** One router and its servers. */
    private static final class World {
        private final Random random;
        private final ForwardWorld forward = new ForwardWorld().domain("a", SERVERS);
        private final PriorityQueue<Answer> onTheWay =
                new PriorityQueue<>((x, y) -> Long.compare(x.atMs(), y.atMs()));
        private final Set<ServerIncarnation> leaving = new HashSet<>();
        private final Map<ServerIncarnation, Long> wantsNothingUntilMs = new HashMap<>();

        /** What the router was told, by the test's own account. */
        private final Map<ServerIncarnation, Long> leftAtMs = new HashMap<>();

        private final Map<ServerIncarnation, Long> pausedUntilMs = new HashMap<>();
        private final List<String> broken = new ArrayList<>();
        private final Set<ServerIncarnation> sentSinceSettled = new HashSet<>();
        private boolean settled;
        private int refused;
        private long nowMs;

        World(Random random) {
            this.random = random;
        }

        void play() {
            while (nowMs < DAY_MS) {
                nowMs += 1 + random.nextInt(20);
                hear();
                change();
                send();
            }
        }

        /** No server changes its mind any more; all pauses run out. */
        void settle() {
            wantsNothingUntilMs.clear();
            settled = true;
            nowMs += ServerNotices.ABSENT_MS;
            for (int i = 0; i < 2_000; i++) {
                nowMs += 5;
                hear();
                send();
            }
        }

        private BackendServer any() {
            return forward.servers.get(random.nextInt(SERVERS));
        }

        private void change() {
            int what = random.nextInt(1_000);
            ServerIncarnation server = any().incarnation();
            if (what < 2) {
                leaving.add(server);
            } else if (what < 12) {
                wantsNothingUntilMs.put(server, nowMs + 200 + random.nextInt(3_000));
            } else if (what < 16) {
                forward.notices.updateListed(Set.of(), nowMs);
            } else if (what < 20) {
                forward.notices.updateListed(
                        forward.servers.stream()
                                .map(BackendServer::incarnation)
                                .collect(Collectors.toSet()),
                        nowMs);
            }
        }

        private void send() {
            RequestStateMachine course = forward.course(planNow());
            if (course.next(nowMs) instanceof Step.Send send) {
                judge(send.server().incarnation());
                answer(send.server().incarnation());
            }
            course.close();
        }

        private RequestParameters planNow() {
            RequestParameters plan = ForwardWorld.plan(Repeatability.MUTATING, 1);
            return ForwardWorld.at(plan, nowMs, nowMs + 1_500);
        }

        private void judge(ServerIncarnation server) {
            if (settled) {
                sentSinceSettled.add(server);
            }
            if (leftAtMs.containsKey(server)) {
                broken.add(server + " has left, sent to at " + nowMs);
            }
            if (nowMs < pausedUntilMs.getOrDefault(server, 0L)) {
                broken.add(server + " pauses, sent to at " + nowMs);
            }
        }

        private void answer(ServerIncarnation server) {
            long atMs = nowMs + 2 + random.nextInt(WAY_MS);
            long pauseMs = Math.max(0, wantsNothingUntilMs.getOrDefault(server, 0L) - nowMs);
            onTheWay.add(new Answer(server, atMs, leaving.contains(server), pauseMs));
        }

        private void hear() {
            while (!onTheWay.isEmpty() && onTheWay.peek().atMs() <= nowMs) {
                take(onTheWay.poll());
            }
        }

        private void take(Answer answer) {
            ServerIncarnation server = answer.from();
            if (answer.leaving()) {
                forward.notices.recordLeaving(server, nowMs);
                leftAtMs.putIfAbsent(server, nowMs);
            }
            if (answer.pauseMs() == 0) {
                forward.health.recordAnswer(server, nowMs);
                return;
            }
            refused++;
            forward.health.recordRefusal(server, nowMs);
            // One refusal in four asks for no pause.
            if (random.nextInt(4) > 0) {
                forward.notices.recordPause(server, answer.pauseMs(), nowMs);
                pausedUntilMs.merge(server, nowMs + answer.pauseMs(), Math::max);
            }
        }
    }
}
