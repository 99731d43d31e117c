package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.masticweir.standins.http.Pause;
import org.masticweir.time.Clock;

/** The faults an engine plays just now; set by the control interface, thread-safe. */
final class Faults {
    private final Clock clock;
    private final Pause pause;
    private final Pause silence;
    private volatile double slowFactor = 1;
    private volatile WrongResume wrongResume = WrongResume.NONE;
    private volatile boolean ignoreFencing;
    private volatile long refuseEndMs;
    private volatile boolean unframed;
    private volatile Optional<List<Integer>> endOnPart = Optional.empty();

    private Faults(Clock clock) {
        this.clock = checkNotNull(clock, "clock");
        this.pause = Pause.inactive(clock);
        this.silence = Pause.inactive(clock);
        this.refuseEndMs = clock.nowMs();
    }

    static Faults none(Clock clock) {
        return new Faults(clock);
    }

    /** Takes over what {@code control} sets, but for the dropping of streams. */
    void apply(ControlRequest control) {
        control.slowFactor().ifPresent(this::slowDown);
        control.wrongResume().ifPresent(value -> wrongResume = value);
        control.ignoreFencing().ifPresent(value -> ignoreFencing = value);
        control.refuseMs().ifPresent(ms -> refuseEndMs = clock.nowMs() + ms);
        control.endOnPart().ifPresent(this::endOn);
        control.unframed().ifPresent(value -> unframed = value);
        control.silenceMs().ifPresent(silence::begin);
        control.pauseMs().ifPresent(pause::begin);
    }

    private void slowDown(double factor) {
        checkArgument(factor > 0, "slow_factor %s", factor);
        slowFactor = factor;
    }

    private void endOn(List<Integer> part) {
        checkArgument(!part.isEmpty(), "end_on_part is empty");
        endOnPart = Optional.of(List.copyOf(part));
    }

    /** Returns the time in which streams get nothing, while all else goes on. */
    Pause silence() {
        return silence;
    }

    /** Returns whether streams have neither a length nor chunks. */
    boolean unframed() {
        return unframed;
    }

    Pause pause() {
        return pause;
    }

    double slowFactor() {
        return slowFactor;
    }

    WrongResume wrongResume() {
        return wrongResume;
    }

    boolean ignoreFencing() {
        return ignoreFencing;
    }

    /** Returns whether the process ends as soon as it runs a request with {@code prompt}. */
    boolean endsOn(List<Integer> prompt) {
        return endOnPart.filter(p -> Collections.indexOfSubList(prompt, p) >= 0).isPresent();
    }

    /** Returns how long the engine goes on refusing work, 0 when it takes work. */
    long refusingForMs() {
        return Math.max(0, refuseEndMs - clock.nowMs());
    }
}
