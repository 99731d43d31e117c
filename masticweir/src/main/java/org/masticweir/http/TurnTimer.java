package org.masticweir.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * Ends a wait after a timeout of which only the time counts in which the waiting thread took turns.
 *
 * <p>Failure guarded against: an I/O thread stalls, for example while many callers come at once. It
 * runs overdue timers before it reads its sockets, so a single timer then ends every wait of the
 * thread although the answers lie there unread, and each of them passes for a peer that is silent.
 * Here the timeout is made of several short timers, each set by the one before. A stall, however
 * long, uses up one of them, and between two of them the thread goes once through its sockets.
 *
 * <p>Not thread-safe: confined to the thread that waits.
 */
public final class TurnTimer {
    /** Timers that a timeout is made of; a call needs some three turns: connect, write, read. */
    static final int TURNS = 5;

    private final XnioExecutor thread;
    private final Runnable expired;
    private long leftMs;
    private long turnsLeft;
    private XnioExecutor.Key key;

    private TurnTimer(XnioExecutor thread, long timeoutMs, Runnable expired) {
        checkArgument(timeoutMs >= 1, "timeout %s ms", timeoutMs);
        this.thread = checkNotNull(thread, "thread");
        this.expired = checkNotNull(expired, "expired");
        leftMs = timeoutMs;
        turnsLeft = Math.min(TURNS, timeoutMs);
    }

    /** Starts a wait on {@code thread}, at whose end {@code expired} runs there. */
    public static TurnTimer start(XnioExecutor thread, long timeoutMs, Runnable expired) {
        TurnTimer timer = new TurnTimer(thread, timeoutMs, expired);
        timer.nextTurn();
        return timer;
    }

    /** Ends the wait; nothing runs any more. */
    public void cancel() {
        key.remove();
    }

    private void nextTurn() {
        long turnMs = leftMs / turnsLeft;
        leftMs -= turnMs;
        turnsLeft--;
        Runnable next = turnsLeft == 0 ? expired : this::nextTurn;
        key = thread.executeAfter(next, turnMs, TimeUnit.MILLISECONDS);
    }
}
