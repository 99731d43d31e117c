package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Supplier;
import org.masticweir.claims.ClaimCommands;
import org.masticweir.engine.EngineClient;
import org.masticweir.http.HttpCaller;
import org.masticweir.routing.EngineChooser;
import org.masticweir.routing.InFlight;
import org.masticweir.time.Clock;

/** What every request of a router shares; all of it is thread-safe. */
public record ServingContext(
        Clock clock,
        Supplier<ServingView> view,
        ServingTuning tuning,
        RequestRegistry registry,
        EngineClient engines,
        HttpCaller calls,
        EngineChooser chooser,
        InFlight inFlight,
        GapBounds gaps,
        ClaimCommands claims,
        CopyContext copies,
        ServingPolicy policy,
        ServingObserver observer) {
    public ServingContext {
        checkNotNull(clock, "clock");
        checkNotNull(view, "view");
        checkNotNull(tuning, "tuning");
        checkNotNull(registry, "registry");
        checkNotNull(engines, "engines");
        checkNotNull(calls, "calls");
        checkNotNull(chooser, "chooser");
        checkNotNull(inFlight, "inFlight");
        checkNotNull(gaps, "gaps");
        checkNotNull(claims, "claims");
        checkNotNull(copies, "copies");
        checkNotNull(policy, "policy");
        checkNotNull(observer, "observer");
    }
}
