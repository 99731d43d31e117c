package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.OptionalInt;
import org.masticweir.standins.http.Pause;
import org.masticweir.time.Clock;

/** The faults an engine plays just now; set by the control interface, thread-safe. */
final class Faults {
    private final Clock clock;
    private final Pause pause;
    private volatile double slowFactor = 1;
    private volatile WrongResume wrongResume = WrongResume.NONE;
    private volatile boolean ignoreFencing;
    private volatile long refuseEndMs;
    private volatile OptionalInt endOnToken = OptionalInt.empty();

    private Faults(Clock clock) {
        this.clock = checkNotNull(clock, "clock");
        this.pause = Pause.inactive(clock);
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
        control.endOnToken().ifPresent(token -> endOnToken = OptionalInt.of(token));
        control.pauseMs().ifPresent(pause::begin);
    }

    private void slowDown(double factor) {
        checkArgument(factor > 0, "slow_factor %s", factor);
        slowFactor = factor;
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
        return endOnToken.isPresent() && prompt.contains(endOnToken.getAsInt());
    }

    /** Returns how long the engine goes on refusing work, 0 when it takes work. */
    long refusingForMs() {
        return Math.max(0, refuseEndMs - clock.nowMs());
    }
}
