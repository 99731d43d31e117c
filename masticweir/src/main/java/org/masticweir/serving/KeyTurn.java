package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.KeyAction;
import org.masticweir.recovery.copy.KeyAsk;
import org.masticweir.recovery.copy.KeyEvent;
import org.masticweir.recovery.copy.KeyLinks;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Asks the home of one request's key which router runs it; runs on the request's I/O thread.
 *
 * <p>Until the answer nothing is sent to an engine, so the router that is told of another one has
 * computed nothing.
 */
final class KeyTurn {
    private static final Logger LOG = LogManager.getLogger(KeyTurn.class);

    private final ServingContext context;
    private final RequestId request;
    private final XnioIoThread thread;
    private final KeyLinks keys;
    private final Runnable run;
    private final Consumer<RouterId> join;
    private final KeyAsk question;
    private Optional<XnioExecutor.Key> wakeUp = Optional.empty();

    /**
     * Creates the question about {@code request}.
     *
     * @param run runs the request here
     * @param join reads it from the router given
     */
    KeyTurn(
            ServingContext context,
            RequestId request,
            XnioIoThread thread,
            Runnable run,
            Consumer<RouterId> join) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.thread = checkNotNull(thread, "thread");
        this.run = checkNotNull(run, "run");
        this.join = checkNotNull(join, "join");
        keys = context.copies().keys();
        question = keys.question(request);
    }

    /** Asks; either outcome may come at once, and only one comes. */
    void start() {
        carryOut(question.start(context.clock().nowMs()));
    }

    private void feed(KeyEvent event) {
        carryOut(question.on(event, context.clock().nowMs()));
    }

    private void carryOut(ImmutableList<KeyAction> actions) {
        for (KeyAction action : actions) {
            if (action instanceof KeyAction.Ask ask) {
                keys.carryOut(request, ask, event -> thread.execute(() -> feed(event)));
            } else if (action instanceof KeyAction.WakeAt wake) {
                wakeAt(wake.atMs());
            } else {
                decided(action);
            }
        }
    }

    private void wakeAt(long atMs) {
        wakeUp.ifPresent(XnioExecutor.Key::remove);
        long delayMs = Math.max(1, atMs - context.clock().nowMs());
        wakeUp =
                Optional.of(
                        thread.executeAfter(
                                () -> feed(new KeyEvent.Tick()), delayMs, TimeUnit.MILLISECONDS));
    }

    private void decided(KeyAction how) {
        wakeUp.ifPresent(XnioExecutor.Key::remove);
        keys.decided(how);
        if (how instanceof KeyAction.Join other) {
            join.accept(other.owner());
            return;
        }
        if (how instanceof KeyAction.RunAlone) {
            LOG.info("serving: request {} runs without its key's home", request);
        }
        run.run();
    }
}
