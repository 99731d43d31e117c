package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.TimeUnit;
import org.masticweir.recovery.copy.RequestThread;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The I/O thread of a request, as the copies' drivers see it. */
record IoRequestThread(XnioIoThread thread) implements RequestThread {
    IoRequestThread {
        checkNotNull(thread, "thread");
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(task);
    }

    @Override
    public Runnable executeAfter(Runnable task, long delayMs) {
        XnioExecutor.Key key =
                thread.executeAfter(task, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
        return key::remove;
    }
}
