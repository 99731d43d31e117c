package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.function.Consumer;
import org.masticweir.id.RequestId;
import org.masticweir.time.Clock;

/** Carries out what one {@link CopyLookup} decides; owned by the asking request's thread. */
public final class LookupDriver {
    private final CopyLookup lookup;
    private final RequestId request;
    private final CopyLinks links;
    private final RequestThread thread;
    private final Clock clock;
    private final Consumer<LookupAction> outcome;
    private final WakeUp wakeUp;

    private LookupDriver(
            CopyLookup lookup,
            RequestId request,
            CopyLinks links,
            RequestThread thread,
            Clock clock,
            Consumer<LookupAction> outcome) {
        this.lookup = checkNotNull(lookup, "lookup");
        this.request = checkNotNull(request, "request");
        this.links = checkNotNull(links, "links");
        this.thread = checkNotNull(thread, "thread");
        this.clock = checkNotNull(clock, "clock");
        this.outcome = checkNotNull(outcome, "outcome");
        wakeUp = new WakeUp(thread, clock, () -> on(new LookupEvent.Tick()));
    }

    /**
     * Returns the driver of {@code lookup}.
     *
     * @param outcome takes the one last action: Following, TakenOver or NotFound
     */
    public static LookupDriver of(
            CopyLookup lookup,
            RequestId request,
            CopyLinks links,
            RequestThread thread,
            Clock clock,
            Consumer<LookupAction> outcome) {
        return new LookupDriver(lookup, request, links, thread, clock, outcome);
    }

    /** Starts the lookup; call once, on the thread given. */
    public void start() {
        run(lookup.start(clock.nowMs()));
    }

    private void on(LookupEvent event) {
        run(lookup.on(event, clock.nowMs()));
    }

    private void run(List<LookupAction> actions) {
        if (lookup.done()) {
            wakeUp.cancel();
        }
        for (LookupAction action : actions) {
            carryOut(action);
        }
    }

    private void carryOut(LookupAction action) {
        if (action instanceof LookupAction.WakeAt wake) {
            wakeUp.at(wake.atMs());
        } else if (action instanceof LookupAction.Following
                || action instanceof LookupAction.TakenOver
                || action instanceof LookupAction.NotFound) {
            outcome.accept(action);
        } else {
            links.carryOut(request, action, event -> thread.execute(() -> on(event)));
        }
    }
}
