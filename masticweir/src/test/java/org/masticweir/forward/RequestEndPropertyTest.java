package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.quarantine.SendRule;

/**
 * Ends of requests under random schedules: catalogs that move servers away and back, silences,
 * servers that end, refuse or break off, late turns, and decisions that never come. The simulation
 * does what the owner of the state machine does.
 */
class RequestEndPropertyTest {
    private static final long TIMEOUT_MS = 6_000;
    private static final int EVENTS = 60;
    private static final int EVENT_INTERVAL_MS = 20;
    private static final int MAX_DELAY_MS = 1_500;
    private static final int MAX_SILENCE_MS = 2_000;
    private static final int LAST_TURN_MS = 20_000;

    /** What the server of a send does. */
    private enum Fate {
        ANSWERS,
        FALLS_SILENT,
        BREAKS_OFF,
        REFUSES
    }

    /** How the last send ended. */
    private enum SendEnd {
        NONE,
        LOST,
        REFUSED
    }

    /** One request, from the moment when it was read whole. */
    private static final class Simulation implements ContentPolicy {
        private final SplittableRandom random;
        private final ForwardFixture fixture = new ForwardFixture().domain("a", 2).domain("b", 2);
        private final SilenceTimeouts timeouts = SilenceTimeouts.create();
        private final RequestParameters params;
        private final RequestStateMachine machine;
        private Optional<Step.Send> send = Optional.empty();
        private Optional<Step> pendingPermit = Optional.empty();
        private OptionalLong wakeMs = OptionalLong.empty();
        private SilenceTimer silence;
        private LoadEntry load;
        private Fate fate;
        private int fateAtEvent;
        private long silentUntilMs;
        private long nextEventMs;
        private int eventCount;
        private int runCount;
        private boolean isFirstOfSend;
        private int endCount;
        private boolean isCut;
        private int keptCount;
        private int moveCount;
        private SendEnd lastSendEnd = SendEnd.NONE;
        private SendRule rule = SendRule.ANY_SERVER;
        private long now;

        Simulation(long seed) {
            random = new SplittableRandom(seed);
            Repeatability repeatability =
                    random.nextInt(4) > 0
                            ? Repeatability.RESUMABLE
                            : randomOf(Repeatability.values());
            RequestParameters usual =
                    ForwardFixture.parameters(repeatability, 1 + random.nextInt(4));
            params = ForwardFixture.at(usual, 0, TIMEOUT_MS);
            machine = fixture.stateMachine(params, this);
        }

        private <T> T randomOf(T[] values) {
            return values[random.nextInt(values.length)];
        }

        @Override
        public SendRule rule(long nowMs) {
            return rule;
        }

        @Override
        public OptionalLong remainingQuarantineMs(long nowMs) {
            return OptionalLong.empty();
        }

        void run() {
            execute(machine.next(now));
            while (endCount == 0 && now < LAST_TURN_MS) {
                now += 1 + random.nextInt(random.nextInt(25) == 0 ? MAX_DELAY_MS : 30);
                disturb();
                turn();
            }
        }

        /** Changes the catalog, the quarantine or the budget. */
        private void disturb() {
            switch (random.nextInt(40)) {
                case 0 -> fixture.servers.clear();
                case 1 -> {
                    if (!fixture.servers.isEmpty()) {
                        fixture.servers.remove(random.nextInt(fixture.servers.size()));
                    }
                }
                case 2 -> {
                    if (fixture.servers.size() < 4) {
                        fixture.domain("c" + now, 1);
                    }
                }
                case 3 -> rule = randomOf(SendRule.values());
                case 4 -> {
                    while (fixture.retryBudgets.tryRetry(ForwardFixture.SERVICE, now)) {
                        // Exhausts the retries that the router's own requests allow.
                    }
                }
                default -> rule = SendRule.ANY_SERVER;
            }
        }

        private void turn() {
            if (now >= params.expiresMs()) {
                end(machine.endAtDeadline());
            } else if (send.isPresent()) {
                turnOfSend();
            } else if (pendingPermit.isPresent()) {
                decidePermit();
            } else if (wakeMs.isPresent() && now >= wakeMs.getAsLong()) {
                wakeMs = OptionalLong.empty();
                execute(machine.next(now));
            }
        }

        private void decidePermit() {
            if (random.nextInt(4) > 0) {
                return;
            }
            Step permit = pendingPermit.get();
            pendingPermit = Optional.empty();
            boolean granted = random.nextBoolean();
            execute(
                    permit instanceof Step.AcquirePermit p
                            ? machine.onPermitDecision(p.server(), granted, now)
                            : machine.onRetryDecision(granted, now));
        }

        private void execute(Step step) {
            if (step instanceof Step.Send next) {
                beginSend(next);
            } else if (step instanceof Step.Wait wait) {
                wakeMs = OptionalLong.of(now + wait.delayMs());
            } else if (step instanceof Step.End end) {
                end(end);
            } else {
                pendingPermit = Optional.of(step);
            }
        }

        private void beginSend(Step.Send next) {
            send = Optional.of(next);
            isFirstOfSend = true;
            runCount++;
            load = LoadEntry.open(fixture.loads, next, params.size());
            silence = SilenceTimer.of(next, params, fixture.loads, timeouts, now);
            drawFate();
            silentUntilMs = 0;
            nextEventMs = now + 1 + random.nextInt(300);
        }

        private void drawFate() {
            fate = random.nextBoolean() ? Fate.FALLS_SILENT : randomOf(Fate.values());
            fateAtEvent = eventCount + random.nextInt(EVENTS);
        }

        private void turnOfSend() {
            while (send.isPresent() && now >= nextEventMs && now >= silentUntilMs) {
                emit();
            }
            boolean isStream = params.route().streams();
            if (send.isPresent() && isStream && silence.needsAction(fixture.health, now)) {
                checkSilent();
            }
        }

        private void emit() {
            if (fate == Fate.REFUSES && isFirstOfSend) {
                runCount--;
                lastSendEnd = SendEnd.REFUSED;
                closeSend();
                execute(machine.onRefused(now));
            } else if (fate == Fate.BREAKS_OFF && eventCount >= fateAtEvent) {
                lose(silence.server());
            } else if (fate == Fate.FALLS_SILENT && eventCount >= fateAtEvent) {
                drawFate();
                silentUntilMs = now + random.nextInt(MAX_SILENCE_MS);
            } else if (!params.route().streams() || eventCount >= EVENTS) {
                endCount++;
                closeSend();
            } else {
                eventCount++;
                isFirstOfSend = false;
                nextEventMs += EVENT_INTERVAL_MS;
                fixture.health.recordAnswer(silence.server().incarnation(), now);
                silence.recordEvent(now);
                machine.onEvent(eventCount);
            }
        }

        private void checkSilent() {
            BackendServer server = silence.server();
            boolean isProbeAnswered = !silence.isEventDue() && random.nextBoolean();
            if (isProbeAnswered) {
                silence.restart(now);
                return;
            }
            machine.onSilence(server, now);
            Relocation relocation = machine.relocation(server, now);
            if (relocation.isPossible()) {
                moveCount++;
                closeSend();
                Step next = machine.onSendLost(server, now);
                assertInstanceOf(Step.Send.class, next, "a silent server was given up for nothing");
                execute(next);
            } else if (!fixture.servers.contains(server)) {
                lose(server);
            } else {
                keptCount++;
                silence.keep(now);
                relocation
                        .neededPermit()
                        .ifPresent(p -> machine.onRelocationPermit(p, random.nextBoolean(), now));
            }
        }

        private void lose(BackendServer server) {
            lastSendEnd = SendEnd.LOST;
            closeSend();
            execute(machine.onSendLost(server, now));
        }

        private void closeSend() {
            send = Optional.empty();
            load.close();
        }

        private void end(Step.End end) {
            endCount++;
            isCut = eventCount > 0;
            if (send.isPresent()) {
                closeSend();
            }
        }
    }

    /**
     * Requests that nobody ended, and answers that were cut though nothing had happened to them.
     */
    @Property(tries = 1_500, seed = "51")
    void eachRequestEndsOnceAndNoneForSilence(@ForAll long seed) {
        Simulation request = new Simulation(seed);
        request.run();
        assertEquals(1, request.endCount);
        Statistics.label("silences").collect(request.keptCount > 0 ? "kept" : "none kept");
        Statistics.label("moves").collect(request.moveCount > 0 ? "moved" : "not moved");
        Statistics.label("ends").collect(request.isCut ? "cut" : "not cut");
        boolean isExpired = request.now >= TIMEOUT_MS;
        boolean hasServerFailed = request.lastSendEnd != SendEnd.NONE;
        assertTrue(!request.isCut || isExpired || hasServerFailed, "cut without a reason");
        boolean mayRunAgain = request.params.route().repeatability().mayRunAgain();
        assertTrue(mayRunAgain || request.runCount <= 1, "ran " + request.runCount + " times");
    }
}
