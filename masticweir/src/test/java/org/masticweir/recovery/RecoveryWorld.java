package org.masticweir.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.primitives.ImmutableIntArray;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;
import org.masticweir.time.ManualClock;

/**
 * One request's machine, three engines and the network between, moved on by a number per step.
 *
 * <p>What is in flight either way waits in a list from which the steps pick in any order. Whatever
 * the machine asks for is checked against what really happened at the engines.
 */
final class RecoveryWorld {
    static final int MAX_ATTEMPTS = 4;
    static final int STEP_KINDS = 16;
    private static final int ENGINES = 3;
    private static final int FAULT_KINDS = 5;
    private static final long BOUND_MS = 100;
    private static final long DEADLINE_MS = 4_000;
    private static final long NO_ENGINE_WAIT_MS = 500;
    private static final int SHOWN_TOKENS = 4;
    private static final int LAST_ATTEMPT = 3;
    private static final int MAX_WAKE_UPS = 1_000;

    /** From what the machine starts. */
    enum Origin {
        CALLER,
        WHOLE_COPY,
        PARTIAL_COPY
    }

    /** What is fixed for one run of the world. */
    record Plan(Origin origin, boolean idempotent, boolean allowReset, RecoveryPreset preset) {}

    private final ManualClock clock = ManualClock.startingAt(0);
    private final TokenOrigins origins = new TokenOrigins();
    private final List<RecoveryEvent> events = new ArrayList<>();
    private final List<RecoveryAction> calls = new ArrayList<>();
    private final List<RecoveryAction.ChooseEngine> choices = new ArrayList<>();
    private final List<FakeEngine> engines = new ArrayList<>();
    private final List<Integer> shown = new ArrayList<>();
    private final List<Integer> released = new ArrayList<>();
    private final List<Integer> plain = new ArrayList<>();
    private final Plan plan;
    private final RecoveryMachine machine;
    private final SendLedger sends;
    private GenerationId generation = GenerationId.of(RequestId.of("r"), 1);
    private OptionalLong wakeAt = OptionalLong.empty();
    private Optional<EngineId> abandoned = Optional.empty();
    private Optional<MasticweirException> error = Optional.empty();
    private boolean finished;
    private boolean plainBroken;
    private int resets;
    private int attemptsInVain;

    RecoveryWorld(Plan plan) {
        this.plan = plan;
        sends = new SendLedger(plan.idempotent(), plan.origin() != Origin.CALLER);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new FakeEngine(EngineId.of("e" + i), origins, events::add));
        }
        machine = plan.origin() == Origin.CALLER ? fresh() : takenOver();
        apply(machine.start(clock.nowMs()));
    }

    private RecoveryMachine fresh() {
        return RecoveryMachine.of(recoveryPlan(), (engine, first) -> BOUND_MS);
    }

    /** The first engine has run on since the copy was made; the lost router showed four tokens. */
    private RecoveryMachine takenOver() {
        FakeEngine on = engines.get(0);
        AttemptId last = AttemptId.of(generation, LAST_ATTEMPT);
        on.send(last, List.of());
        on.compute(SHOWN_TOKENS);
        on.flush();
        Frame.Tokens frame = (Frame.Tokens) ((RecoveryEvent.Received) events.get(1)).frame();
        events.clear();
        shown.addAll(frame.tokens().asList());
        boolean whole = plan.origin() == Origin.WHOLE_COPY;
        int copied = whole ? SHOWN_TOKENS : SHOWN_TOKENS / 2;
        released.addAll(shown.subList(0, copied));
        return RecoveryMachine.takenOver(
                recoveryPlan(), (engine, first) -> BOUND_MS, last, on.id(), copied, whole);
    }

    private RecoveryPlan recoveryPlan() {
        return new RecoveryPlan(
                generation,
                plan.idempotent(),
                plan.allowReset(),
                plan.preset(),
                DEADLINE_MS,
                MAX_ATTEMPTS,
                NO_ENGINE_WAIT_MS);
    }

    Optional<ErrorCode> errorCode() {
        return error.map(MasticweirException::code);
    }

    boolean finished() {
        return finished;
    }

    int resets() {
        return resets;
    }

    /**
     * Tells whether a reader that takes every frame as it comes would have shown a wrong answer.
     */
    boolean plainReaderFails() {
        return plainBroken;
    }

    /** Does one of {@link #STEP_KINDS} things, to whom {@code choice} says. */
    void step(int choice) {
        int to = choice / STEP_KINDS;
        switch (choice % STEP_KINDS) {
            case 0, 1, 2, 3 -> deliverEvent(to, false);
            case 4 -> deliverEvent(to, true);
            case 5, 6, 7 -> deliverCall(to);
            case 8 -> engine(to).compute(1 + to % 3);
            case 9, 10 -> engine(to).flush();
            case 11 -> pass(1 + to % 8 * BOUND_MS / 2);
            case 12 -> cut(to);
            case 13 -> engine(to).fault(to / ENGINES % FAULT_KINDS);
            case 14 -> refuseOrCancel(to);
            default -> choose(to);
        }
    }

    private FakeEngine engine(int number) {
        return engines.get(number % ENGINES);
    }

    private FakeEngine engine(EngineId id) {
        return engines.stream().filter(e -> e.id().equals(id)).findFirst().orElseThrow();
    }

    private void deliverEvent(int which, boolean again) {
        if (events.isEmpty()) {
            return;
        }
        int at = which % events.size();
        feed(again ? events.get(at) : events.remove(at));
    }

    private void deliverCall(int which) {
        if (calls.isEmpty()) {
            return;
        }
        RecoveryAction call = calls.get(which % calls.size());
        FakeEngine to = engine(engineOf(call));
        if (to.paused()) {
            return;
        }
        calls.remove(call);
        if (call instanceof RecoveryAction.Send send) {
            to.send(send.attempt(), sends.prefixOf(send.attempt()));
        } else if (call instanceof RecoveryAction.Reread reread) {
            to.reread(reread.attempt(), reread.from());
        } else if (call instanceof RecoveryAction.Probe probe) {
            to.probe(probe.attempt());
        } else if (call instanceof RecoveryAction.Abandon abandon) {
            to.cancel(abandon.attempt());
        }
    }

    private static EngineId engineOf(RecoveryAction call) {
        if (call instanceof RecoveryAction.Send send) {
            return send.engine();
        } else if (call instanceof RecoveryAction.Reread reread) {
            return reread.engine();
        } else if (call instanceof RecoveryAction.Probe probe) {
            return probe.engine();
        }
        return ((RecoveryAction.Abandon) call).engine();
    }

    /** Cuts the link under a call: it never leaves, or may still arrive; or under a stream. */
    private void cut(int which) {
        if (!calls.isEmpty() && which % 2 == 0) {
            cutCall(calls.get(which / 2 % calls.size()), which / 2 % 3 == 0);
            return;
        }
        AttemptId current = machine.attempt();
        if (!sends.isUnderWay(current)) {
            return;
        }
        engines.forEach(e -> e.closeStream(current));
        events.add(new RecoveryEvent.LinkLost(current, true));
    }

    private void cutCall(RecoveryAction call, boolean neverLeft) {
        if (call instanceof RecoveryAction.Probe probe) {
            calls.remove(call);
            events.add(new RecoveryEvent.ProbeFailed(probe.attempt()));
        } else if (call instanceof RecoveryAction.Send send) {
            lose(call, send.attempt(), neverLeft);
        } else if (call instanceof RecoveryAction.Reread reread) {
            lose(call, reread.attempt(), neverLeft);
        } else {
            calls.remove(call);
        }
    }

    private void lose(RecoveryAction call, AttemptId attempt, boolean neverLeft) {
        if (neverLeft) {
            calls.remove(call);
        }
        events.add(new RecoveryEvent.LinkLost(attempt, !neverLeft));
    }

    /** Lets time pass up to the next wake-up, as choosing takes none. */
    private void pass(long ms) {
        if (!choices.isEmpty()) {
            return;
        }
        long untilMs = wakeAt.isEmpty() ? ms : Math.min(ms, wakeAt.getAsLong() - clock.nowMs());
        clock.advanceMs(Math.max(0, untilMs));
        if (wakeAt.isPresent() && clock.nowMs() >= wakeAt.getAsLong()) {
            wakeAt = OptionalLong.empty();
            feed(new RecoveryEvent.Tick());
        }
    }

    private void choose(int which) {
        if (choices.isEmpty()) {
            return;
        }
        RecoveryAction.ChooseEngine choice = choices.remove(which % choices.size());
        List<EngineId> free =
                engines.stream()
                        .map(FakeEngine::id)
                        .filter(id -> !choice.excluded().contains(id))
                        .toList();
        if (free.isEmpty()) {
            feed(new RecoveryEvent.NoEngine(false, BOUND_MS));
        } else {
            feed(new RecoveryEvent.EngineChosen(free.get(which % free.size())));
        }
    }

    private void refuseOrCancel(int which) {
        if (which % 61 == 60) {
            feed(new RecoveryEvent.Cancelled());
        } else if (!choices.isEmpty() && which % 3 == 0) {
            choices.remove(0);
            feed(new RecoveryEvent.NoEngine(which % 2 == 0, BOUND_MS));
        }
    }

    /** Lets the request run out of time, then delivers all that is still on its way. */
    void finish() {
        for (int i = 0; i < MAX_WAKE_UPS && !machine.done(); i++) {
            if (choices.isEmpty()) {
                pass(DEADLINE_MS);
            } else {
                choices.clear();
                feed(new RecoveryEvent.NoEngine(false, BOUND_MS));
            }
        }
        assertTrue(machine.done(), "no final outcome");
        engines.stream().filter(FakeEngine::paused).forEach(e -> e.fault(1));
        while (!calls.isEmpty()) {
            deliverCall(0);
        }
        while (!events.isEmpty()) {
            deliverEvent(0, false);
        }
        checkVerdict();
    }

    private void checkVerdict() {
        int admissions = engines.stream().mapToInt(FakeEngine::admissions).sum();
        error.ifPresent(e -> sends.checkVerdict(e.verdict(), admissions));
        assertTrue(plan.idempotent() || admissions <= 1, "ran " + admissions + " times");
    }

    private void feed(RecoveryEvent event) {
        boolean over = machine.done();
        sends.learn(event);
        readPlainly(event);
        List<RecoveryAction> actions = machine.on(event, clock.nowMs());
        assertFalse(over && !actions.isEmpty(), "after the final outcome: " + actions);
        boolean inTime = over || !machine.done() || clock.nowMs() <= DEADLINE_MS;
        assertTrue(inTime, "final outcome only at " + clock.nowMs());
        apply(actions);
    }

    private void readPlainly(RecoveryEvent event) {
        if (event instanceof RecoveryEvent.Received received
                && received.frame() instanceof Frame.Tokens tokens) {
            plainBroken |= tokens.index() != plain.size();
            plain.addAll(tokens.tokens().asList());
        }
    }

    private void apply(List<RecoveryAction> actions) {
        actions.forEach(this::apply);
        boolean wakes = wakeAt.isPresent() || !choices.isEmpty();
        assertTrue(machine.done() || wakes, "nothing will wake the request again");
    }

    private void apply(RecoveryAction action) {
        assertFalse(finished || error.isPresent(), "after the final outcome: " + action);
        if (action instanceof RecoveryAction.Release release) {
            release(release.from(), release.tokens());
        } else if (action instanceof RecoveryAction.ChooseEngine choice) {
            choices.add(choice);
        } else if (action instanceof RecoveryAction.WakeAt wake) {
            assertTrue(wake.atMs() <= DEADLINE_MS, "wakes after the deadline");
            wakeAt = OptionalLong.of(wake.atMs());
        } else if (action instanceof RecoveryAction.NewGeneration next) {
            reset(next);
        } else if (action instanceof RecoveryAction.Finish finish) {
            finished = true;
            assertEquals(TokenOrigins.ANSWER_TOKENS, finish.tokens());
            assertEquals(TokenOrigins.ANSWER_TOKENS, released.size());
        } else if (action instanceof RecoveryAction.Fail fail) {
            error = Optional.of(fail.error());
        } else {
            call(action);
        }
    }

    private void call(RecoveryAction action) {
        calls.add(action);
        if (action instanceof RecoveryAction.Abandon abandon) {
            abandoned = Optional.of(abandon.engine());
            return;
        }
        if (action instanceof RecoveryAction.Send send) {
            abandoned = Optional.empty();
            sends.send(send.attempt(), released.subList(0, send.prefix()));
        }
        assertFalse(
                abandoned.equals(Optional.of(engineOf(action))),
                "asks an engine that was told to stop: " + action);
        if (!(action instanceof RecoveryAction.Probe)) {
            attemptsInVain++;
            // The first attempt, and the one after a generation that was given up, come on top.
            assertTrue(attemptsInVain <= MAX_ATTEMPTS + 2, attemptsInVain + " attempts in vain");
        }
    }

    private void release(int from, ImmutableIntArray tokens) {
        attemptsInVain = 0;
        assertEquals(released.size(), from, "gap or repeat");
        for (int token : tokens.asList()) {
            origins.checkFollows(generation, released, token);
            if (released.size() < shown.size()) {
                assertEquals(shown.get(released.size()), token, "other than the callers have");
            }
            released.add(token);
        }
    }

    private void reset(RecoveryAction.NewGeneration next) {
        assertTrue(next.number() > generation.number(), "generation goes back");
        boolean silent = !released.isEmpty() || !shown.isEmpty();
        assertTrue(next.resetCaller() || !silent, "silent switch of generations");
        assertTrue(plan.allowReset() || !shown.isEmpty() || released.isEmpty(), "unwanted reset");
        generation = GenerationId.of(generation.request(), next.number());
        released.clear();
        shown.clear();
        resets++;
    }
}
