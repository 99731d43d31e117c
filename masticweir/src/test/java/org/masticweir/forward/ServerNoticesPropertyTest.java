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
 * arrive out of order and entries that expire and reappear.
 */
final class ServerNoticesPropertyTest {
    private static final int SERVERS = 4;
    private static final long SIMULATION_MS = 20_000;

    /** Longest delay of a request and of an answer, in ms. */
    private static final int MAX_DELAY_MS = 100;

    /** The router must send no requests to servers that have announced leaving or a pause. */
    @Property(tries = 1_000, seed = "20261203")
    void nothingIsSentToLeavingOrPausingServers(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        simulation.run();
        assertTrue(
                simulation.violations.isEmpty(),
                () -> simulation.violations.size() + ": " + simulation.violations);
    }

    /** A server must not be excluded forever after its pause. */
    @Property(tries = 200, seed = "20261203")
    void eachServerIsUsedAgainAfterItsPause(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        simulation.run();
        simulation.settle();
        for (BackendServer server : simulation.forward.servers) {
            boolean used = simulation.sentSinceSettled.contains(server.incarnation());
            boolean left = simulation.leavingSinceMs.containsKey(server.incarnation());
            assertTrue(used || left, () -> server.incarnation() + " receives no requests");
        }
    }

    /**
     * The schedules must contain leaving servers, pauses and refusals; otherwise the properties
     * prove nothing.
     */
    @Example
    void schedulesReachLeavesPausesAndRefusals() {
        int leaves = 0;
        int pauses = 0;
        int refused = 0;
        for (int seed = 0; seed < 100; seed++) {
            Simulation simulation = new Simulation(new Random(seed));
            simulation.run();
            leaves += simulation.leavingSinceMs.size();
            pauses += simulation.pausedUntilMs.size();
            refused += simulation.refusalCount;
        }
        assertTrue(leaves > 50 && pauses > 100 && refused > 100);
    }

    /** Answer of a server with its leaving and pause notices. */
    private record Answer(ServerIncarnation from, long atMs, boolean leaving, long pauseMs) {}

    /** Simulation of one router and its servers. */
    private static final class Simulation {
        private final Random random;
        private final ForwardFixture forward = new ForwardFixture().domain("a", SERVERS);
        private final PriorityQueue<Answer> pendingAnswers =
                new PriorityQueue<>((x, y) -> Long.compare(x.atMs(), y.atMs()));
        private final Set<ServerIncarnation> leavingServers = new HashSet<>();
        private final Map<ServerIncarnation, Long> serverPausedUntilMs = new HashMap<>();

        /**
         * Times of the leaving announcements that the router has received, recorded independently
         * of the tested code.
         */
        private final Map<ServerIncarnation, Long> leavingSinceMs = new HashMap<>();

        private final Map<ServerIncarnation, Long> pausedUntilMs = new HashMap<>();
        private final List<String> violations = new ArrayList<>();
        private final Set<ServerIncarnation> sentSinceSettled = new HashSet<>();
        private boolean isSettled;
        private int refusalCount;
        private long nowMs;

        Simulation(Random random) {
            this.random = random;
        }

        void run() {
            while (nowMs < SIMULATION_MS) {
                nowMs += 1 + random.nextInt(20);
                deliverAnswers();
                changeRandomServer();
                send();
            }
        }

        /** Runs the simulation without further state changes until all pauses have expired. */
        void settle() {
            serverPausedUntilMs.clear();
            isSettled = true;
            nowMs += ServerNotices.MAX_ABSENCE_MS;
            for (int i = 0; i < 2_000; i++) {
                nowMs += 5;
                deliverAnswers();
                send();
            }
        }

        private BackendServer randomServer() {
            return forward.servers.get(random.nextInt(SERVERS));
        }

        private void changeRandomServer() {
            int event = random.nextInt(1_000);
            ServerIncarnation server = randomServer().incarnation();
            if (event < 2) {
                leavingServers.add(server);
            } else if (event < 12) {
                serverPausedUntilMs.put(server, nowMs + 200 + random.nextInt(3_000));
            } else if (event < 16) {
                forward.notices.updateListedServers(Set.of(), nowMs);
            } else if (event < 20) {
                forward.notices.updateListedServers(
                        forward.servers.stream()
                                .map(BackendServer::incarnation)
                                .collect(Collectors.toSet()),
                        nowMs);
            }
        }

        private void send() {
            RequestStateMachine machine = forward.stateMachine(parametersNow());
            if (machine.next(nowMs) instanceof Step.Send send) {
                checkSend(send.server().incarnation());
                answer(send.server().incarnation());
            }
            machine.close();
        }

        private RequestParameters parametersNow() {
            RequestParameters parameters = ForwardFixture.parameters(Repeatability.MUTATING, 1);
            return ForwardFixture.at(parameters, nowMs, nowMs + 1_500);
        }

        private void checkSend(ServerIncarnation server) {
            if (isSettled) {
                sentSinceSettled.add(server);
            }
            if (leavingSinceMs.containsKey(server)) {
                violations.add(server + " is leaving, but was sent a request at " + nowMs);
            }
            if (nowMs < pausedUntilMs.getOrDefault(server, 0L)) {
                violations.add(server + " pauses, but was sent a request at " + nowMs);
            }
        }

        private void answer(ServerIncarnation server) {
            long atMs = nowMs + 2 + random.nextInt(MAX_DELAY_MS);
            long pauseMs = Math.max(0, serverPausedUntilMs.getOrDefault(server, 0L) - nowMs);
            pendingAnswers.add(new Answer(server, atMs, leavingServers.contains(server), pauseMs));
        }

        private void deliverAnswers() {
            while (!pendingAnswers.isEmpty() && pendingAnswers.peek().atMs() <= nowMs) {
                deliver(pendingAnswers.poll());
            }
        }

        private void deliver(Answer answer) {
            ServerIncarnation server = answer.from();
            if (answer.leaving()) {
                forward.notices.recordLeaving(server, nowMs);
                leavingSinceMs.putIfAbsent(server, nowMs);
            }
            if (answer.pauseMs() == 0) {
                forward.health.recordAnswer(server, nowMs);
                return;
            }
            refusalCount++;
            forward.health.recordRefusal(server, nowMs);
            // One in four refusals announces no pause.
            if (random.nextInt(4) > 0) {
                forward.notices.recordPause(server, answer.pauseMs(), nowMs);
                pausedUntilMs.merge(server, nowMs + answer.pauseMs(), Math::max);
            }
        }
    }
}
