package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.Consumer;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.ActionLoop;
import org.masticweir.time.Clock;

/**
 * Carries out what one owned request's {@link CopySender} decides.
 *
 * <p>Commands go to their holder and wake-ups to the thread's timer; all other actions go to the
 * owner, which may feed events from within. Owned by the request's thread.
 */
public final class SenderDriver {
    private final CopySender sender;
    private final CopyLinks links;
    private final Clock clock;
    private final Consumer<CopyAction> owner;
    private final WakeUp wakeUp;
    private final ActionLoop<CopyAction> actions = ActionLoop.carryingOutBy(this::carryOut);
    private final Consumer<CopyEvent> events;
    private Optional<RouterId> watched = Optional.empty();
    private boolean closed;

    private SenderDriver(
            CopySender sender,
            CopyLinks links,
            RequestThread thread,
            Clock clock,
            Consumer<CopyAction> owner) {
        this.sender = checkNotNull(sender, "sender");
        this.links = checkNotNull(links, "links");
        checkNotNull(thread, "thread");
        this.clock = checkNotNull(clock, "clock");
        this.owner = checkNotNull(owner, "owner");
        events = event -> thread.execute(() -> on(event));
        wakeUp = new WakeUp(thread, clock, () -> on(new CopyEvent.Tick()));
    }

    /**
     * Returns the driver of {@code sender}.
     *
     * @param owner takes Start, Join, ReleaseTo, ReleaseEnd, Unprotected and Fenced
     */
    public static SenderDriver of(
            CopySender sender,
            CopyLinks links,
            RequestThread thread,
            Clock clock,
            Consumer<CopyAction> owner) {
        return new SenderDriver(sender, links, thread, clock, owner);
    }

    /** Starts copying; call once, on the request's thread. */
    public void start() {
        actions.run(sender.start(clock.nowMs()));
    }

    /** Feeds one event; call on the request's thread. */
    public void on(CopyEvent event) {
        if (!closed) {
            actions.run(sender.on(event, clock.nowMs()));
        }
    }

    /** Ends the driver once the request is no longer served here. */
    public void close() {
        closed = true;
        actions.clear();
        wakeUp.cancel();
        unwatch();
    }

    /** Ends the driver of a request of which nothing ran, and has the holder forget its copy. */
    public void withdraw(RequestId request) {
        watched.ifPresent(h -> links.withdraw(h, request, sender.epoch()));
        close();
    }

    private void carryOut(CopyAction action) {
        if (action instanceof CopyAction.SendToHolder send) {
            watch(send.holder());
            links.send(send, events);
        } else if (action instanceof CopyAction.WakeAt wake) {
            wakeUp.at(wake.atMs());
        } else {
            owner.accept(action);
        }
    }

    private void watch(RouterId holder) {
        if (watched.filter(holder::equals).isPresent()) {
            return;
        }
        unwatch();
        watched = Optional.of(holder);
        links.watch().watch(holder, events);
    }

    private void unwatch() {
        watched.ifPresent(h -> links.watch().unwatch(h, events));
        watched = Optional.empty();
    }
}
